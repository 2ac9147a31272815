//! State of links, and of retries per address.

use std::net::SocketAddr;

use crate::Link;
use crate::LinkId;
use crate::NodeKey;

/// Consecutive failed exchanges after which a member is suspected.
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
    /// The peer, once it has responded.
    pub peer: Option<NodeKey>,
    /// This side of the link.
    pub link: Link,
    /// Whether an exchange is waiting for its response.
    pub in_flight: bool,
    /// When the next exchange is due.
    pub due_ms: u64,
    /// When the last exchange started; zero before the first.
    pub started_ms: u64,
    /// Value of the cluster's urgent-change counter up to which the peer is up to date.
    pub urgent_changes: u64,
}

/// A link that a peer opened.
#[derive(Debug)]
pub struct Inbound {
    /// The peer.
    pub peer: NodeKey,
    /// This side of the link.
    pub link: Link,
    /// When the last exchange was received.
    pub received_ms: u64,
    /// When the peer was last asked to start an exchange; zero for never.
    pub nudged_ms: u64,
    /// Value of the cluster's urgent-change counter up to which the peer is up to date.
    pub urgent_changes: u64,
}

/// Failures and retry time of an address.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetryState {
    /// Consecutive failures.
    pub failures: u32,
    /// Time of the earliest next attempt.
    pub retry_at_ms: u64,
}

impl RetryState {
    /// Returns the delay after the next failure, before jitter.
    pub fn backoff_ms(self) -> u64 {
        let delay_ms = RETRY_MIN_MS.checked_shl(self.failures).unwrap_or(RETRY_MAX_MS);
        delay_ms.min(RETRY_MAX_MS)
    }
}

/// Suspicions of a member that the member refuted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Refutation {
    /// Number of refutations.
    pub count: u32,
    /// Time until which this node does not suspect the member again.
    pub trusted_until_ms: u64,
}

impl Refutation {
    /// Counts a refutation, and doubles the time for which the member is trusted.
    pub fn record(&mut self, now_ms: u64) {
        let doublings = self.count.min(TRUST_DOUBLINGS_MAX);
        self.count += 1;
        self.trusted_until_ms = now_ms + (TRUST_MIN_MS << doublings);
    }
}

/// Returns the id of the link to an address, if there is one.
pub fn find_link<'a>(
    mut links: impl Iterator<Item = (&'a LinkId, &'a Outbound)>,
    address: SocketAddr,
) -> Option<LinkId> {
    links.find(|(_, link)| link.address == address).map(|(&id, _)| id)
}
