//! What a node remembers of its links and of the nodes it tried.

use std::net::SocketAddr;

use crate::Link;
use crate::LinkId;
use crate::NodeKey;

/// Failed exchanges in a row after which a member is suspect.
pub const FAILURES_TO_SUSPECT: u32 = 2;

const RETRY_MIN_MS: u64 = 250;
const RETRY_MAX_MS: u64 = 30_000;

const TRUST_MIN_MS: u64 = 10_000;
const TRUST_DOUBLINGS_MAX: u32 = 5;

/// A link that this node opened.
#[derive(Debug)]
pub struct Outbound {
    /// The address of the peer.
    pub address: SocketAddr,
    /// The peer, once it answered.
    pub peer: Option<NodeKey>,
    /// This side of the link.
    pub link: Link,
    /// Whether an exchange waits for its reply.
    pub in_flight: bool,
    /// When the next exchange is due.
    pub due_ms: u64,
    /// When the last exchange began.
    pub started_ms: u64,
    /// The urgent changes that the peer has, as counted here.
    pub urgent_changes: u64,
}

/// A link that a peer opened.
#[derive(Debug)]
pub struct Inbound {
    /// The peer.
    pub peer: NodeKey,
    /// This side of the link.
    pub link: Link,
    /// When the last exchange came.
    pub received_ms: u64,
    /// When the peer was last asked to exchange.
    pub nudged_ms: u64,
    /// The urgent changes that the peer has, as counted here.
    pub urgent_changes: u64,
}

/// The failures of an address.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryState {
    /// Failures in a row.
    pub failures: u32,
    /// No attempt before this time.
    pub retry_at_ms: u64,
}

impl RetryState {
    /// Returns the wait after the next failure, before jitter.
    pub fn backoff_ms(self) -> u64 {
        let delay_ms = RETRY_MIN_MS.checked_shl(self.failures).unwrap_or(RETRY_MAX_MS);
        delay_ms.min(RETRY_MAX_MS)
    }
}

/// A suspicion that turned out wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refutation {
    /// How often.
    pub count: u32,
    /// This node does not suspect the member before this time.
    pub trusted_until_ms: u64,
}

impl Refutation {
    /// Counts one more, and trusts the member for longer.
    pub fn record(&mut self, now_ms: u64) {
        let doublings = self.count.min(TRUST_DOUBLINGS_MAX);
        self.count += 1;
        self.trusted_until_ms = now_ms + (TRUST_MIN_MS << doublings);
    }
}

/// Returns the link to an address, if there is one.
pub fn find_link<'a>(
    mut links: impl Iterator<Item = (&'a LinkId, &'a Outbound)>,
    address: SocketAddr,
) -> Option<LinkId> {
    links.find(|(_, link)| link.address == address).map(|(&id, _)| id)
}
