//! The platform's list of instances.

use std::future::Future;
use std::net::SocketAddr;

use crate::StoreError;

/// Whether an instance accepts new work.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The instance is about to be stopped.
    Leaving,
}

/// An entry of the platform's instance list.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Instance {
    /// The name: that of an upstream in the configuration, or of an entry instance.
    pub name: String,
    /// The address the instance serves on; for entry instances, the address for peers.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// Whether the instance accepts new work.
    pub state: InstanceState,
}

/// The platform's list of live and leaving instances. It lags behind the actual state by
/// seconds.
pub trait InstanceList: Clone + Send + Sync + 'static {
    /// Reads the whole list.
    fn list(&self) -> impl Future<Output = Result<Vec<Instance>, StoreError>> + Send;
}
