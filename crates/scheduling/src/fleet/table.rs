//! The table of upstreams.
//!
//! Invariants: an identity has at most one index; indexes are never reused, so a late report on a
//! removed upstream has no effect; the node's own counters, such as requests in flight, survive a
//! new listing of the same start of an upstream.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use super::Closure;
use super::EndEvidence;
use super::EndStatement;
use super::EndedStarts;
use super::Health;
use super::NodeLoad;
use super::PeerLoads;
use super::UpstreamTag;
use crate::engine_model::ConcurrencyLimit;
use crate::engine_model::EngineSpeed;
use crate::signals::SignalState;
use redwingrill_routing::ReportedLoad;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;

/// How long an upstream is skipped after it turned out to be another one or to hold other weights.
const MISDIRECTED_SKIP_MS: u64 = 400;

/// How long the signals of an upstream that is no longer listed are kept: longer than an upstream
/// that leaves still serves, and than copies of the store are old.
const UNLISTED_SIGNALS_AGE_MS: u64 = 600_000;

/// The minimum time between comparisons of the speeds. Factors need many responses to change.
const COMPARE_SPEEDS_PERIOD_MS: u64 = 200;

/// How long a load report is valid.
const REPORT_AGE_LIMIT_MS: u64 = 3_000;

/// The identifier of one start of an upstream, local to this node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct UpstreamIndex(pub u64);

/// The state of one upstream.
#[derive(Clone, Debug)]
pub struct FleetEntry {
    /// The listed properties.
    pub upstream: Arc<Upstream>,
    /// The identifier in digests.
    pub tag: UpstreamTag,
    /// The identifier of this start in digests.
    pub start_tag: UpstreamTag,
    /// The load of the other nodes' requests.
    pub peer_load: NodeLoad,
    /// This node's requests in flight.
    pub in_flight: u32,
    /// Prompt tokens of this node's requests whose prefill is not complete.
    pub pending_prefill_tokens: u64,
    /// Tokens that this node's requests reserve in the upstream's memory.
    pub reserved_tokens: u64,
    /// The health, from the outcomes of this node's requests.
    pub health: Health,
    /// Whether the upstream is loading new weights.
    pub is_loading: bool,
    /// The speed relative to the service.
    pub speed: EngineSpeed,
    /// The concurrent work that it handles well.
    pub limit: ConcurrencyLimit,
    /// What the upstream said of itself.
    pub signals: SignalState,
    reported: Option<(ReportedLoad, u64)>,
    // The requests of the last report that no node's counters contained.
    unknown_at_report: u32,
    // Versions reported in responses, which may be newer than the listed ones.
    reported_versions: HashMap<String, WeightsVersion>,
    skipped_until_ms: u64,
    warm_at_ms: u64,
    // The start that is listed as the latest at the address, if it is another one.
    superseded_by: Option<UpstreamTag>,
}

impl FleetEntry {
    fn new(upstream: Arc<Upstream>, now_ms: u64) -> Self {
        let warm_at_ms = now_ms + upstream.warm_up_remaining.as_millis() as u64;
        Self {
            tag: UpstreamTag::of(&upstream.id),
            start_tag: UpstreamTag::of_start(&upstream),
            peer_load: NodeLoad::default(),
            upstream,
            in_flight: 0,
            pending_prefill_tokens: 0,
            reserved_tokens: 0,
            health: Health::default(),
            is_loading: false,
            speed: EngineSpeed::default(),
            limit: ConcurrencyLimit::default(),
            signals: SignalState::default(),
            reported: None,
            unknown_at_report: 0,
            reported_versions: HashMap::new(),
            skipped_until_ms: 0,
            warm_at_ms,
            superseded_by: None,
        }
    }

    fn closure(&self, now_ms: u64) -> Option<Closure> {
        if self.upstream.state != UpstreamState::Ready {
            Some(Closure::NotReady)
        } else if self.is_loading {
            Some(Closure::LoadsWeights)
        } else if self.signals.is_closed(now_ms) {
            Some(Closure::Paused)
        } else if now_ms < self.skipped_until_ms {
            Some(Closure::Skipped)
        } else {
            None
        }
    }

    /// Returns whether the upstream is still slow after its start.
    pub fn is_warming_up(&self, now_ms: u64) -> bool {
        now_ms < self.warm_at_ms
    }

    /// Returns the newest version of a model's weights that the upstream is known to hold.
    pub fn version_of(&self, model: &str) -> Option<WeightsVersion> {
        let listed = self.upstream.version_of(model)?;
        Some(self.reported_versions.get(model).copied().unwrap_or(listed).max(listed))
    }

