//! Clients of the platform's store and instance list.
//!
//! The store is accessed through the etcd v3 JSON gateway, the instance list by an HTTP request.
//! Each call has a timeout. The error of a failed write states whether the write may have taken
//! effect. It certainly did not only if no connection could be opened, the connection closed before
//! the request was sent, or the rate limit refused the call.

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
