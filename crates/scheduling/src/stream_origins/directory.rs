//! The directory of stream origins, as one node takes part in it: it tells the owners of its streams,
//! remembers what it owns, answers and asks.

use std::net::SocketAddr;

use super::Lookups;
use super::OWNERS_PER_STREAM;
use super::OriginMemory;
use super::OriginMessage;
use super::OriginResolution;
use super::OriginSource;
use super::Publisher;
use super::Recollection;
use super::ResolvedOrigin;
use super::StreamKey;
use super::StreamOrigin;
use super::owners;
use crate::coordination::GroupNode;

/// The number of streams of its own, and of others, that a node remembers. Each takes less than 100
/// bytes.
const MEMORY_LIMIT: usize = 1 << 17;

/// How long a stream is remembered without a configuration, in milliseconds.
const DEFAULT_RETENTION_MS: u64 = 70_000;

/// A node's part of the directory. `T` is the handle of a lookup.
#[derive(Debug)]
pub struct OriginDirectory<T> {
    // Streams that this node began or relays.
    begun: OriginMemory,
    // Streams of other nodes that this node owns.
    owned: OriginMemory,
    publisher: Publisher,
    lookups: Lookups<T>,
    nodes: Vec<GroupNode>,
    own_address: Option<SocketAddr>,
    retention_ms: u64,
    is_published: bool,
    answers: Vec<(SocketAddr, OriginMessage)>,
}

impl<T> Default for OriginDirectory<T> {
    fn default() -> Self {
        Self {
            begun: OriginMemory::new(MEMORY_LIMIT),
            owned: OriginMemory::new(MEMORY_LIMIT),
            publisher: Publisher::default(),
            lookups: Lookups::default(),
            nodes: Vec::new(),
            own_address: None,
            retention_ms: DEFAULT_RETENTION_MS,
            is_published: false,
            answers: Vec::new(),
        }
    }
}

impl<T> OriginDirectory<T> {
    /// Replaces the nodes; `own_address` is the address of this one. Nothing is told again: owners
    /// that remain stay owners.
    pub fn set_nodes(&mut self, nodes: Vec<GroupNode>, own_address: Option<SocketAddr>) {
        self.nodes = nodes;
        self.own_address = own_address;
    }

    /// Sets how long streams that are told from now on are remembered, in milliseconds. It must be
    /// longer than a caller may take to come back for a stream.
    pub fn set_retention_ms(&mut self, retention_ms: u64) {
        self.retention_ms = retention_ms;
    }

    /// Sets whether the owners of streams are told. When that begins, the streams of before are told
    /// too.
    pub fn set_published(&mut self, is_published: bool) {
        if is_published == self.is_published {
            return;
        }
        self.is_published = is_published;
        self.publisher.clear();
        if is_published {
            self.publisher.set_backlog(self.begun.keys().collect());
        }
    }

    /// Returns whether the owners of streams are told.
    pub fn is_published(&self) -> bool {
        self.is_published
    }

    /// Returns the number of remembered streams of this node, and of others.
    pub fn remembered(&self) -> (usize, usize) {
        (self.begun.len(), self.owned.len())
    }

    /// Returns the number of streams that are looked up.
    pub fn pending(&self) -> usize {
        self.lookups.pending()
    }

    /// Returns whether nothing is due with time.
    pub fn is_idle(&self) -> bool {
        self.publisher.is_idle() && self.lookups.is_idle()
    }

    /// Records a stream whose first event is about to be forwarded by this node.
    pub fn record(&mut self, key: StreamKey, origin: &StreamOrigin, now_ms: u64) {
        self.begun.remember(key, origin, self.retention_ms, now_ms);
        if self.is_published {
            self.publish(key, origin, false, now_ms);
        }
    }

    /// Looks a stream up.
    pub fn begin(&mut self, key: StreamKey, handle: T, now_ms: u64) {
        match self.recall(key, now_ms) {
            Recollection::Unknown => {
                let owners = self.other_owners(key);
                self.lookups.begin(key, handle, owners, now_ms);
            }
            own => self.lookups.resolve(handle, OriginResolution::new(own, OriginSource::Own)),
        }
    }

    /// Takes a message of another node.
    pub fn receive(&mut self, from: SocketAddr, message: OriginMessage, now_ms: u64) {
        match message {
            OriginMessage::Begun(begun) => {
                for streams in begun {
                    for key in streams.keys {
                        self.owned.remember(key, &streams.origin, self.retention_ms, now_ms);
                    }
                }
            }
            OriginMessage::Query(key) => {
                let recollection = match self.recall(key, now_ms) {
                    Recollection::Known(origin) if !origin.fits_message() => Recollection::Unknown,
                    recollection => recollection,
                };
                self.answers.push((from, OriginMessage::Answer { key, recollection }));
            }
            OriginMessage::Answer { key, recollection } => {
                self.lookups.receive(from, key, recollection, now_ms);
            }
        }
    }

    /// Does what is due; to be called about every 20 ms unless the directory is idle.
    pub fn tick(&mut self, now_ms: u64) {
        for key in self.publisher.take_backlog() {
            if let Recollection::Known(origin) = self.begun.recall(key, now_ms) {
                self.publish(key, &origin, true, now_ms);
            }
        }
        self.publisher.tick(now_ms);
        self.lookups.tick(now_ms);
    }

    /// Returns the messages to send, with their addresses.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, OriginMessage)> {
        let mut outgoing = std::mem::take(&mut self.answers);
        outgoing.extend(self.lookups.take_outgoing());
        outgoing.extend(self.publisher.take_outgoing());
        outgoing
    }

    /// Returns the lookups that have ended.
    pub fn take_resolved(&mut self) -> Vec<ResolvedOrigin<T>> {
        self.lookups.take_resolved()
    }

    fn recall(&self, key: StreamKey, now_ms: u64) -> Recollection {
        self.begun.recall(key, now_ms).join(self.owned.recall(key, now_ms))
    }

    fn publish(&mut self, key: StreamKey, origin: &StreamOrigin, is_of_before: bool, now_ms: u64) {
        for owner in self.other_owners(key) {
            self.publisher.add(owner, key, origin, is_of_before, now_ms);
        }
    }

    /// Returns the addresses of the owners but this node, which remembers its streams anyway.
    fn other_owners(&self, key: StreamKey) -> Vec<SocketAddr> {
        let owners = owners(key, &self.nodes, OWNERS_PER_STREAM).into_iter();
        let addresses = owners.map(|index| self.nodes[index].address);
        addresses.filter(|address| Some(*address) != self.own_address).collect()
    }
}
