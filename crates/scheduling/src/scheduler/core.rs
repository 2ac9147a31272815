//! The state of the scheduler and the events that change it.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Assignment;
use super::AttemptEffect;
use super::AttemptOutcome;
use super::ScheduleRequest;
use super::Shortage;
use super::choose::Candidate;
use super::pacing::NodeShare;
use super::pacing::Pacer;
use crate::engine_model::ModelDigest;
use crate::engine_model::RouteTag;
use crate::engine_model::ServiceModel;
use crate::engine_model::ServiceTag;
use crate::fleet::ArrivalCounter;
use crate::fleet::EndEvidence;
use crate::fleet::Fleet;
use crate::fleet::FleetEntry;
use crate::fleet::LoadDigest;
use crate::fleet::Misdirection;
use crate::fleet::PeerLoads;
use crate::fleet::ResponseSample;
use crate::fleet::UpstreamIndex;
use crate::fleet::UpstreamTag;
use crate::fleet::Verdict;
use crate::placement::ArrivalRates;
use crate::placement::CacheIndex;
use crate::placement::PrefixTag;
use crate::quarantine::Quarantine;
use crate::retry_budget::RetryBudget;
use crate::retry_budget::RetryBudgetSpec;
use crate::weights::GraceRecord;
use crate::weights::VersionHistory;
use redwingrill_routing::CacheChange;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::ReportedLoad;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;

/// The number of nodes that is assumed before the members are known.
pub(super) const DEFAULT_MEMBERS: usize = 8;

/// How long a node that is no longer listed counts among those that share rate limits. The list may
/// lose many nodes at once that go on, when the store was unavailable or came back from an older
/// copy, and each would take the share of the others.
const MEMBER_MEMORY_MS: u64 = 30_000;

/// The percentage of an upstream's connections that nodes use, so that nodes which do not know each
/// other yet stay within its limit together.
const CONNECTIONS_PERCENT: u32 = 80;

/// Options of a scheduler.
#[derive(Clone, Debug)]
pub struct SchedulerOptions {
    /// The name of the node.
    pub node: String,
    /// The failure domain of the node.
    pub failure_domain: String,
    /// The retry budget.
    pub budget: RetryBudgetSpec,
    /// How long older weights may still be used after a new target version is published.
    pub version_limit_ms: u64,
    /// Whether upstreams get no more requests at once than they handle well.
    pub limits_concurrency: bool,
    /// The seed of random choices.
    pub seed: u64,
}

/// The maximum number of engine speeds in a digest.
const SPEEDS_LIMIT: usize = 24;

/// The number of samples that wait for a report, so that a report fits into a datagram.
const UNREPORTED_SAMPLES_LIMIT: usize = 32;

/// The maximum number of upstreams whose times of work are in a digest.
const STEPS_LIMIT: usize = 16;

/// Times of work with less weight are not worth a place in a digest.
const MIN_STEPS_WEIGHT: f64 = 0.5;

/// All state that scheduling decisions depend on.
#[derive(Clone, Debug)]
pub struct Scheduler {
    pub(super) options: SchedulerOptions,
    pub(super) fleet: Fleet,
    pub(super) cache_index: CacheIndex,
    pub(super) target_versions: HashMap<String, VersionHistory>,
    pub(super) cache_store: Option<SocketAddr>,
    pub(super) rng: SmallRng,
    pub(super) pacer: Pacer,
    models: HashMap<String, ServiceModel>,
    // A buffer that is reused between decisions.
    pub(super) candidates: Vec<Candidate>,
    // Why the last request that had to wait found no upstream.
    pub(super) shortage: Shortage,
    pub(super) peers: PeerLoads,
    short_arrivals: ArrivalCounter,
    long_arrivals: ArrivalCounter,
    pub(super) sequence: u64,
    budgets: HashMap<String, RetryBudget>,
    connection_limits: HashMap<String, u32>,
    cache_tokens: HashMap<String, u64>,
    members: usize,
    // The names of the nodes that share rate limits, sorted; empty until they are known.
    pub(super) member_names: Vec<String>,
    // When each of them was listed last.
    members_listed_ms: HashMap<String, u64>,
    // The long prefixes in use; counted with each digest.
    pub(super) live_prefixes: usize,
    quarantine: Quarantine,
    // Samples of this node's responses that are not reported to a coordinator yet.
    unreported_samples: VecDeque<ResponseSample>,
}

