//! Traits through which the decision code reaches the outside.
//!
//! Each port has one adapter for real use and one fake for tests. Errors tell what a caller must
//! know to stay correct: above all whether a call may have taken effect.

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