    /// Returns the known number of running and queued requests at the upstream.
    pub fn load(&self, now_ms: u64) -> u32 {
        let known = self.in_flight.saturating_add(self.peer_load.in_flight);
        match self.reported {
            // The counters of the nodes are newer than the report and include all nodes.
            _ if self.peer_load.in_flight > 0 => known,
            Some((_, at_ms)) if now_ms.saturating_sub(at_ms) < REPORT_AGE_LIMIT_MS => {
                known.saturating_add(self.unknown_at_report)
            }
            _ => known,
        }
    }

    /// Returns the prompt tokens of all nodes' requests whose prefill is not complete.
    pub fn total_pending_prefill_tokens(&self) -> u64 {
        self.pending_prefill_tokens + u64::from(self.peer_load.pending_prefill_tokens)
    }

    /// Returns the number of requests that the upstream can run at once.
    pub fn slots(&self) -> u32 {
        let reported = self.reported.map_or(0, |(load, _)| load.slots);
        self.upstream.slots.max(reported).max(1)
    }

    /// Returns the tokens that all nodes' requests reserve in the upstream's memory.
    pub fn total_reserved_tokens(&self) -> u64 {
        self.reserved_tokens + u64::from(self.peer_load.reserved_tokens)
    }

    /// Returns the load of this node's requests.
    pub fn own_load(&self) -> NodeLoad {
        NodeLoad {
            pending_prefill_tokens: u32::try_from(self.pending_prefill_tokens).unwrap_or(u32::MAX),
            in_flight: self.in_flight,
            reserved_tokens: u32::try_from(self.reserved_tokens).unwrap_or(u32::MAX),
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, pending_prefill_tokens: u64, reserved_tokens: u64) {
        self.in_flight += 1;
        self.pending_prefill_tokens += pending_prefill_tokens;
        self.reserved_tokens += reserved_tokens;
    }

    /// Records that the prefill of a prompt is complete or will not happen.
    pub fn record_prefill(&mut self, pending_prefill_tokens: u64) {
        self.pending_prefill_tokens =
            self.pending_prefill_tokens.saturating_sub(pending_prefill_tokens);
    }

    /// Records the end of a request.
    pub fn record_end(&mut self, reserved_tokens: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.reserved_tokens = self.reserved_tokens.saturating_sub(reserved_tokens);
    }

    /// Records a load report.
    pub fn record_load_report(&mut self, load: ReportedLoad, now_ms: u64) {
        if let Some(percent) = load.slowdown_percent {
            self.speed.observe_slowdown(f64::from(percent) / 100.0);
        }
        let reported = load.running.saturating_add(load.waiting);
        let known = self.in_flight.saturating_add(self.peer_load.in_flight);
        self.unknown_at_report = reported.saturating_sub(known);
        self.reported = Some((load, now_ms));
    }

    /// Records the version that a response reported.
    pub fn record_version(&mut self, model: &str, version: WeightsVersion) {
        let newest = self.reported_versions.entry(model.to_owned()).or_default();
        *newest = (*newest).max(version);
    }

    /// Skips the upstream briefly after it turned out to be another one or to hold other weights.
    pub fn record_misdirected(&mut self, now_ms: u64) {
        self.skipped_until_ms = now_ms + MISDIRECTED_SKIP_MS;
    }

    /// Skips the upstream for `pause_ms` because it has no capacity.
    pub fn skip_for(&mut self, pause_ms: u64, now_ms: u64) {
        self.skipped_until_ms = self.skipped_until_ms.max(now_ms + pause_ms);
    }
}

/// The table of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    entries: HashMap<UpstreamIndex, FleetEntry>,
    by_id: HashMap<String, UpstreamIndex>,
    by_service: HashMap<String, Vec<UpstreamIndex>>,
    loading: HashSet<String>,
    // What starts that are no longer listed said of themselves, and when they were removed.
    unlisted_signals: HashMap<UpstreamTag, (SignalState, u64)>,
    ended: EndedStarts,
    next_index: u64,
    speeds_compared_ms: Option<u64>,
}

impl Fleet {
    /// Replaces the list of upstreams. Returns the removed ones.
    pub fn set_upstreams(&mut self, listed: Vec<Arc<Upstream>>, now_ms: u64) -> Vec<UpstreamIndex> {
        let mut kept = HashMap::with_capacity(listed.len());
        self.by_service.clear();
        for upstream in listed {
            let index = self.upsert(&upstream, now_ms);
            self.by_service.entry(upstream.service.clone()).or_default().push(index);
            kept.insert(upstream.id.clone(), index);
        }
        let listed_indexes: HashSet<UpstreamIndex> = kept.values().copied().collect();
        let removed: Vec<_> =
            self.entries.keys().filter(|i| !listed_indexes.contains(i)).copied().collect();
        self.unlisted_signals
            .retain(|_, (_, at_ms)| now_ms.saturating_sub(*at_ms) < UNLISTED_SIGNALS_AGE_MS);
        for index in &removed {
            let Some(entry) = self.entries.remove(index) else { continue };
            if entry.signals.is_significant(now_ms) {
                self.unlisted_signals.insert(entry.start_tag, (entry.signals, now_ms));
            }
        }
        self.by_id = kept;
        self.mark_loading();
        self.mark_superseded();
        removed
    }

