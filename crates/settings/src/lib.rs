//! Settings of a daemon, parsed from an INI file.
//!
//! The file is parsed by the same line and value parsers as the operator's configuration; only the
//! table of sections differs. Addresses and the failure domain are defined only here.

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