impl Scheduler {
    /// Creates a scheduler without upstreams.
    pub fn new(options: SchedulerOptions) -> Self {
        let rng = SmallRng::seed_from_u64(options.seed);
        Self {
            options,
            fleet: Fleet::default(),
            cache_index: CacheIndex::default(),
            target_versions: HashMap::new(),
            cache_store: None,
            rng,
            pacer: Pacer::default(),
            models: HashMap::new(),
            candidates: Vec::new(),
            shortage: Shortage::default(),
            peers: PeerLoads::default(),
            short_arrivals: ArrivalCounter::default(),
            long_arrivals: ArrivalCounter::default(),
            sequence: 0,
            budgets: HashMap::new(),
            connection_limits: HashMap::new(),
            cache_tokens: HashMap::new(),
            members: DEFAULT_MEMBERS,
            member_names: Vec::new(),
            members_listed_ms: HashMap::new(),
            live_prefixes: 0,
            quarantine: Quarantine::default(),
            unreported_samples: VecDeque::new(),
        }
    }

    /// Returns the upstreams.
    pub fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the parts of prompts that are suspect or quarantined.
    pub fn quarantine_mut(&mut self) -> &mut Quarantine {
        &mut self.quarantine
    }

    /// Replaces the list of upstreams.
    pub fn set_upstreams(&mut self, listed: Vec<Arc<Upstream>>, now_ms: u64) {
        for removed in self.fleet.set_upstreams(listed, now_ms) {
            self.cache_index.remove_engine(removed);
        }
        self.fleet.set_peer_loads(&self.peers);
        // An upstream that is listed again brings its limit, and the nodes may have changed.
        self.share_limits(now_ms);
    }

    /// Merges the load digest of another node.
    ///
    /// Returns the upstreams that have ended and of which it is news.
    pub fn observe_peer(&mut self, mut digest: LoadDigest, now_ms: u64) -> Vec<UpstreamIndex> {
        let ended = self.fleet.merge_ended(&digest.ended, now_ms);
        if let Some(stored) = digest.cache_store.take() {
            self.cache_index.cache_store_mut().merge_peer_digest(stored, now_ms);
        }
        for (prefix, engine) in &digest.prefixes {
            if let Some(index) = self.fleet.by_tag(*engine)
                && !self.cache_index.has(*prefix, index, now_ms)
            {
                self.cache_index.record_use(*prefix, index, now_ms);
            }
        }
        self.merge_model(&digest.model);
        self.fleet.compare_speeds(now_ms);
        self.merge_limits(&digest.limits, now_ms);
        self.quarantine.merge(digest.node, &digest.quarantine, now_ms);
        self.peers.observe(digest, now_ms);
        self.fleet.set_peer_loads(&self.peers);
        ended
    }

    /// Merges what another node learned about the upstreams.
    fn merge_model(&mut self, digest: &ModelDigest) {
        for (service, model) in &mut self.models {
            let tag = ServiceTag::of(service);
            if let Some((_, curve, samples)) = digest.curves.iter().find(|(t, _, _)| *t == tag) {
                model.fit_mut().merge_prior((*curve).into(), f64::from(*samples));
            }
        }
        for (tag, factor, slowdown, samples) in &digest.speeds {
            if let Some(index) = self.fleet.by_tag(*tag)
                && let Some(entry) = self.fleet.get_mut(index)
            {
                let (factor, slowdown) = (f64::from(*factor), f64::from(*slowdown));
                entry.speed.merge(factor, slowdown, f64::from(*samples));
            }
        }
    }

