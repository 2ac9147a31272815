//! A bounded memory of the origins of recent streams.
//!
//! Answers a steady flow of short streams that are hardly ever asked for: to remember one takes
//! constant time and a few words, as the few origins are shared.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;

use super::Recollection;
use super::StreamKey;
use super::StreamOrigin;

#[derive(Debug)]
struct Entry {
    // `None` if different origins were named.
    origin: Option<Arc<StreamOrigin>>,
    expires_ms: u64,
}

/// The origins of recent streams.
#[derive(Debug)]
pub struct OriginMemory {
    entries: HashMap<StreamKey, Entry>,
    // Each time that a stream was remembered, oldest first, with the expiry that it had then.
    order: VecDeque<(StreamKey, u64)>,
    origins: HashSet<Arc<StreamOrigin>>,
    limit: usize,
}

impl OriginMemory {
    /// Creates a memory of at most `limit` streams; the oldest ones go first.
    pub fn new(limit: usize) -> Self {
        Self { entries: HashMap::new(), order: VecDeque::new(), origins: HashSet::new(), limit }
    }

    /// Returns the number of streams, expired ones included that were not removed yet.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no stream.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Remembers a stream for `retention_ms`, or longer if it was remembered for longer before.
    pub fn remember(
        &mut self,
        key: StreamKey,
        origin: &StreamOrigin,
        retention_ms: u64,
        now_ms: u64,
    ) {
        self.expire(now_ms);
        let origin = self.share(origin);
        let expires_ms = now_ms + retention_ms;
        let entry = self
            .entries
            .entry(key)
            .or_insert_with(|| Entry { origin: Some(origin.clone()), expires_ms });
        if entry.origin.as_ref() != Some(&origin) {
            entry.origin = None;
        }
        entry.expires_ms = entry.expires_ms.max(expires_ms);
        self.order.push_back((key, entry.expires_ms));
        while self.order.len() > self.limit {
            self.forget_oldest();
        }
    }

    /// Returns what is remembered of a stream.
    pub fn recall(&self, key: StreamKey, now_ms: u64) -> Recollection {
        match self.entries.get(&key).filter(|entry| entry.expires_ms > now_ms) {
            None => Recollection::Unknown,
            Some(Entry { origin: None, .. }) => Recollection::Contradicted,
            Some(Entry { origin: Some(origin), .. }) => Recollection::Known((**origin).clone()),
        }
    }

    /// Returns the streams, the oldest first; one that was remembered again comes several times.
    pub fn keys(&self) -> impl Iterator<Item = StreamKey> {
        self.order.iter().map(|&(key, _)| key)
    }

    fn expire(&mut self, now_ms: u64) {
        while self.order.front().is_some_and(|&(_, expires_ms)| expires_ms <= now_ms) {
            self.forget_oldest();
        }
        if self.entries.is_empty() {
            self.origins.clear();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((key, expires_ms)) = self.order.pop_front() else { return };
        // One that was remembered again since stays.
        if self.entries.get(&key).is_some_and(|entry| entry.expires_ms <= expires_ms) {
            self.entries.remove(&key);
        }
    }

    fn share(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(shared) = self.origins.get(origin) {
            return shared.clone();
        }
        // Without this, origins that are no longer in use would add up over many releases.
        self.origins.retain(|shared| Arc::strong_count(shared) > 1);
        let shared = Arc::new(origin.clone());
        self.origins.insert(shared.clone());
        shared
    }
}
