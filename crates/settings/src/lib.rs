//! Settings of one daemon, read from an INI file.
//!
//! The file is read in the same passes as the operator's configuration and by the same readers of
//! lines and values; only the table of sections differs. Addresses and the failure domain come
//! from here and nowhere else.

mod build;
mod check;
mod model;
mod spec;

pub use build::parse;
pub use model::LimitSettings;
pub use model::LogSettings;
pub use model::MetricsSettings;
pub use model::NodeSettings;
pub use model::PeerSettings;
pub use model::PlacementPolicy;
pub use model::PlatformSettings;
pub use model::Settings;
pub use model::StreamSettings;
pub use model::TlsSettings;
pub use spec::SECTIONS;
pub use spec::SectionSpec;
pub use spec::reference;