    /// Returns what this node learned about the upstreams: all services, and the engines whose speed
    /// it knows well, at most [`SPEEDS_LIMIT`], in turn.
    fn model_digest(&self, now_ms: u64) -> ModelDigest {
        let curves = self.models.iter().filter(|(_, model)| model.fit().samples() > 0.0);
        let curves = curves.map(|(service, model)| {
            (ServiceTag::of(service), model.curve().into(), model.fit().samples() as f32)
        });
        let known = self.fleet.iter().filter(|(_, entry)| entry.speed.is_founded());
        let known: Vec<&FleetEntry> = known.map(|(_, entry)| entry).collect();
        let first = self.sequence as usize * SPEEDS_LIMIT % known.len().max(1);
        let told = known.iter().cycle().skip(first).take(known.len().min(SPEEDS_LIMIT));
        let speeds = told.map(|entry| {
            let speed = &entry.speed;
            (
                entry.tag,
                speed.factor() as f32,
                speed.usual_slowdown() as f32,
                speed.samples() as f32,
            )
        });
        ModelDigest {
            curves: curves.collect(),
            speeds: speeds.collect(),
            steps: self.steps_digest(now_ms),
        }
    }

    /// Returns the times of work at the upstreams of which this node knows most.
    fn steps_digest(&self, now_ms: u64) -> Vec<(UpstreamTag, [f32; 6])> {
        if !self.options.limits_concurrency {
            return Vec::new();
        }
        let known = self.fleet.iter().map(|(_, entry)| (entry.start_tag, entry.limit.own(now_ms)));
        let mut known: Vec<_> =
            known.filter(|(_, steps)| steps.weight() >= MIN_STEPS_WEIGHT).collect();
        known.sort_by(|(_, one), (_, other)| other.weight().total_cmp(&one.weight()));
        known.iter().take(STEPS_LIMIT).map(|(start, steps)| (*start, steps.into())).collect()
    }

    /// Returns how many requests an upstream gets at once, at most its slots.
    pub fn concurrency_limit(&self, entry: &FleetEntry) -> u32 {
        let slots = entry.slots();
        if self.options.limits_concurrency { entry.limit.get(slots) } else { slots }
    }

    /// Records the mean pause between the events of a stream that ended well.
    pub fn observe_mean_pause(&mut self, index: UpstreamIndex, mean_pause_ms: f64, now_ms: u64) {
        if let Some(entry) = self.fleet.get_mut(index) {
            entry.limit.observe_stream(entry.load(now_ms), mean_pause_ms, now_ms);
        }
    }

    /// Returns the digest of this node's requests for the other nodes.
    pub fn digest(&mut self, node: u64, now_ms: u64) -> LoadDigest {
        if self.peers.expire(now_ms) {
            self.fleet.set_peer_loads(&self.peers);
        }
        self.sequence += 1;
        self.live_prefixes = self.cache_index.live_prefixes(now_ms);
        let busy = self.fleet.iter().filter(|(_, entry)| entry.in_flight > 0);
        let upstreams = busy.map(|(_, entry)| (entry.tag, entry.own_load()));
        let prefixes = self
            .cache_index
            .recently_sent(now_ms)
            .filter_map(|(prefix, engine)| Some((prefix, self.fleet.get(engine)?.tag)));
        LoadDigest {
            prefixes: prefixes.collect(),
            cache_store: self.cache_index.cache_store().digest(now_ms),
            model: self.model_digest(now_ms),
            quarantine: self.quarantine.digest(now_ms),
            limits: self.limit_statements(now_ms),
            ended: self.fleet.end_statements(now_ms),
            node,
            sequence: self.sequence,
            upstreams: upstreams.collect(),
            short_per_s: self.short_arrivals.per_s(now_ms),
            long_per_s: self.long_arrivals.per_s(now_ms),
        }
    }

