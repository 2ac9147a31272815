//! One server that answers for the load of all engines.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use serde_json::json;

use crate::net::Body;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::Server;
use crate::net::json_reply;
use crate::net::status_reply;

/// Running requests of an engine at the target size, and how far they stray.
const RUNNING: u64 = 316;
const RUNNING_SPREAD: u64 = 150;

/// Answers `GET /load` on any loopback address.
#[derive(Debug, Default)]
struct Loads {
    polls: AtomicU64,
}

impl Handler for Loads {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        if request.uri().path() != "/load" {
            return Ok(status_reply(StatusCode::NOT_FOUND));
        }
        // Each answer differs from the last by more than the digest's tolerance.
        let number = self.polls.fetch_add(1, Ordering::Relaxed);
        let running = RUNNING - RUNNING_SPREAD + number.wrapping_mul(97) % (2 * RUNNING_SPREAD);
        let load = json!({
            "incarnation": "4242", "weights_version": "v1", "running": running, "waiting": running / 9,
            "waiting_tokens": running * 40, "cached_blocks": 180_000, "leaving": false,
        });
        Ok(json_reply(StatusCode::OK, &load))
    }
}

/// The running server.
#[derive(Debug)]
pub struct LoadServer {
    loads: Arc<Loads>,
    server: Server,
}

impl LoadServer {
    /// Starts the server on a free port of all loopback addresses.
    pub async fn start() -> io::Result<Self> {
        let loads = Arc::new(Loads::default());
        let any = SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0));
        let server = Server::start(any, loads.clone()).await?;
        Ok(Self { loads, server })
    }

    /// Returns the port.
    pub fn port(&self) -> u16 {
        self.server.address().port()
    }

    /// Returns how many loads were asked for.
    pub fn polls(&self) -> u64 {
        self.loads.polls.load(Ordering::Relaxed)
    }

    /// Stops serving and joins all tasks.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
