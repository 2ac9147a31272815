//! Which caches hold which shared prefixes, as this node has seen.

use std::collections::HashMap;

use super::AffinityKey;
use super::Scope;
use crate::fleet::UpstreamIndex;
use redwingrill_routing::CacheChange;
use redwingrill_routing::PartId;
use redwingrill_routing::PromptPart;

/// How long a prefix is taken to stay in an engine after its last use there.
const HELD_MS: u64 = 8_000;

/// How long a prefix that was sent to the cache store is taken to be on its way there.
const SAVING_MS: u64 = 2_500;

/// The most entries; the oldest go first.
const ENTRIES_LIMIT: usize = 8_192;

type Held = (AffinityKey, Scope);

/// What this node knows of cached prefixes.
#[derive(Clone, Debug, Default)]
pub struct PartKnowledge {
    engines: HashMap<Held, Vec<(UpstreamIndex, u64)>>,
    // Parts in the cache store by their scope; absent while it is not heard.
    stored: Option<HashMap<String, HashMap<PartId, u32>>>,
    saving_ms: HashMap<Held, u64>,
}

impl PartKnowledge {
    /// Notes that an engine has read a prefix.
    pub fn read(&mut self, key: AffinityKey, scope: Scope, engine: UpstreamIndex, now_ms: u64) {
        if self.engines.len() >= ENTRIES_LIMIT {
            self.engines.retain(|_, holders| {
                holders.iter().any(|(_, at_ms)| now_ms.saturating_sub(*at_ms) < HELD_MS)
            });
        }
        let holders = self.engines.entry((key, scope)).or_default();
        holders
            .retain(|(holder, at_ms)| *holder != engine && now_ms.saturating_sub(*at_ms) < HELD_MS);
        holders.push((engine, now_ms));
    }

    /// Returns the engines that hold a prefix, the latest use last.
    pub fn holders(
        &self,
        key: AffinityKey,
        scope: &Scope,
        now_ms: u64,
    ) -> impl Iterator<Item = UpstreamIndex> {
        let holders = self.engines.get(&(key, scope.clone())).map_or(&[][..], Vec::as_slice);
        let live = holders.iter().filter(move |(_, at_ms)| now_ms.saturating_sub(*at_ms) < HELD_MS);
        live.map(|(engine, _)| *engine)
    }

    /// Forgets what an engine held.
    pub fn forget(&mut self, engine: UpstreamIndex) {
        for holders in self.engines.values_mut() {
            holders.retain(|(holder, _)| *holder != engine);
        }
        self.engines.retain(|_, holders| !holders.is_empty());
    }

    /// Notes that a prefix is sent to the cache store.
    pub fn saving(&mut self, key: AffinityKey, scope: Scope, now_ms: u64) {
        if self.saving_ms.len() >= ENTRIES_LIMIT {
            self.saving_ms.retain(|_, at_ms| now_ms.saturating_sub(*at_ms) < SAVING_MS);
        }
        self.saving_ms.insert((key, scope), now_ms);
    }

    /// Returns whether a prefix is on its way to the cache store.
    pub fn is_saving(&self, key: AffinityKey, scope: &Scope, now_ms: u64) -> bool {
        let sent = self.saving_ms.get(&(key, scope.clone()));
        sent.is_some_and(|at_ms| now_ms.saturating_sub(*at_ms) < SAVING_MS)
    }

    /// Takes in what changed in the cache store.
    pub fn store_changed(&mut self, changes: Vec<CacheChange>) {
        let stored = self.stored.get_or_insert_default();
        for change in changes {
            let parts = stored.entry(change.scope).or_default();
            match change.tokens {
                0 => parts.remove(&change.part),
                tokens => parts.insert(change.part, tokens),
            };
        }
        stored.retain(|_, parts| !parts.is_empty());
    }

    /// Forgets what the cache store held; `is_heard` tells whether it answers.
    pub fn store_emptied(&mut self, is_heard: bool) {
        self.stored = is_heard.then(HashMap::new);
        self.saving_ms.clear();
    }

    /// Returns whether the cache store answers.
    pub fn hears_store(&self) -> bool {
        self.stored.is_some()
    }

    /// Returns how many of the leading tokens of a prompt the cache store holds.
    pub fn stored_tokens(&self, scope: &Scope, parts: &[PromptPart]) -> u32 {
        let Some(held) = self.stored.as_ref().and_then(|stored| stored.get(&scope.0)) else {
            return 0;
        };
        let mut tokens = 0;
        for part in parts {
            let held = held.get(&part.id).copied().unwrap_or(0).min(part.tokens);
            tokens += held;
            if held < part.tokens {
                break;
            }
        }
        tokens
    }
}
