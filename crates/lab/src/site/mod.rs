//! A whole site on one machine: platform, engines, services and routers in this process.
//!
//! A site file declares the sizes; [`StandIns`] starts what stands around the routers, and the
//! routers are real nodes that read settings and follow the platform's configuration.

mod apply;
mod files;
mod model;
mod peers;
mod reader;
mod routers;
mod stand_ins;

pub use apply::ApplyFailure;
pub use apply::apply_site;
pub use files::configuration_text;
pub use files::settings_text;
pub use model::AccountKind;
pub use model::PrioritySite;
pub use model::PromptSizes;
pub use model::Site;
pub use peers::PeerNetwork;
pub use peers::PeerSetupError;
pub use peers::tls_section;
pub use peers::write_keys;
pub use reader::IniError;
pub use reader::Section;
pub use reader::load_text;
pub use reader::section;
pub use reader::sections;
pub use routers::Routers;
pub use routers::RoutersError;
pub use stand_ins::StandIns;
