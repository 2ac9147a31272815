//! Making keys and certificates for a site.

mod site;

pub use site::KeyError;
pub use site::NodeKeys;
pub use site::SiteKeys;
pub use site::make_site_keys;
