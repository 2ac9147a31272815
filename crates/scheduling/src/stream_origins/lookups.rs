//! Lookups of streams at their owners.
//!
//! Answers the second after many nodes failed: half of the open streams are taken up again at once,
//! some of their owners are silent, and callers may ask for one stream several times.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::OriginMessage;
use super::OriginResolution;
use super::OriginSource;
use super::Recollection;
use super::StreamKey;

/// After how many milliseconds an owner that has not answered is asked again.
const REPEAT_MS: u64 = 20;

/// How long a lookup takes at most, in milliseconds.
const LIMIT_MS: u64 = 90;

/// How many milliseconds the other owners have to contradict the first one that knows the stream.
const CONTRADICTION_MS: u64 = 10;

/// The number of streams that are looked up at a time.
const LOOKUPS_LIMIT: usize = 4_096;

/// A lookup that has ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ResolvedOrigin<T> {
    /// The handle that was given to the lookup.
    pub handle: T,
    /// The outcome.
    pub resolution: OriginResolution,
}

#[derive(Debug)]
struct Lookup<T> {
    handles: Vec<T>,
    // The owners that have not answered.
    silent: Vec<SocketAddr>,
    recollection: Recollection,
    asked_ms: u64,
    ends_ms: u64,
}

/// The lookups of a node. A lookup of a stream that is looked up already shares the answers.
#[derive(Debug)]
pub struct Lookups<T> {
    pending: HashMap<StreamKey, Lookup<T>>,
    resolved: Vec<ResolvedOrigin<T>>,
    outgoing: Vec<(SocketAddr, OriginMessage)>,
}

impl<T> Default for Lookups<T> {
    fn default() -> Self {
        Self { pending: HashMap::new(), resolved: Vec::new(), outgoing: Vec::new() }
    }
}

impl<T> Lookups<T> {
    /// Returns whether nothing is pending or to be taken.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.resolved.is_empty() && self.outgoing.is_empty()
    }

    /// Returns the number of streams that are looked up.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Ends a lookup without asking.
    pub fn resolve(&mut self, handle: T, resolution: OriginResolution) {
        self.resolved.push(ResolvedOrigin { handle, resolution });
    }

    /// Looks a stream up at its owners.
    pub fn begin(&mut self, key: StreamKey, handle: T, owners: Vec<SocketAddr>, now_ms: u64) {
        if let Some(lookup) = self.pending.get_mut(&key) {
            lookup.handles.push(handle);
            return;
        }
        if owners.is_empty() || self.pending.len() >= LOOKUPS_LIMIT {
            let nothing = OriginResolution::new(Recollection::Unknown, OriginSource::Owners);
            self.resolve(handle, nothing);
            return;
        }
        let queries = owners.iter().map(|owner| (*owner, OriginMessage::Query(key)));
        self.outgoing.extend(queries);
        let lookup = Lookup {
            handles: vec![handle],
            silent: owners,
            recollection: Recollection::Unknown,
            asked_ms: now_ms,
            ends_ms: now_ms + LIMIT_MS,
        };
        self.pending.insert(key, lookup);
    }

    /// Takes the answer of an owner. One that was not asked, or has answered, is ignored.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        key: StreamKey,
        recollection: Recollection,
        now_ms: u64,
    ) {
        let Some(lookup) = self.pending.get_mut(&key) else { return };
        let Some(position) = lookup.silent.iter().position(|owner| *owner == from) else { return };
        lookup.silent.swap_remove(position);
        lookup.recollection = std::mem::take(&mut lookup.recollection).join(recollection);
        if lookup.recollection != Recollection::Unknown {
            lookup.ends_ms = lookup.ends_ms.min(now_ms + CONTRADICTION_MS);
        }
        if lookup.silent.is_empty() || lookup.recollection == Recollection::Contradicted {
            self.end(key);
        }
    }

    /// Ends lookups that are due, and asks silent owners again.
    pub fn tick(&mut self, now_ms: u64) {
        let due = self.pending.iter().filter(|(_, lookup)| lookup.ends_ms <= now_ms);
        let due: Vec<StreamKey> = due.map(|(key, _)| *key).collect();
        for key in due {
            self.end(key);
        }
        for (key, lookup) in &mut self.pending {
            if now_ms.saturating_sub(lookup.asked_ms) >= REPEAT_MS {
                lookup.asked_ms = now_ms;
                let queries =
                    lookup.silent.iter().map(|owner| (*owner, OriginMessage::Query(*key)));
                self.outgoing.extend(queries);
            }
        }
    }

    /// Returns the messages to send.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, OriginMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the lookups that have ended.
    pub fn take_resolved(&mut self) -> Vec<ResolvedOrigin<T>> {
        std::mem::take(&mut self.resolved)
    }

    fn end(&mut self, key: StreamKey) {
        let Some(lookup) = self.pending.remove(&key) else { return };
        let resolution = OriginResolution::new(lookup.recollection, OriginSource::Owners);
        for handle in lookup.handles {
            self.resolve(handle, resolution.clone());
        }
    }
}