    /// Counts the arrival of a request of a service and a route with a prompt and a latency target.
    pub fn count_prompt(
        &mut self,
        service: &str,
        route: RouteTag,
        prompt: &DeclaredPrompt,
        target_ms: u64,
        now_ms: u64,
    ) {
        match self.observe_prompt(service, route, prompt, target_ms) {
            true => self.long_arrivals.count(now_ms),
            false => self.short_arrivals.count(now_ms),
        }
    }

    /// Records what prompts of a route usually are, without the arrival, on which the roles of
    /// engines depend. Returns whether the prompt is long.
    pub(crate) fn observe_prompt(
        &mut self,
        service: &str,
        route: RouteTag,
        prompt: &DeclaredPrompt,
        target_ms: u64,
    ) -> bool {
        let prompt_tokens = u64::from(prompt.prompt_tokens);
        let own_tokens = prompt_tokens.saturating_sub(u64::from(prompt.shared_tokens()));
        let model = self.model_mut(service);
        model.observe_prompt(route, prompt_tokens, own_tokens, target_ms);
        model.is_long(route, prompt_tokens)
    }

    /// Returns the model of a service's upstreams, if any of its requests was seen.
    pub fn model(&self, service: &str) -> Option<&ServiceModel> {
        self.models.get(service)
    }

    /// Returns how long the weights of an engine may still be used, in milliseconds; `None` if no
    /// newer version supersedes them. An upper bound if the age of the newer version is not known.
    pub fn usable_ms(&self, model: &str, version: WeightsVersion, now_ms: u64) -> Option<u64> {
        let history = self.target_versions.get(model)?;
        let expiry_ms = history.expiry_ms(version, self.options.version_limit_ms)?;
        Some(expiry_ms.saturating_sub(now_ms))
    }

    /// Returns the models of all services.
    pub fn models(&self) -> impl Iterator<Item = (&str, &ServiceModel)> {
        self.models.iter().map(|(service, model)| (service.as_str(), model))
    }

    /// Replaces the model of a service's upstreams.
    pub fn set_model(&mut self, service: &str, model: ServiceModel) {
        self.models.insert(service.to_owned(), model);
    }

    /// Returns the model of a service's upstreams for modification.
    pub(super) fn model_mut(&mut self, service: &str) -> &mut ServiceModel {
        if !self.models.contains_key(service) {
            self.models.insert(service.to_owned(), ServiceModel::default());
        }
        self.models.get_mut(service).expect("model was inserted above")
    }

    /// Returns whether the prompt of a request is long.
    pub(super) fn is_long(&mut self, request: &ScheduleRequest) -> bool {
        let Some(prompt_tokens) = request.prompt.as_ref().map(|prompt| prompt.prompt_tokens) else {
            return false;
        };
        self.model_mut(&request.service).is_long(request.route, u64::from(prompt_tokens))
    }

    /// Records the longest pause of a stream that ended well.
    pub fn observe_pause(&mut self, service: &str, longest_pause_ms: u64) {
        self.model_mut(service).observe_pause(longest_pause_ms);
    }

    /// Returns a random number from an inclusive range.
    pub(super) fn random_between(&mut self, min: u64, max: u64) -> u64 {
        self.rng.random_range(min..=max.max(min))
    }

    /// Returns the arrivals of prompts at all nodes, per second.
    pub(super) fn arrival_rates(&mut self, now_ms: u64) -> ArrivalRates {
        let (short, long) = self.peers.arrivals_per_s();
        ArrivalRates {
            short_per_s: short + self.short_arrivals.per_s(now_ms),
            long_per_s: long + self.long_arrivals.per_s(now_ms),
        }
    }

    /// Records a target version of a model's weights that is published now. Returns whether it is
    /// new to this node.
    pub fn observe_target_version(
        &mut self,
        model: &str,
        version: WeightsVersion,
        now_ms: u64,
    ) -> bool {
        self.version_history(model).observe(version, now_ms)
    }

