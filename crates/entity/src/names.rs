//! All names that a process has interned.

use crate::AccountId;
use crate::DomainId;
use crate::Interner;
use crate::ModelId;
use crate::PriorityId;
use crate::ServiceId;
use crate::UpstreamId;

/// The interners of a process, one per kind of entity.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Client accounts.
    pub accounts: Interner<AccountId>,
    /// Failure domains.
    pub domains: Interner<DomainId>,
    /// Models.
    pub models: Interner<ModelId>,
    /// Priorities.
    pub priorities: Interner<PriorityId>,
    /// Services.
    pub services: Interner<ServiceId>,
    /// Upstreams.
    pub upstreams: Interner<UpstreamId>,
}
