//! The choice among the upstreams of a service: least estimated cost.
//!
//! Answers these loads: a burst of long prompts while some engines are gone (the estimate counts
//! tokens to read and the queue before them), hot prefixes (others than the home of a prefix take
//! over as soon as waiting there costs more than fetching the prefix), and many short requests
//! (load decides, then the failure domain).

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use super::Assignment;
use super::Choice;
use super::RefusalCause;
use super::ScheduleRequest;
use super::Scheduler;
use super::core::Named;
use super::cost::READ_TOKENS_PER_MS;
use super::pacing::Lane;
use super::pacing::Pace;
use super::pacing::Part;
use super::sampling::Draw;
use crate::fleet::FleetEntry;
use crate::fleet::UpstreamIndex;
use crate::placement::AffinityKey;
use crate::placement::ArrivalRates;
use crate::placement::EngineRoles;
use crate::placement::LONG_COST_MS;
use crate::placement::PrefixTag;
use crate::placement::SHORT_COST_MS;
use crate::placement::Scope;
use crate::placement::is_long;
use crate::placement::rendezvous_score;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::WeightsVersion;

/// The spread of random cost for each node, so that nodes with equal knowledge choose differently. It
/// grows with the nodes: the more they are, the older is what each knows of the others, and the more
/// would follow one another to the engine that looked idle.
const NOISE_MS_PER_NODE: f64 = 0.9;
const NOISE_LIMIT_MS: f64 = 80.0;

/// The time before the end of the allowed span from which older weights are not used: a request may
/// wait that long at an engine before it begins.
const OLD_WEIGHTS_MARGIN_MS: u64 = 5_000;

/// The pause that callers are told while no upstream is there.
const NO_UPSTREAM_PAUSE_MS: u64 = 700;

/// The part of its memory up to which an engine gets long prompts, in percent; the rest keeps the
/// prefixes that are used again.
const RUNNING_PERCENT: u64 = 60;

/// The part of its slots up to which an engine for short prompts takes a long one, as a divisor.
const LENT_SLOTS_PART: u32 = 3;

/// Requests for each slot of a plain service that it may have before others wait at the node.
const SERVICE_QUEUE_FACTOR: u32 = 2;

/// The reading of prompts before it, in milliseconds, up to which an engine gets another long
/// prompt, or a short one: a third of the targets of these kinds.
const LONG_UNREAD_LIMIT_MS: f64 = 500.0;
const SHORT_UNREAD_LIMIT_MS: f64 = 160.0;
const SHORT_AMONG_LONG_UNREAD_LIMIT_MS: f64 = 160.0;

#[derive(Clone, Debug)]
pub(super) struct Candidate {
    index: UpstreamIndex,
    slots: u32,
    // What follows from its role and its weights, the same for each node.
    standing_ms: u32,
    // The whole cost.
    cost_ms: f64,
}

/// The candidate that was chosen.
#[derive(Clone, Copy, Debug)]
struct Best {
    index: UpstreamIndex,
    standing_ms: u32,
}

/// What is the same for all candidates of a request.
pub(super) struct Frame {
    pub(super) affinity: Option<AffinityKey>,
    // The engines that all nodes prefer for the prefix: of those with the newest weights, and of
    // the others.
    homes: [Option<UpstreamIndex>; 2],
    pub(super) roles: EngineRoles,
    pub(super) is_long: bool,
    // Whether the request is among those that the engines with the newest weights can take.
    pub(super) prefers_newest: bool,
    // Whether the request can no longer meet its target.
    is_late: bool,
    draw: Option<Draw>,
    // The node's part of the room, where what it hears of the others is old.
    part: Option<Part>,
}

/// Why no upstream was chosen.
enum NoRoom {
    /// Some are there, and may have room later.
    ForNow,
    /// None is there.
    NoUpstream,
}