    /// Marks the entries whose address a later start has. The list may lose them only later.
    fn mark_superseded(&mut self) {
        let mut latest: HashMap<SocketAddr, (Option<u64>, UpstreamTag)> = HashMap::new();
        for entry in self.entries.values() {
            let start = (entry.upstream.started_unix_ms, entry.start_tag);
            let known = latest.entry(entry.upstream.address).or_insert(start);
            *known = (*known).max(start);
        }
        for entry in self.entries.values_mut() {
            let Upstream { address, started_unix_ms, .. } = *entry.upstream;
            let later = latest.get(&address).filter(|(started, _)| *started > started_unix_ms);
            entry.superseded_by = later.map(|(_, start)| *start);
        }
    }

    /// Returns whether an upstream may receive new requests, regardless of its health.
    pub fn accepts_requests(&self, entry: &FleetEntry, now_ms: u64) -> bool {
        self.closure(entry, now_ms).is_none()
    }

    /// Returns why an upstream may not receive new requests, regardless of its health; `None` if it
    /// may.
    pub fn closure(&self, entry: &FleetEntry, now_ms: u64) -> Option<Closure> {
        let has_ended = |start| self.ended.contains(start, now_ms);
        entry.closure(now_ms).or_else(|| {
            if has_ended(entry.start_tag) {
                return Some(Closure::Ended);
            }
            // An entry may be wrong about its start, so a later one counts until it proves wrong.
            let is_superseded = entry.superseded_by.is_some_and(|start| !has_ended(start));
            is_superseded.then_some(Closure::Superseded)
        })
    }

    /// Returns whether an upstream takes no request any more: it leaves, its process has ended, or a
    /// later start has its address.
    pub fn has_gone(&self, entry: &FleetEntry, now_ms: u64) -> bool {
        let has_ended = |start| self.ended.contains(start, now_ms);
        entry.upstream.state == UpstreamState::Leaving
            || entry.signals.leaving_since_ms.is_some()
            || has_ended(entry.start_tag)
            || entry.superseded_by.is_some_and(|start| !has_ended(start))
    }

    /// Records that a start has ended. Returns whether that is news.
    pub fn record_ended(
        &mut self,
        index: UpstreamIndex,
        evidence: EndEvidence,
        now_ms: u64,
    ) -> bool {
        let start = self.entries.get(&index).map(|entry| entry.start_tag);
        start.is_some_and(|start| self.ended.record(start, evidence, now_ms))
    }

    /// Takes the evidence of another node. Returns the listed upstreams of which it is news.
    pub fn merge_ended(&mut self, statements: &[EndStatement], now_ms: u64) -> Vec<UpstreamIndex> {
        let news = self.ended.merge(statements, now_ms);
        let listed = self.entries.iter().filter(|(_, entry)| news.contains(&entry.start_tag));
        listed.map(|(index, _)| *index).collect()
    }

    /// Returns the recent evidence of this node that starts have ended.
    pub fn end_statements(&self, now_ms: u64) -> Vec<EndStatement> {
        self.ended.statements(now_ms)
    }

    fn upsert(&mut self, upstream: &Arc<Upstream>, now_ms: u64) -> UpstreamIndex {
        let known = self.by_id.get(&upstream.id).copied();
        if let Some(index) = known
            && let Some(entry) = self.entries.get_mut(&index)
            && entry.upstream.started_unix_ms == upstream.started_unix_ms
            && entry.upstream.address == upstream.address
        {
            if entry.upstream != *upstream {
                entry.upstream = upstream.clone();
                entry.warm_at_ms = now_ms + upstream.warm_up_remaining.as_millis() as u64;
                entry.skipped_until_ms = 0;
            }
            return index;
        }
        self.next_index += 1;
        let index = UpstreamIndex(self.next_index);
        let mut entry = FleetEntry::new(upstream.clone(), now_ms);
        if let Some((signals, _)) = self.unlisted_signals.remove(&entry.start_tag) {
            entry.signals = signals;
        }
        self.entries.insert(index, entry);
        index
    }

