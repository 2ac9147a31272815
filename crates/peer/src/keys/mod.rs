//! Making keys and certificates for a site.

mod deployment;

pub use deployment::DeploymentKeys;
pub use deployment::KeyError;
pub use deployment::NodeKeys;
pub use deployment::make_deployment_keys;
