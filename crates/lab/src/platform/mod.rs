//! The platform stand-in: the key-value service by the etcd v3 JSON gateway, and the lagging list
//! of instances.

mod admin;
mod gateway;
mod instances;
mod number;
mod translate;
mod watching;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::net::Connections;
use crate::net::Server;
use redwingrill_fakes::MemoryStore;

pub use instances::LaggingList;
pub use instances::ListedInstance;
pub use instances::ListedState;
pub use wire::RangeRequest;
pub use wire::TxnRequest;
pub use wire::WatchRequest;

/// How the platform stand-in starts.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// The address of the store and of the instance list; port 0 for any.
    pub listen: SocketAddr,
    /// The administration address; port 0 for any.
    pub admin: SocketAddr,
    /// How late the instance list tells of a change.
    pub list_lag_ms: u64,
}

/// The platform stand-in.
#[derive(Debug)]
pub struct Platform;

/// A platform stand-in that serves.
#[derive(Debug)]
pub struct RunningPlatform {
    /// The address of the store and of the instance list.
    pub address: SocketAddr,
    /// The administration address.
    pub admin_address: SocketAddr,
    /// The store behind the gateway, for faults and counts.
    pub store: MemoryStore,
    /// The instance list.
    pub instances: LaggingList,
    server: Server,
    admin: Server,
}

impl Platform {
    /// Starts the stand-in.
    pub async fn start(options: PlatformOptions) -> io::Result<RunningPlatform> {
        let store = MemoryStore::new();
        let instances = LaggingList::new(options.list_lag_ms);
        let connections = Connections::default();
        let gateway = Arc::new(gateway::Gateway::new(store.clone(), instances.clone()));
        let server = Server::start_with(options.listen, gateway, connections.clone()).await?;
        let admin = admin::Admin::new(store.clone(), instances.clone(), connections);
        let admin = Server::start(options.admin, Arc::new(admin)).await?;
        Ok(RunningPlatform {
            address: server.address(),
            admin_address: admin.address(),
            store,
            instances,
            server,
            admin,
        })
    }
}

impl RunningPlatform {
    /// Stops serving and joins all tasks.
    pub async fn stop(self) {
        self.server.stop().await;
        self.admin.stop().await;
    }
}
