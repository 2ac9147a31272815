//! Which connections the sends of one request used.

use std::sync::Mutex;

/// A connection, as one send of a request met it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ConnectionUse {
    /// The local TCP port.
    pub local_port: u16,
    /// The number of requests that the connection had carried before; zero for a new one.
    pub requests_before: u64,
}

/// The connections that the sends of one request used, in order. It also tells that of a send that
/// failed, or whose future was dropped.
#[derive(Debug, Default)]
pub struct RequestConnections {
    used: Mutex<Vec<ConnectionUse>>,
}

impl RequestConnections {
    /// Returns the connections that were used; a send that reached no connection adds none.
    pub fn used(&self) -> Vec<ConnectionUse> {
        self.used.lock().expect("lock is not poisoned").clone()
    }

    pub(crate) fn record(&self, connection: ConnectionUse) {
        self.used.lock().expect("lock is not poisoned").push(connection);
    }
}
