//! Gathers what a node tells the owners of its streams.
//!
//! Answers a flow of short streams that would else cost several datagrams each: what goes to one
//! owner within a short time goes in one message. When the first stream of a release begins, the
//! open ones of before are told too, slowly, as there may be thousands.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::BegunStreams;
use super::OriginMessage;
use super::StreamKey;
use super::StreamOrigin;

/// How long the streams for an owner are gathered, in milliseconds. Those that a node has not told
/// when it fails are lost.
const GATHER_MS: u64 = 20;

/// How long streams of before are gathered, in milliseconds.
const BACKLOG_GATHER_MS: u64 = 500;

/// The number of streams of before that are told in one tick.
const BACKLOG_PER_TICK: usize = 20;

/// The limit of a message in bytes. A datagram of this size passes any link in one piece.
const MESSAGE_LIMIT_BYTES: usize = 1_150;

/// The tags and lengths of a message, and of an origin in it, at most.
const OVERHEAD_BYTES: usize = 16;

#[derive(Debug)]
struct Batch {
    streams: Vec<BegunStreams>,
    size_bytes: usize,
    due_ms: u64,
}

/// The streams that are to be told to their owners.
#[derive(Debug, Default)]
pub struct Publisher {
    batches: BTreeMap<SocketAddr, Batch>,
    // Streams of before, the next one last.
    backlog: Vec<StreamKey>,
    outgoing: Vec<(SocketAddr, OriginMessage)>,
}

impl Publisher {
    /// Returns whether nothing is to be told.
    pub fn is_idle(&self) -> bool {
        self.batches.is_empty() && self.backlog.is_empty() && self.outgoing.is_empty()
    }

    /// Forgets what was not told yet.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Replaces the streams of before; the last one is told first.
    pub fn set_backlog(&mut self, backlog: Vec<StreamKey>) {
        self.backlog = backlog;
    }

    /// Takes the streams of before that are due in this tick.
    pub fn take_backlog(&mut self) -> Vec<StreamKey> {
        let rest = self.backlog.len().saturating_sub(BACKLOG_PER_TICK);
        self.backlog.split_off(rest)
    }

    /// Adds a stream for an owner; one of before waits longer for others.
    pub fn add(
        &mut self,
        owner: SocketAddr,
        key: StreamKey,
        origin: &StreamOrigin,
        is_of_before: bool,
        now_ms: u64,
    ) {
        if !origin.fits_message() {
            return;
        }
        let origin_bytes = origin.text_bytes() + OVERHEAD_BYTES;
        let due_ms = now_ms + if is_of_before { BACKLOG_GATHER_MS } else { GATHER_MS };
        let added_bytes = size_of::<StreamKey>() + origin_bytes;
        let is_full = |batch: &Batch| batch.size_bytes + added_bytes > MESSAGE_LIMIT_BYTES;
        if self.batches.get(&owner).is_some_and(is_full) {
            self.flush(owner);
        }
        let batch = self.batches.entry(owner).or_insert_with(|| Batch {
            streams: Vec::new(),
            size_bytes: OVERHEAD_BYTES,
            due_ms,
        });
        batch.due_ms = batch.due_ms.min(due_ms);
        batch.size_bytes += size_of::<StreamKey>();
        match batch.streams.iter_mut().find(|streams| streams.origin == *origin) {
            Some(streams) => streams.keys.push(key),
            None => {
                batch.size_bytes += origin_bytes;
                batch.streams.push(BegunStreams { origin: origin.clone(), keys: vec![key] });
            }
        }
    }

    /// Sends what is due.
    pub fn tick(&mut self, now_ms: u64) {
        let due = self.batches.iter().filter(|(_, batch)| batch.due_ms <= now_ms);
        let due: Vec<SocketAddr> = due.map(|(owner, _)| *owner).collect();
        for owner in due {
            self.flush(owner);
        }
    }

    /// Returns the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, OriginMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    fn flush(&mut self, owner: SocketAddr) {
        if let Some(batch) = self.batches.remove(&owner) {
            self.outgoing.push((owner, OriginMessage::Begun(batch.streams)));
        }
    }
}
