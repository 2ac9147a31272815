//! Traits for the external services that the router depends on.
//!
//! Each trait has one adapter for production and one fake for tests. Errors carry what a caller
//! needs for correctness, in particular whether a failed call may have taken effect.

mod instances;
mod store;

pub use instances::Instance;
pub use instances::InstanceList;
pub use instances::InstanceState;
pub use store::Change;
pub use store::Entry;
pub use store::Expected;
pub use store::LeaseId;
pub use store::Revision;
pub use store::Store;
pub use store::StoreError;
pub use store::Swap;
pub use store::Watch;