    /// Records a target version that was published at some time before now. Returns whether it is
    /// new to this node.
    pub fn discover_target_version(
        &mut self,
        model: &str,
        version: WeightsVersion,
        now_ms: u64,
    ) -> bool {
        self.version_history(model).discover(version, now_ms)
    }

    /// Replaces the grace records of a model's target versions.
    pub fn set_grace_records(&mut self, model: &str, records: &[GraceRecord], now_ms: u64) {
        self.version_history(model).set_records(records, now_ms);
    }

    fn version_history(&mut self, model: &str) -> &mut VersionHistory {
        if !self.target_versions.contains_key(model) {
            self.target_versions.insert(model.to_owned(), VersionHistory::default());
        }
        self.target_versions.get_mut(model).expect("history was inserted above")
    }

    /// Returns this node's share of the prompts that arrive at all nodes, from zero to one.
    pub(super) fn own_arrival_share(
        &mut self,
        is_long: bool,
        all: ArrivalRates,
        now_ms: u64,
    ) -> f64 {
        let (own_per_s, all_per_s) = match is_long {
            true => (self.long_arrivals.per_s(now_ms), all.long_per_s),
            false => (self.short_arrivals.per_s(now_ms), all.short_per_s),
        };
        NodeShare::fraction_of(own_per_s, all_per_s, self.members())
    }

    /// Takes over the settings and what another scheduler of this node learned of the upstreams.
    pub(super) fn copy_settings(&mut self, other: &Scheduler) {
        for (service, known) in &other.models {
            match self.models.get_mut(service) {
                Some(model) => model.follow(known),
                None => {
                    self.models.insert(service.clone(), known.clone());
                }
            }
        }
        self.cache_tokens.clone_from(&other.cache_tokens);
    }

    /// Replaces the identities of the engines that are loading new weights.
    pub fn set_loading(&mut self, loading: HashSet<String>) {
        self.fleet.set_loading(loading);
    }

    /// Sets the address of the cache store.
    pub fn set_cache_store(&mut self, address: Option<SocketAddr>) {
        if self.cache_store != address {
            self.cache_index.cache_store_mut().clear();
        }
        self.cache_store = address;
    }

    /// Applies events of the cache store.
    pub fn apply_cache_store_changes(&mut self, changes: Vec<CacheChange>, now_ms: u64) {
        self.cache_index.cache_store_mut().apply_changes(changes, now_ms);
    }

    /// Records whether this node is subscribed to the cache store; a subscription starts with an
    /// empty index.
    pub fn set_cache_store_epoch(&mut self, epoch: Option<u64>) {
        match epoch {
            Some(epoch) => self.cache_index.cache_store_mut().subscribe(epoch),
            None => self.cache_index.cache_store_mut().unsubscribe(),
        }
    }

    /// Sets the number of nodes that share the retry budget.
    pub fn set_members(&mut self, members: usize) {
        self.members = if members == 0 { DEFAULT_MEMBERS } else { members };
        self.quarantine.set_members(self.members);
    }

    /// Sets the names of the nodes, which share rate limits and the retry budget.
    pub fn set_member_names(&mut self, names: Vec<String>, now_ms: u64) {
        self.set_members(names.len());
        self.members_listed_ms.extend(names.into_iter().map(|name| (name, now_ms)));
        self.members_listed_ms
            .retain(|_, listed_ms| now_ms.saturating_sub(*listed_ms) < MEMBER_MEMORY_MS);
        let mut names: Vec<String> = self.members_listed_ms.keys().cloned().collect();
        names.sort_unstable();
        if self.member_names != names {
            self.member_names = names;
            self.share_limits(now_ms);
        }
    }

    /// Sets how many connections one upstream of a service accepts from all nodes together.
    pub fn set_connection_limits(&mut self, limits: Vec<(String, u32)>) {
        self.connection_limits = limits.into_iter().collect();
    }

