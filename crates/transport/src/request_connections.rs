//! Which connections the sends of one request used.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

/// A connection, as one send of a request met it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionUse {
    /// The local TCP port.
    pub local_port: u16,
    /// The number of requests that the connection had carried before; zero for a new one.
    pub requests_before: u64,
}

/// The identity of a connection within the process.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(crate) struct ConnectionNumber(u64);

impl ConnectionNumber {
    pub(crate) fn next() -> Self {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        Self(NEXT.fetch_add(1, Ordering::Relaxed))
    }
}

/// The connections that the sends of one request used, in order. It also tells that of a send that
/// failed, or whose future was dropped.
#[derive(Debug, Default)]
pub struct RequestConnections {
    used: Mutex<Vec<(ConnectionNumber, ConnectionUse)>>,
}

impl RequestConnections {
    /// Returns the connections that were used; a send that reached no connection adds none.
    pub fn used(&self) -> Vec<ConnectionUse> {
        self.lock().iter().map(|(_, usage)| *usage).collect()
    }

    pub(crate) fn contains(&self, number: ConnectionNumber) -> bool {
        self.lock().iter().any(|(used, _)| *used == number)
    }

    pub(crate) fn record(&self, number: ConnectionNumber, usage: ConnectionUse) {
        self.lock().push((number, usage));
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(ConnectionNumber, ConnectionUse)>> {
        self.used.lock().expect("lock is not poisoned")
    }
}
