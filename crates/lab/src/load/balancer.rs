//! The routers that calls go to.
//!
//! Invariant: a call counts for the router whose address it was given, so that a router that is
//! replaced can keep accepting until the last of its calls has arrived.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

/// Gives each call the address of a router. Clones share the routers.
#[derive(Clone, Debug)]
pub struct Balancer {
    routers: Arc<Mutex<Vec<Router>>>,
}

#[derive(Debug)]
struct Router {
    address: SocketAddr,
    calls: u64,
}

impl Balancer {
    /// Makes a balancer before routers.
    pub fn new(addresses: Vec<SocketAddr>) -> Self {
        Self { routers: Arc::new(Mutex::new(without_calls(addresses))) }
    }

    /// Returns the address for a call that is planned for the router with the number `node`.
    pub fn choose(&self, node: usize) -> SocketAddr {
        let mut routers = self.lock();
        let number = node % routers.len();
        let router = &mut routers[number];
        router.calls += 1;
        router.address
    }

    /// Puts other routers in the place of the present ones. Returns how many calls each of the
    /// replaced ones was given, in their order.
    pub fn replace(&self, addresses: Vec<SocketAddr>) -> Vec<u64> {
        let replaced = std::mem::replace(&mut *self.lock(), without_calls(addresses));
        replaced.into_iter().map(|router| router.calls).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Router>> {
        self.routers.lock().expect("no holder panics")
    }
}

fn without_calls(addresses: Vec<SocketAddr>) -> Vec<Router> {
    addresses.into_iter().map(|address| Router { address, calls: 0 }).collect()
}
