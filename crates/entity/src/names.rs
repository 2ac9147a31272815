//! All names that one process has interned.

use crate::AccountId;
use crate::DomainId;
use crate::Interner;
use crate::ModelId;
use crate::PriorityId;
use crate::ServiceId;
use crate::UpstreamId;

/// The interners of one process, one for each kind of entity.
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
