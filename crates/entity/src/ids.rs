//! Identifiers of the entities that the configuration files define.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// An identifier that is a small integer and indexes an [`EntityMap`](crate::EntityMap).
pub trait EntityRef: Copy + Eq + Ord + std::hash::Hash + fmt::Debug + fmt::Display {
    /// Creates the identifier of the entity with this index.
    fn from_index(index: usize) -> Self;

    /// Returns the index of this entity.
    fn index(self) -> usize;
}

macro_rules! entity_ids {
    ($($(#[$doc:meta])* $name:ident => $prefix:literal;)*) => {
        $(
            $(#[$doc])*
            #[derive(
                Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize,
            )]
            pub struct $name(u32);

            impl EntityRef for $name {
                fn from_index(index: usize) -> Self {
                    // A configuration cannot hold four billion names.
                    Self(u32::try_from(index).expect("entity index fits 32 bits"))
                }

                fn index(self) -> usize {
                    self.0 as usize
                }
            }

            impl fmt::Display for $name {
                fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                    write!(f, concat!($prefix, "{}"), self.0)
                }
            }
        )*
    };
}

entity_ids! {
    /// A client account.
    AccountId => "account";
    /// A failure domain.
    DomainId => "domain";
    /// A model that engines serve.
    ModelId => "model";
    /// A priority class of requests.
    PriorityId => "priority";
    /// A plain service with one or more upstreams.
    ServiceId => "service";
    /// An upstream: an engine, a KV cache store, or an instance of a service.
    UpstreamId => "upstream";
}
