//! Settings of one daemon, read from an INI file.

mod model;

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