    /// Sets the memory of one engine of each service, in tokens.
    pub fn set_cache_tokens(&mut self, tokens: Vec<(String, u64)>) {
        self.cache_tokens = tokens.into_iter().collect();
    }

    /// Returns the memory of one engine of a service in tokens, if it is configured.
    pub(super) fn cache_tokens(&self, service: &str) -> Option<u64> {
        self.cache_tokens.get(service).copied().filter(|tokens| *tokens > 0)
    }

    /// Returns this node's share of the connections to one upstream of a service.
    pub(super) fn own_connection_limit(&self, service: &str) -> u32 {
        let limit = self.connection_limits.get(service).copied().unwrap_or(u32::MAX);
        let members = u32::try_from(self.members).unwrap_or(u32::MAX).max(1);
        (limit / members).saturating_mul(CONNECTIONS_PERCENT).max(100) / 100
    }

    /// Releases an assignment that no request used.
    pub fn release_assignment(&mut self, assignment: &Assignment) {
        if let Some(entry) = self.fleet.get_mut(assignment.index) {
            entry.record_prefill(assignment.pending_prefill_tokens);
            entry.record_end(assignment.reserved_tokens);
        }
    }

    /// Returns the number of requests that the upstreams of a request's service and software run at
    /// once.
    pub(super) fn slots_for(&self, request: &ScheduleRequest) -> usize {
        let entries = self.fleet.of_service(&request.service).map(|(_, entry)| entry);
        let usable = entries.filter(|entry| request.accepts_software(&entry.upstream));
        usable.map(|entry| entry.slots() as usize).sum()
    }

    /// Returns the number of nodes.
    pub(super) fn members(&self) -> usize {
        self.members.max(1)
    }

    /// Counts a request of a service.
    pub fn count_request(&mut self, service: &str, now_ms: u64) {
        let spec = self.options.budget;
        self.budget(service).count_request(&spec, now_ms);
    }

    /// Consumes one retry if the budget allows it. Returns whether it does.
    pub fn try_retry(&mut self, service: &str, now_ms: u64) -> bool {
        let (spec, members) = (self.options.budget, self.members);
        self.budget(service).try_retry(&spec, members, now_ms)
    }

    fn budget(&mut self, service: &str) -> &mut RetryBudget {
        if !self.budgets.contains_key(service) {
            self.budgets.insert(service.to_owned(), RetryBudget::default());
        }
        self.budgets.get_mut(service).expect("budget was inserted above")
    }

    /// Records the load and the version of the weights from a response head.
    pub fn observe_response_head(
        &mut self,
        index: UpstreamIndex,
        model: Option<&str>,
        load: Option<ReportedLoad>,
        version: Option<WeightsVersion>,
        now_ms: u64,
    ) {
        let Some(entry) = self.fleet.get_mut(index) else { return };
        if let Some(load) = load {
            entry.record_load_report(load, now_ms);
        }
        if let (Some(model), Some(version)) = (model, version) {
            entry.record_version(model, version);
        }
    }

    /// Records the weights that an engine says it has, unless it has started again since.
    pub fn observe_weights(&mut self, upstream: &Upstream, versions: &[(String, WeightsVersion)]) {
        let start_tag = UpstreamTag::of_start(upstream);
        let mut entries = self.fleet.iter_mut();
        let Some((_, entry)) = entries.find(|(_, entry)| entry.start_tag == start_tag) else {
            return;
        };
        for (model, version) in versions {
            entry.record_version(model, *version);
        }
    }

