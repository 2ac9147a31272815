//! The service stand-in: plain calls, some of which may not be repeated.
//!
//! It counts how often it ran for each key of each client account. One that checks fencing numbers
//! refuses a number lower than the highest it saw for the key, and answers a key that already ran
//! with its first outcome; one that ignores them runs each call that arrives.

mod admin;
mod http;
mod runs;

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::engine::FencingMode;
use crate::faults::FaultPlan;
use crate::faults::FaultRule;
use crate::net::Connections;
use crate::net::Server;

pub use runs::Arrival;
pub use runs::KeyRuns;
pub use runs::Runs;

/// How a service stand-in starts.
#[derive(Clone, Debug)]
pub struct ServiceOptions {
    /// The name, that of the upstream in the configuration.
    pub name: String,
    /// The address that serves calls; port 0 for any.
    pub listen: SocketAddr,
    /// The administration address; port 0 for any.
    pub admin: SocketAddr,
    /// Whether calls with an old fencing number are refused.
    pub fencing: FencingMode,
    /// How long each call takes.
    pub delay_ms: u64,
}

impl ServiceOptions {
    /// Returns the options of a service on free loopback ports.
    pub fn new(name: &str) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let fencing = FencingMode::Checked;
        Self { name: name.to_owned(), listen: any, admin: any, fencing, delay_ms: 0 }
    }
}

/// The service stand-in.
#[derive(Debug)]
pub struct Service;

/// A service stand-in that serves.
#[derive(Debug)]
pub struct RunningService {
    /// The name.
    pub name: String,
    /// The address that serves calls.
    pub address: SocketAddr,
    /// The administration address.
    pub admin_address: SocketAddr,
    shared: Arc<Shared>,
    server: Server,
    admin: Server,
}

/// What connections share.
#[derive(Debug)]
struct Shared {
    options: ServiceOptions,
    runs: Runs,
    faults: FaultPlan,
    connections: Connections,
}

impl Service {
    /// Starts the stand-in.
    pub async fn start(options: ServiceOptions) -> io::Result<RunningService> {
        let (name, listen, admin) = (options.name.clone(), options.listen, options.admin);
        let connections = Connections::default();
        let shared = Arc::new(Shared {
            runs: Runs::new(options.fencing),
            faults: FaultPlan::default(),
            connections: connections.clone(),
            options,
        });
        let handler = Arc::new(http::ServiceHandler::new(shared.clone()));
        let server = Server::start_with(listen, handler, connections).await?;
        let admin = Server::start(admin, Arc::new(admin::Admin::new(shared.clone()))).await?;
        let (address, admin_address) = (server.address(), admin.address());
        Ok(RunningService { name, address, admin_address, shared, server, admin })
    }
}

impl RunningService {
    /// Returns how often it ran for each key.
    pub fn runs(&self) -> Vec<KeyRuns> {
        self.shared.runs.list()
    }

    /// Replaces the faults that are to strike.
    pub fn set_faults(&self, rules: Vec<FaultRule>) {
        self.shared.faults.set(rules);
    }

    /// Stops serving and joins all tasks.
    pub async fn stop(self) {
        self.server.stop().await;
        self.admin.stop().await;
    }
}
