//! Generation of keys and certificates for a deployment.

mod deployment;

pub use deployment::DeploymentKeys;
pub use deployment::KeyError;
pub use deployment::NodeKeys;
pub use deployment::make_deployment_keys;