impl Frame {
    pub(super) fn is_home(&self, index: UpstreamIndex) -> bool {
        self.homes.contains(&Some(index))
    }
}

impl Scheduler {
    /// Chooses an upstream for a request and counts the request at it.
    pub fn choose(&mut self, ask: &ScheduleRequest, now_ms: u64) -> Choice {
        self.choose_when(ask, false, now_ms)
    }

    /// Chooses an upstream for a request that can no longer meet its target, or for one that can.
    pub(super) fn choose_when(
        &mut self,
        ask: &ScheduleRequest,
        is_late: bool,
        now_ms: u64,
    ) -> Choice {
        let frame = self.frame(ask, is_late, now_ms);
        match self.cheapest(ask, &frame, now_ms) {
            Ok(best) => Choice::Send(Box::new(self.assign(ask, &frame, best, now_ms))),
            Err(NoRoom::ForNow) => Choice::Wait,
            Err(NoRoom::NoUpstream) => {
                let left_ms = ask.deadline_ms.saturating_sub(now_ms);
                let retry_after_ms = NO_UPSTREAM_PAUSE_MS.min(left_ms / 3);
                Choice::Refuse { cause: RefusalCause::NoUpstream, retry_after_ms }
            }
        }
    }

    /// Returns whether an upstream has room for a request now.
    pub fn has_capacity_now(&mut self, ask: &ScheduleRequest, now_ms: u64) -> bool {
        let frame = self.frame(ask, true, now_ms);
        self.cheapest(ask, &frame, now_ms).is_ok()
    }

    fn frame(&mut self, ask: &ScheduleRequest, is_late: bool, now_ms: u64) -> Frame {
        let Some(prompt) = ask.prompt.as_deref() else {
            return Frame {
                affinity: None,
                homes: [None; 2],
                roles: EngineRoles::default(),
                is_long: false,
                prefers_newest: false,
                is_late,
                draw: None,
                part: None,
            };
        };
        let rates = self.arrival_rates(now_ms);
        let engines = self.fleet.of_service(&ask.service);
        let engines = engines.filter_map(|(index, entry)| {
            let version = entry.version_of(&prompt.model)?;
            let is_newest = version >= self.newest(&prompt.model);
            let serves = entry.accepts_requests(now_ms) && !entry.health.is_ejected(now_ms);
            serves.then_some((index, entry.upstream.id.as_str(), is_newest))
        });
        let engines: Vec<_> = engines.collect();
        let roles = EngineRoles::choose(engines.iter().copied(), rates);
        let affinity = AffinityKey::of(prompt);
        let home = |wants_newest: bool| {
            let key = affinity?;
            let long = engines.iter().filter(|(index, _, is_newest)| {
                *is_newest == wants_newest && !roles.is_short(*index)
            });
            let scored = long.map(|(index, id, _)| (rendezvous_score(key, id), *index));
            scored.max().map(|(_, index)| index)
        };
        let homes = [home(true), home(false)];
        let is_long = is_long(prompt.prompt_tokens);
        let newest_share = roles.newest_share(is_long);
        let prefers_newest = newest_share >= 1.0 || self.rng.random_bool(newest_share);
        // Long prompts go where their prefix is.
        let age_ms = self.peers.median_age_ms(now_ms);
        let draw = (!is_long).then(|| Draw::new(rates.short_per_s, age_ms));
        let part = Pace::is_needed(age_ms).then(|| self.part(is_long, rates, now_ms));
        Frame { affinity, homes, roles, is_long, prefers_newest, is_late, draw, part }
    }

    /// Returns what the node may take of the engines' room, with the least cost of a prompt.
    fn part(&mut self, is_long: bool, rates: ArrivalRates, now_ms: u64) -> Part {
        let share = self.share_here(is_long, rates, now_ms);
        let (burst_ms, cost_ms) = match is_long {
            true => (LONG_UNREAD_LIMIT_MS, LONG_COST_MS),
            false => (SHORT_UNREAD_LIMIT_MS, SHORT_COST_MS),
        };
        Part { share, burst_ms, cost_ms }
    }

