//! Adapter of the platform's store and instance list.
//!
//! The store is reached through the etcd v3 JSON gateway, the instance list through its HTTP call.
//! Each call has a deadline. A failed write says whether it may have taken effect: only a
//! connection that could not be opened, or a refusal by the rate limit, is known to have done
//! nothing.

mod endpoints;
mod instances;
mod store;
mod watch;
pub mod wire;

pub use endpoints::PlatformOptions;
pub use instances::HttpInstances;
pub use instances::WireInstance;
pub use instances::WireState;
pub use store::EtcdStore;
pub use watch::EtcdWatch;
