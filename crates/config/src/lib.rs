//! The operator's desired state: model, text format, checks, and storage layout.

mod model;
mod snapshot;
pub mod text;

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
pub use text::Fault;
pub use text::Faults;
pub use text::KEY_HASH_PREFIX;
pub use text::SourceFile;
pub use text::parse;
pub use text::parse_str;
pub use text::read_files;
pub use text::reference;
pub use text::render;