    pub(super) fn newest(&self, model: &str) -> WeightsVersion {
        self.named.get(model).map(Named::newest).unwrap_or_default()
    }

    fn cheapest(
        &mut self,
        ask: &ScheduleRequest,
        frame: &Frame,
        now_ms: u64,
    ) -> Result<Best, NoRoom> {
        let mut candidates = std::mem::take(&mut self.candidates);
        candidates.clear();
        for strict in [true, false] {
            let is_any_healthy = self.collect(&mut candidates, ask, frame, strict, now_ms);
            // A resting upstream is better than none, but not better than a short wait.
            if is_any_healthy {
                break;
            }
        }
        if let Some(part) = frame.part {
            self.keep_afforded(&mut candidates, frame.is_long, part, now_ms);
        }
        if let Some(draw) = frame.draw {
            keep_drawn(&mut candidates, draw, &mut self.rng);
        }
        let spread_ms = (self.members() as f64 * NOISE_MS_PER_NODE).min(NOISE_LIMIT_MS);
        for candidate in &mut candidates {
            candidate.cost_ms += self.rng.random_range(0.0..spread_ms);
        }
        let best = candidates.iter().min_by(|one, other| one.cost_ms.total_cmp(&other.cost_ms));
        let best = best.map(|best| Best { index: best.index, standing_ms: best.standing_ms });
        self.candidates = candidates;
        best.ok_or_else(|| {
            let mut untried = self.fleet.of_service(&ask.service);
            match untried.any(|(index, _)| !ask.tried.contains(&index)) {
                true => NoRoom::ForNow,
                false => NoRoom::NoUpstream,
            }
        })
    }

    /// Drops the candidates whose room the node has no more part of.
    fn keep_afforded(
        &mut self,
        candidates: &mut Vec<Candidate>,
        is_long: bool,
        part: Part,
        now_ms: u64,
    ) {
        let mut standings: Vec<u32> = candidates.iter().map(|c| c.standing_ms).collect();
        standings.sort_unstable();
        for equal in standings.chunk_by(|one, other| one == other) {
            let lane = Lane { is_long, standing_ms: equal[0] };
            if !self.pacing.affords(lane, equal.len(), part, now_ms, &mut self.rng) {
                candidates.retain(|candidate| candidate.standing_ms != equal[0]);
            }
        }
    }

    /// Collects the upstreams that have room for a request. Returns whether any may get it.
    fn collect(
        &self,
        candidates: &mut Vec<Candidate>,
        ask: &ScheduleRequest,
        frame: &Frame,
        strict: bool,
        now_ms: u64,
    ) -> bool {
        let mut is_any = false;
        for (index, entry) in self.fleet.of_service(&ask.service) {
            if ask.tried.contains(&index) || !self.may_get(entry, ask, strict, now_ms) {
                continue;
            }
            is_any = true;
            if self.has_room(ask, frame, index, entry, now_ms) {
                let standing_ms = self.standing_ms(ask, frame, index, entry, now_ms);
                let prefix_ms = self.prefix_ms(ask, frame, index, entry, now_ms);
                candidates.push(Candidate {
                    index,
                    slots: entry.slots(),
                    standing_ms: standing_ms as u32,
                    cost_ms: standing_ms + prefix_ms + self.load_ms(entry, now_ms),
                });
            }
        }
        is_any
    }

