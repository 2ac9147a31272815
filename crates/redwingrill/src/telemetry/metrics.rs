//! Metrics over UDP in the StatsD format.

use std::io;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use cadence::Counted;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;
use cadence::Timed;
use cadence::UdpMetricSink;

use redwingrill_codes::ResultCode;

const PREFIX: &str = "redwingrill";

/// Capacity of the send queue. Metrics are dropped while it is full, so that callers never block.
const QUEUE_LIMIT: usize = 16 << 10;

/// Sends metrics. Clones share one send queue.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
}

impl Metrics {
    /// Creates a client that sends to `address`; without an address all metrics are dropped.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the socket cannot be opened.
    pub fn new(address: Option<SocketAddr>, node: &str) -> io::Result<Self> {
        let builder = match address {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(address) => {
                let socket = UdpSocket::bind(("0.0.0.0", 0))?;
                socket.set_nonblocking(true)?;
                let sink = UdpMetricSink::from(address, socket).map_err(io::Error::other)?;
                StatsdClient::builder(PREFIX, QueuingMetricSink::with_capacity(sink, QUEUE_LIMIT))
            }
        };
        Ok(Self { client: Arc::new(builder.with_tag("node", node).build()) })
    }

    /// Counts a completed request and reports its duration.
    pub fn request_ended(&self, call: &str, code: ResultCode, took: Duration) {
        let code = code.info().name;
        self.client
            .count_with_tags("requests", 1)
            .with_tag("call", call)
            .with_tag("code", code)
            .send();
        self.client.time_with_tags("request_time_ms", took).with_tag("call", call).send();
    }

    /// Reports the time from a request's arrival to its first token.
    pub fn first_token(&self, priority: &str, took: Duration) {
        self.client
            .time_with_tags("first_token_time_ms", took)
            .with_tag("priority", priority)
            .send();
    }
}