    /// Records that an engine has prefilled the prompt of a request.
    pub fn record_prefill_done(&mut self, assignment: &Assignment, now_ms: u64) {
        if let Some(entry) = self.fleet.get_mut(assignment.index) {
            entry.record_prefill(assignment.pending_prefill_tokens);
            if assignment.prompt_tokens == 0 {
                // A plain request is complete; its time is that of the whole work.
                let took_ms = now_ms.saturating_sub(assignment.sent_ms) as f64;
                entry.limit.observe_request(took_ms, now_ms);
            }
            let sample = ResponseSample {
                engine: entry.tag,
                unread_tokens: assignment.pending_prefill_tokens,
                prompt_tokens: assignment.prompt_tokens,
                fetched_tokens: assignment.fetched_tokens,
                queued_tokens: assignment.queued_tokens,
                observed_ms: now_ms.saturating_sub(assignment.sent_ms) as f32,
                slowdown: entry.speed.latest_slowdown() as f32,
            };
            let service = &entry.upstream.service;
            if !self.models.contains_key(service) {
                self.models.insert(service.clone(), ServiceModel::default());
            }
            if let Some(model) = self.models.get_mut(service) {
                model.observe_first_event(&(&sample).into(), &mut entry.speed);
            }
            if assignment.coordinator.is_some() {
                self.unreported_samples.push_back(sample);
                if self.unreported_samples.len() > UNREPORTED_SAMPLES_LIMIT {
                    self.unreported_samples.pop_front();
                }
            }
        }
        self.fleet.compare_speeds(now_ms);
        if let (Some(key), Some(scope)) = (assignment.affinity, &assignment.scope) {
            self.cache_index.record_prefill(PrefixTag::new(key, scope), assignment.index, now_ms);
        }
    }

    /// Learns from the first event of a response of another node.
    pub(crate) fn observe_peer_response(&mut self, sample: &ResponseSample, now_ms: u64) {
        let Some(index) = self.fleet.by_tag(sample.engine) else { return };
        let Some(entry) = self.fleet.get_mut(index) else { return };
        entry.speed.observe_slowdown(f64::from(sample.slowdown));
        let unknown = ServiceModel::default();
        let model = self.models.get(&entry.upstream.service).unwrap_or(&unknown);
        model.observe_peer_first_event(&sample.into(), &mut entry.speed);
        self.fleet.compare_speeds(now_ms);
    }

    /// Takes the samples of this node's responses that no coordinator knows yet, of the engines for
    /// which `is_included` returns true.
    pub(crate) fn take_unreported_samples(
        &mut self,
        is_included: impl Fn(UpstreamTag) -> bool,
    ) -> Vec<ResponseSample> {
        let samples = std::mem::take(&mut self.unreported_samples);
        let (taken, kept): (Vec<_>, Vec<_>) =
            samples.into_iter().partition(|sample| is_included(sample.engine));
        self.unreported_samples = kept.into();
        taken
    }

    /// Records the end of one attempt; `pending_prefill_tokens` is zero if
    /// [`Scheduler::record_prefill_done`] was called before. Returns what it changes.
    pub fn record_attempt_end(
        &mut self,
        index: UpstreamIndex,
        pending_prefill_tokens: u64,
        reserved_tokens: u64,
        outcome: &AttemptOutcome,
        now_ms: u64,
    ) -> AttemptEffect {
        let Some(entry) = self.fleet.get_mut(index) else { return AttemptEffect::default() };
        entry.record_end(reserved_tokens);
        entry.record_prefill(pending_prefill_tokens);
        match outcome.misdirection {
            Some(_) => entry.record_misdirected(now_ms),
            None if outcome.verdict == Verdict::Refused => entry.skip_for(REFUSED_SKIP_MS, now_ms),
            None => {}
        }
        let is_ejected = entry.health.observe(outcome.verdict, now_ms);
        let evidence = match outcome {
            AttemptOutcome { misdirection: Some(Misdirection::Ended), .. } => {
                Some(EndEvidence::OtherAnswered)
            }
            AttemptOutcome { verdict: Verdict::NoListener, .. } => Some(EndEvidence::NoListener),
            _ => None,
        };
        let has_ended =
            evidence.is_some_and(|evidence| self.fleet.record_ended(index, evidence, now_ms));
        AttemptEffect { is_ejected, has_ended }
    }
}

/// How long an upstream is skipped after it refused a request, while others are available.
const REFUSED_SKIP_MS: u64 = 100;