    /// Returns whether an upstream would begin with a request soon. Late requests get only what is
    /// left by the others.
    fn has_room(
        &self,
        ask: &ScheduleRequest,
        frame: &Frame,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> bool {
        let (load, slots) = (entry.load(now_ms), entry.slots());
        if ask.prompt.is_none() {
            let room = if frame.is_late { slots } else { slots * SERVICE_QUEUE_FACTOR };
            return load < room;
        }
        let unread_ms = entry.total_pending_prefill_tokens() as f64 / READ_TOKENS_PER_MS;
        let is_short_engine = frame.roles.is_short(index);
        let limit_ms = match (frame.is_long, is_short_engine) {
            // Lent while it has little to do, for a prompt of which it need not read much.
            (true, true) if frame.roles.has_long() => {
                return entry.total_pending_prefill_tokens() == 0
                    && load < slots / LENT_SLOTS_PART
                    && !frame.is_late
                    && self.is_found(ask, entry, now_ms);
            }
            (true, _) => LONG_UNREAD_LIMIT_MS,
            (false, true) => SHORT_UNREAD_LIMIT_MS,
            (false, false) => SHORT_AMONG_LONG_UNREAD_LIMIT_MS,
        };
        let (limit_ms, slots) = match frame.is_late {
            true => (limit_ms / 2.0, slots / 2),
            false => (limit_ms, slots),
        };
        let fits = self
            .cache_tokens(&ask.service)
            .is_none_or(|tokens| entry.total_reserved_tokens() < tokens * RUNNING_PERCENT / 100);
        unread_ms < limit_ms && load < slots && (fits || !frame.is_long)
    }

    /// Returns whether an upstream may get a request. Health counts only while `strict`: a resting
    /// upstream is better than none.
    fn may_get(
        &self,
        entry: &FleetEntry,
        ask: &ScheduleRequest,
        strict: bool,
        now_ms: u64,
    ) -> bool {
        if !entry.accepts_requests(now_ms) || entry.in_flight >= self.connections_here(&ask.service)
        {
            return false;
        }
        if let Some(prompt) = &ask.prompt
            && !self.may_answer(entry, prompt, now_ms)
        {
            return false;
        }
        let health = &entry.health;
        let probes = !health.is_on_probation() || entry.in_flight == 0;
        !strict || (!health.is_ejected(now_ms) && probes)
    }

    /// Returns whether an engine holds weights that may still answer.
    fn may_answer(&self, entry: &FleetEntry, prompt: &DeclaredPrompt, now_ms: u64) -> bool {
        let Some(version) = entry.version_of(&prompt.model) else { return false };
        let named = self.named.get(&prompt.model);
        let overtaken_ms = named.and_then(|named| named.overtaken_ms(version));
        let limit_ms = self.options.version_limit_ms.saturating_sub(OLD_WEIGHTS_MARGIN_MS);
        overtaken_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) < limit_ms)
    }

    /// Returns how many of the shared tokens of a prompt the cache store holds.
    pub(super) fn stored_tokens(&self, scope: &Scope, prompt: &DeclaredPrompt, now_ms: u64) -> u32 {
        self.parts.cache_store().leading_tokens(scope, prompt.shared_parts(), now_ms)
    }

    /// Returns whether an engine would fetch the shared prefix of a prompt rather than read it.
    fn is_found(&self, ask: &ScheduleRequest, entry: &FleetEntry, now_ms: u64) -> bool {
        let Some(prompt) = &ask.prompt else { return false };
        let Some(version) = entry.version_of(&prompt.model) else { return false };
        self.stored_tokens(&ask.scope(version), prompt, now_ms) >= prompt.shared_tokens()
    }

    fn assign(
        &mut self,
        ask: &ScheduleRequest,
        frame: &Frame,
        best: Best,
        now_ms: u64,
    ) -> Assignment {
        let index = best.index;
        let entry = self.fleet.get_mut(index).expect("the choice is in the table");
        let upstream = entry.upstream.clone();
        let prompt = ask.prompt.as_deref();
        let version = prompt.and_then(|prompt| entry.version_of(&prompt.model));
        let scope = version.map(|version| ask.scope(version));
        let mut assignment = Assignment {
            index,
            upstream,
            version,
            scope,
            affinity: frame.affinity,
            pending_prefill_tokens: prompt.map_or(0, |prompt| u64::from(prompt.prompt_tokens)),
            reserved_tokens: prompt.map_or(0, |prompt| {
                u64::from(prompt.prompt_tokens) + u64::from(prompt.output_tokens_limit)
            }),
            fetch_from: None,
            save_to: None,
        };
        if let (Some(prompt), Some(key)) = (prompt, frame.affinity) {
            self.plan_parts(&mut assignment, prompt, key, frame, now_ms);
        }
        if let Some(part) = frame.part {
            let lane = Lane { is_long: frame.is_long, standing_ms: best.standing_ms };
            let read_ms = assignment.pending_prefill_tokens as f64 / READ_TOKENS_PER_MS;
            let cost_ms = part.cost_ms.max(read_ms);
            self.pacing.spend(lane, cost_ms, now_ms, &mut self.rng);
        }
        let entry = self.fleet.get_mut(index).expect("the choice is in the table");
        entry.record_sent(assignment.pending_prefill_tokens, assignment.reserved_tokens);
        assignment
    }

    /// Decides where the engine fetches the shared prefix, and whether it sends it to the store.
    fn plan_parts(
        &mut self,
        assignment: &mut Assignment,
        prompt: &DeclaredPrompt,
        key: AffinityKey,
        frame: &Frame,
        now_ms: u64,
    ) {
        let Some(scope) = assignment.scope.clone() else { return };
        let shared = prompt.shared_tokens();
        let stored = self.stored_tokens(&scope, prompt, now_ms);
        let is_stored = stored >= shared;
        let tag = PrefixTag::new(key, &scope);
        if !is_stored
            && self.parts.cache_store().is_available(now_ms)
            && !self.parts.is_saving(tag, now_ms)
        {
            assignment.save_to = self.cache_store;
            self.parts.saving(tag, now_ms);
        }
        let has_it = self.parts.has(tag, assignment.index, now_ms);
        let holder = self.parts.holders(tag, now_ms).last();
        self.parts.record_sent(tag, assignment.index, now_ms);
        if has_it {
            assignment.pending_prefill_tokens =
                assignment.pending_prefill_tokens.saturating_sub(u64::from(shared));
            return;
        }
        // The home may hold what other nodes made it read; another engine fetches from a holder.
        let is_newest = assignment.version.unwrap_or_default() >= self.newest(&prompt.model);
        let home = frame.homes[usize::from(!is_newest)];
        let other_home = home.filter(|home| *home != assignment.index);
        let source = holder.or(other_home).and_then(|index| self.fleet.get(index));
        let source = source.filter(|entry| {
            !entry.health.is_ejected(now_ms)
                && entry.version_of(&prompt.model) == assignment.version
        });
        let source = source.map(|entry| entry.upstream.address);
        let store = self.cache_store.filter(|_| is_stored);
        assignment.fetch_from = store.or(source);
        let is_sure = is_stored || holder.is_some();
        let found = if is_sure { shared } else { stored };
        assignment.pending_prefill_tokens =
            assignment.pending_prefill_tokens.saturating_sub(u64::from(found));
    }
}

/// Keeps a few candidates of each standing, drawn at random.
fn keep_drawn(candidates: &mut Vec<Candidate>, draw: Draw, rng: &mut SmallRng) {
    candidates.shuffle(rng);
    candidates.sort_by_key(|candidate| candidate.standing_ms);
    let mut begin = 0;
    let mut kept = 0;
    while let Some(first) = candidates.get(begin) {
        let standing_ms = first.standing_ms;
        let equal = candidates[begin..].iter().take_while(|c| c.standing_ms == standing_ms).count();
        let size = draw.size(equal, first.slots);
        for step in 0..size {
            candidates.swap(kept + step, begin + step);
        }
        kept += size;
        begin += equal;
    }
    candidates.truncate(kept);
}