    /// Replaces the identities of the upstreams that are loading new weights.
    pub fn set_loading(&mut self, loading: HashSet<String>) {
        self.loading = loading;
        self.mark_loading();
    }

    fn mark_loading(&mut self) {
        for entry in self.entries.values_mut() {
            entry.is_loading = self.loading.contains(&entry.upstream.id);
        }
    }

    /// Returns the upstreams of a service, in list order.
    pub fn of_service<'a>(
        &'a self,
        service: &str,
    ) -> impl Iterator<Item = (UpstreamIndex, &'a FleetEntry)> {
        let indexes = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        indexes.iter().filter_map(|index| Some((*index, self.entries.get(index)?)))
    }

    /// Returns one upstream.
    pub fn get(&self, index: UpstreamIndex) -> Option<&FleetEntry> {
        self.entries.get(&index)
    }

    /// Returns one upstream for modification.
    pub fn get_mut(&mut self, index: UpstreamIndex) -> Option<&mut FleetEntry> {
        self.entries.get_mut(&index)
    }

    /// Returns the upstream with a tag.
    pub fn by_tag(&self, tag: UpstreamTag) -> Option<UpstreamIndex> {
        self.entries.iter().find(|(_, entry)| entry.tag == tag).map(|(index, _)| *index)
    }

    /// Updates the load of the other nodes' requests.
    pub fn set_peer_loads(&mut self, peers: &PeerLoads) {
        for entry in self.entries.values_mut() {
            entry.peer_load = peers.load_at(entry.tag);
            entry.limit.set_peers(peers.steps_at(entry.start_tag));
        }
    }

    /// Compares the speeds of the upstreams within each service, if the last comparison is old.
    pub fn compare_speeds(&mut self, now_ms: u64) {
        let is_recent = |at_ms| now_ms.saturating_sub(at_ms) < COMPARE_SPEEDS_PERIOD_MS;
        if self.speeds_compared_ms.is_some_and(is_recent) {
            return;
        }
        self.speeds_compared_ms = Some(now_ms);
        for entry in self.entries.values_mut() {
            entry.limit.update(entry.slots(), now_ms);
        }
        for indexes in self.by_service.values() {
            let speeds = indexes.iter().filter_map(|index| self.entries.get(index));
            let speeds: Vec<EngineSpeed> = speeds.map(|entry| entry.speed).collect();
            let median = |factor_of: fn(&EngineSpeed) -> f64| {
                let mut factors: Vec<f64> = speeds.iter().map(factor_of).collect();
                let middle = factors.len().checked_sub(1)? / 2;
                Some(*factors.select_nth_unstable_by(middle, f64::total_cmp).1)
            };
            let (Some(factor), Some(time_factor)) =
                (median(EngineSpeed::factor), median(EngineSpeed::usual_time_factor))
            else {
                continue;
            };
            for index in indexes {
                if let Some(entry) = self.entries.get_mut(index) {
                    entry.speed.compare(factor, time_factor);
                }
            }
        }
    }

    /// Returns all upstreams for modification.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (UpstreamIndex, &mut FleetEntry)> {
        self.entries.iter_mut().map(|(index, entry)| (*index, entry))
    }

    /// Returns all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = (UpstreamIndex, &FleetEntry)> {
        self.entries.iter().map(|(index, entry)| (*index, entry))
    }

    /// Takes over what another table of this node knows of the same starts, except their load.
    pub(crate) fn follow(&mut self, node: &Fleet) {
        self.set_loading(node.loading.clone());
        self.ended.follow(&node.ended);
        for entry in self.entries.values_mut() {
            let known =
                node.by_id.get(&entry.upstream.id).and_then(|index| node.entries.get(index));
            let Some(known) = known.filter(|known| known.start_tag == entry.start_tag) else {
                continue;
            };
            entry.speed = known.speed;
            entry.limit = known.limit;
            for (model, version) in &known.reported_versions {
                entry.record_version(model, *version);
            }
        }
    }

    /// Checks the invariants of the table.
    ///
    /// # Errors
    ///
    /// Describes the first violated invariant.
    pub fn verify(&self) -> Result<(), String> {
        for (id, index) in &self.by_id {
            let entry = self.entries.get(index).ok_or(format!("{id} has no entry"))?;
            if entry.upstream.id != *id {
                return Err(format!("{id} maps to the entry of {}", entry.upstream.id));
            }
        }
        if self.by_id.len() != self.entries.len() {
            return Err(format!("{} ids, {} entries", self.by_id.len(), self.entries.len()));
        }
        let in_services: usize = self.by_service.values().map(Vec::len).sum();
        if in_services != self.entries.len() {
            return Err(format!("{in_services} in services, {} entries", self.entries.len()));
        }
        Ok(())
    }
}
