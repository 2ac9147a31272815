//! Traffic counters of an endpoint.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use quinn::Connection;
use quinn::ConnectionStats;
use serde::Serialize;

/// Size of the IP and UDP headers of one datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Traffic counters of an endpoint, including IP and UDP headers.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams sent.
    pub sent_datagrams: u64,
    /// Datagrams received.
    pub received_datagrams: u64,
    /// Connections opened or accepted since the start.
    pub connections: u64,
    /// Connections currently open.
    pub open_connections: u64,
}

impl Traffic {
    fn add(&mut self, stats: &ConnectionStats) {
        let (sent, received) = (stats.udp_tx, stats.udp_rx);
        self.sent_datagrams += sent.datagrams;
        self.received_datagrams += received.datagrams;
        self.sent_bytes += sent.bytes + sent.datagrams * DATAGRAM_HEADER_BYTES;
        self.received_bytes += received.bytes + received.datagrams * DATAGRAM_HEADER_BYTES;
    }
}

#[derive(Debug, Default)]
struct MeterState {
    closed: Traffic,
    open: HashMap<usize, Connection>,
}

/// Counts the traffic of all connections of one endpoint. Clones share the counters.
#[derive(Clone, Debug, Default)]
pub(crate) struct Meter {
    state: Arc<Mutex<MeterState>>,
}

impl Meter {
    pub(crate) fn opened(&self, connection: &Connection) {
        let mut state = self.lock();
        state.closed.connections += 1;
        state.open.insert(connection.stable_id(), connection.clone());
    }

    pub(crate) fn closed(&self, connection: &Connection) {
        let mut state = self.lock();
        if state.open.remove(&connection.stable_id()).is_some() {
            state.closed.add(&connection.stats());
        }
    }

    pub(crate) fn read(&self) -> Traffic {
        let state = self.lock();
        let mut traffic = state.closed;
        state.open.values().for_each(|connection| traffic.add(&connection.stats()));
        traffic.open_connections = state.open.len() as u64;
        traffic
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.state.lock().expect("no thread panics while holding the lock")
    }
}
