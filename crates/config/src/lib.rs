//! The operator's desired state: model, text format, checks, and storage layout.

mod model;
mod snapshot;

pub use model::Account;
pub use model::CallPattern;
pub use model::DesiredState;
pub use model::Fencing;
pub use model::KeyHash;
pub use model::Model;
pub use model::Priority;
pub use model::Service;
pub use model::Upstream;
pub use model::UpstreamKind;
pub use snapshot::Generation;
pub use snapshot::Snapshot;
