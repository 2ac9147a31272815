//! The queue of requests that wait at the node for upstream capacity.
//!
//! During an overload of several seconds, queues at the engines would make every request late, and
//! none would meet its target. The node therefore sends only what the engines can prefill soon.
//! Requests of accounts within their share go first, and among them those that can still meet their
//! target; late requests get the remaining capacity, and requests whose wait expires are refused
//! with a retry delay; a request that would wait in vain is refused as soon as that is known.
//!
//! Invariants:
//! - Requests of one class (service, long or short) leave in queue order. One that continues a stream
//!   and finds no room at the upstreams of its software holds up only those that need the same.
//! - An account beyond its share gets what the others leave, as long as there is any.
//! - The size of a prompt has no influence on its class, on when it counts as late, or on how long
//!   it may wait. Even a few milliseconds matter: in an overload the head of the queue is always
//!   about to become late.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;

use super::AccountShare;
use super::Assignment;
use super::Choice;
use super::Explanation;
use super::QueueExplanation;
use super::Rank;
use super::RefusalCause;
use super::ScheduleRequest;
use super::Scheduler;
use super::Shortage;
use super::account_shares::AccountShares;
use super::backlog::Backlog;
use crate::engine_model::PromptWork;
use redwingrill_routing::AccountTag;
use redwingrill_routing::SoftwareVersion;

/// The percentage of its total time that a request may wait.
const WAIT_PERCENT: u64 = 30;

/// The percentage of the time that a caller waits for the first event, without the time to serve
/// it, that a request may wait. A caller that is refused can return; one that leaves cannot.
const PATIENCE_WAIT_PERCENT: u64 = 50;

/// The number of requests of a line that may wait in any case; beyond it, as many as the upstreams
/// run at once.
const QUEUE_LIMIT: usize = 96;

/// The maximum retry delay for callers.
const RETRY_AFTER_LIMIT_MS: u64 = 2_500;

/// The maximum retry delay of a stopping node; it is short because other nodes have capacity.
const STOPPING_RETRY_AFTER_LIMIT_MS: u64 = 200;

/// The cost of a request without a prompt; its service has no other cost to compare it with.
const PLAIN_COST_MS: f64 = 100.0;

/// A queued request, with the handle that delivers the decision on it.
#[derive(Debug)]
struct QueuedRequest<T> {
    request: ScheduleRequest,
    line: Line,
    // The expected time from sending a usual request of the route to its first event, including the
    // prefill in front of it.
    serving_ms: u64,
    since_ms: u64,
    // The engine time that it is expected to use.
    cost_ms: f64,
    is_beyond_share: bool,
    responder: T,
}

impl<T> QueuedRequest<T> {
    /// Returns whether the request can no longer meet its target, even if sent now.
    fn is_late(&self, now_ms: u64) -> bool {
        if self.request.target_ms == 0 {
            return false;
        }
        // A request with a tighter target than that is on time while half of the target is left.
        let needed_ms = self.serving_ms.min(self.request.target_ms / 2);
        now_ms + needed_ms >= self.request.arrived_ms + self.request.target_ms
    }

    fn rank(&self, now_ms: u64) -> Rank {
        Rank { is_beyond_share: self.is_beyond_share, is_late: self.is_late(now_ms) }
    }

    /// Returns when the request is refused if it still waits, in milliseconds on the node's clock.
    fn wait_ends_ms(&self) -> u64 {
        let arrived_ms = self.request.arrived_ms;
        let span_ms = self.request.deadline_ms.saturating_sub(arrived_ms);
        let patience_ms =
            self.request.leaves_ms.saturating_sub(arrived_ms).saturating_sub(self.serving_ms);
        arrived_ms + (span_ms * WAIT_PERCENT / 100).min(patience_ms * PATIENCE_WAIT_PERCENT / 100)
    }
}

/// The requests that share capacity.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct RequestClass {
    service: String,
    is_long: bool,
}

/// The requests of a class that wait for the same upstreams: those of one version of the software,
/// or any.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct Line {
    class: RequestClass,
    software: Option<SoftwareVersion>,
}

impl RequestClass {
    fn of(scheduler: &mut Scheduler, request: &ScheduleRequest) -> Self {
        Self { service: request.service.clone(), is_long: scheduler.is_long(request) }
    }
}

impl Line {
    fn of(scheduler: &mut Scheduler, request: &ScheduleRequest) -> Self {
        Self { class: RequestClass::of(scheduler, request), software: request.software.clone() }
    }

    /// Returns whether an upstream may serve requests of both lines.
    fn overlaps(&self, other: &Self) -> bool {
        self.covers(other) || other.covers(self)
    }

    /// Returns whether its requests could go wherever those of another line can.
    fn covers(&self, other: &Self) -> bool {
        self.class == other.class && (self.software.is_none() || self.software == other.software)
    }
}

/// The queue of requests that wait for an upstream.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: Vec<QueuedRequest<T>>,
    // Of each line in which a request waits.
    backlogs: HashMap<Line, Backlog>,
    // Of each class of which a request arrived.
    shares: HashMap<RequestClass, AccountShares>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: Vec::new(), backlogs: HashMap::new(), shares: HashMap::new() }
    }
}

impl<T> WaitQueue<T> {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Decides on a request that may not wait. It gets no capacity for which others wait.
    pub fn choose_now(
        &mut self,
        scheduler: &mut Scheduler,
        request: &ScheduleRequest,
        now_ms: u64,
    ) -> Choice {
        if let Some(refusal) = scheduler.refuse_without_software(request, now_ms) {
            return refusal;
        }
        let line = Line::of(scheduler, request);
        if self.waiting.iter().any(|waiting| waiting.line.covers(&line)) {
            return Choice::Wait;
        }
        let choice = scheduler.choose(request, now_ms);
        if let Choice::Send(assignment) = &choice {
            // The group that was asked first counts the demand of requests that are not sent.
            self.record_arrival(scheduler, &line.class, request, now_ms);
            self.record_assigned(scheduler, &line.class, request, assignment, now_ms);
        }
        choice
    }

    /// Adds a request. Returns all decisions that can be made now, which may include the one on
    /// this request.
    pub fn enqueue(
        &mut self,
        scheduler: &mut Scheduler,
        request: ScheduleRequest,
        responder: T,
        now_ms: u64,
    ) -> Vec<(T, Choice)> {
        let line = Line::of(scheduler, &request);
        let cold_ms = self.record_arrival(scheduler, &line.class, &request, now_ms);
        let shares = &self.shares[&line.class];
        let cost_ms = shares.expected_ms(request.account, cold_ms);
        let waiting_ms = self.waiting_ms(&line.class, request.account);
        let is_beyond_share = shares.is_beyond(request.account, waiting_ms, now_ms);
        let has_rivals = self.waiting.iter().any(|waiting| waiting.line.overlaps(&line));
        let queued_before = self.waiting.iter().filter(|waiting| waiting.line == line).count();
        let serving_ms = scheduler.usual_serving_ms(&request);
        let entry = QueuedRequest {
            request,
            line,
            serving_ms,
            since_ms: now_ms,
            cost_ms,
            is_beyond_share,
            responder,
        };
        let line = entry.line.clone();
        if !has_rivals {
            let decision = self.decide(scheduler, entry, now_ms);
            if decision.is_none() {
                self.backlogs.insert(line, Backlog::new(now_ms));
            }
            return decision.into_iter().collect();
        }
        if self.is_hopeless(&entry, now_ms) {
            return vec![self.refuse(scheduler, entry, queued_before, now_ms)];
        }
        let is_full = queued_before >= queue_limit(scheduler, &entry.request);
        self.waiting.push(entry);
        let dropped = if is_full { self.take_furthest_beyond_share(&line) } else { None };
        self.backlogs.entry(line).or_insert_with(|| Backlog::new(now_ms));
        let refused = dropped.map(|entry| self.refuse(scheduler, entry, queued_before, now_ms));
        let mut decisions: Vec<_> = refused.into_iter().collect();
        decisions.extend(self.dispatch(scheduler, now_ms, |_| false));
        decisions
    }

    /// Removes the newest request of the account that is furthest beyond its share, counting what
    /// it uses and what it has waiting.
    fn take_furthest_beyond_share(&mut self, line: &Line) -> Option<QueuedRequest<T>> {
        let shares = self.shares.get(&line.class)?;
        let mut waiting_ms: BTreeMap<Option<AccountTag>, (f64, Option<AccountShare>)> =
            BTreeMap::new();
        for known in self.waiting.iter().filter(|known| known.line == *line) {
            let account = known.request.account;
            waiting_ms.entry(tag_of(account)).or_insert((0.0, account)).0 += known.cost_ms;
        }
        let ratios = waiting_ms
            .into_iter()
            .map(|(tag, (waiting_ms, account))| (tag, shares.usage_ratio(account, waiting_ms)));
        let (tag, _) = ratios.max_by(|(_, one), (_, other)| one.total_cmp(other))?;
        let mut candidates = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, known)| known.line == *line && tag_of(known.request.account) == tag);
        // The last of several that arrived in the same millisecond.
        let first = candidates.next()?;
        let newest = candidates.fold(first, |newest, known| {
            if known.1.since_ms >= newest.1.since_ms { known } else { newest }
        });
        let index = newest.0;
        Some(self.waiting.remove(index))
    }

    /// Returns what an account used of its share of the capacity of a class, in percent.
    fn share_percent(&self, class: &RequestClass, account: Option<AccountShare>) -> u16 {
        let shares = self.shares.get(class);
        let ratio = shares.map_or(0.0, |shares| shares.usage_ratio(account, 0.0));
        (ratio * 100.0) as u16
    }

    fn refuse(
        &self,
        scheduler: &mut Scheduler,
        entry: QueuedRequest<T>,
        ahead: usize,
        now_ms: u64,
    ) -> (T, Choice) {
        let share_percent = self.share_percent(&entry.line.class, entry.request.account);
        let refusal = scheduler.refuse_overloaded(&entry.request, ahead, share_percent, now_ms);
        (entry.responder, refusal)
    }

    /// Returns whether a request that arrives would wait in vain, by the rate at which those of its
    /// line before it leave.
    fn is_hopeless(&mut self, entry: &QueuedRequest<T>, now_ms: u64) -> bool {
        let Some(backlog) = self.backlogs.get_mut(&entry.line) else { return false };
        Self::turn_ms(&self.waiting, backlog, entry, now_ms) >= entry.wait_ends_ms()
    }

    /// Returns when the turn of a request comes at the earliest, by the rate at which those of its
    /// line before it leave, in milliseconds on the node's clock.
    fn turn_ms<U>(
        waiting: &[QueuedRequest<T>],
        backlog: &mut Backlog,
        entry: &QueuedRequest<U>,
        now_ms: u64,
    ) -> u64 {
        let before = waiting.iter().filter(|known| {
            known.line == entry.line
                && known.is_beyond_share <= entry.is_beyond_share
                && known.request.urgency <= entry.request.urgency
        });
        let mut ahead = [0; Rank::COUNT];
        before.for_each(|known| ahead[known.rank(now_ms).index()] += 1);
        let in_time = Rank { is_late: false, ..entry.rank(now_ms) };
        let late = Rank { is_late: true, ..in_time };
        let ahead_in_time = ahead[..=in_time.index()].iter().sum();
        let mut turn_ms = now_ms + backlog.min_wait_ms(ahead_in_time, now_ms);
        let mut wait_behind =
            |rank: Rank| now_ms + backlog.min_rank_wait_ms(rank, ahead[rank.index()], now_ms);
        if entry.is_beyond_share {
            turn_ms = turn_ms.max(wait_behind(in_time));
        }
        if entry.is_late(turn_ms) {
            turn_ms = turn_ms.max(wait_behind(late));
        }
        turn_ms
    }

    /// Counts the demand of a request. Returns its engine time if nothing of it is cached.
    fn record_arrival(
        &mut self,
        scheduler: &mut Scheduler,
        class: &RequestClass,
        request: &ScheduleRequest,
        now_ms: u64,
    ) -> f64 {
        let cold_ms = scheduler.engine_time_ms(request, u64::MAX);
        let shares = self.shares.entry(class.clone()).or_default();
        shares.record_arrival(request.account, cold_ms, now_ms);
        cold_ms
    }

    fn record_assigned(
        &mut self,
        scheduler: &mut Scheduler,
        class: &RequestClass,
        request: &ScheduleRequest,
        assignment: &Assignment,
        now_ms: u64,
    ) {
        let cold_ms = scheduler.engine_time_ms(request, u64::MAX);
        let used_ms = scheduler.engine_time_ms(request, assignment.pending_prefill_tokens);
        let shares = self.shares.entry(class.clone()).or_default();
        shares.record_assigned(request.account, cold_ms, used_ms, now_ms);
    }

    /// Returns whether the account of a request is beyond its share of the capacity of its class.
    pub fn is_beyond_share(
        &self,
        scheduler: &mut Scheduler,
        request: &ScheduleRequest,
        now_ms: u64,
    ) -> bool {
        let class = RequestClass::of(scheduler, request);
        let Some(shares) = self.shares.get(&class) else { return false };
        shares.is_beyond(request.account, self.waiting_ms(&class, request.account), now_ms)
    }

    /// Returns the engine time of the waiting requests of an account.
    fn waiting_ms(&self, class: &RequestClass, account: Option<AccountShare>) -> f64 {
        let known = self.waiting.iter().filter(|known| known.line.class == *class);
        let known = known.filter(|known| tag_of(known.request.account) == tag_of(account));
        known.map(|known| known.cost_ms).sum()
    }

    /// Sorts the requests by rank. The first ones of an account are within its share, as far as it
    /// goes.
    fn sort(&mut self, now_ms: u64) {
        self.waiting
            .sort_by_key(|known| (known.is_late(now_ms), known.request.urgency, known.since_ms));
        let mut before: HashMap<(&RequestClass, Option<AccountTag>), f64> = HashMap::new();
        for known in &mut self.waiting {
            let Some(shares) = self.shares.get(&known.line.class) else { continue };
            let account = known.request.account;
            let before_ms = before.entry((&known.line.class, tag_of(account))).or_default();
            known.is_beyond_share = shares.is_beyond(account, *before_ms, now_ms);
            *before_ms += known.cost_ms;
        }
        self.waiting.sort_by_key(|known| (known.rank(now_ms), known.request.urgency));
    }

    /// Refreshes the expected serving times, which follow the average prompt of each route.
    fn refresh_serving_times(&mut self, scheduler: &mut Scheduler) {
        let mut known: Vec<(usize, u64)> = Vec::new();
        for index in 0..self.waiting.len() {
            let request = &self.waiting[index].request;
            let is_alike = |other: usize| {
                let other = &self.waiting[other].request;
                other.route == request.route && other.service == request.service
            };
            let alike = known.iter().find(|(other, _)| is_alike(*other));
            let serving_ms = match alike {
                Some((_, serving_ms)) => *serving_ms,
                None => {
                    let serving_ms = scheduler.usual_serving_ms(request);
                    known.push((index, serving_ms));
                    serving_ms
                }
            };
            self.waiting[index].serving_ms = serving_ms;
        }
    }

    /// Sends queued requests while there is capacity. Requests for which `is_abandoned` returns
    /// true are dropped.
    pub fn dispatch(
        &mut self,
        scheduler: &mut Scheduler,
        now_ms: u64,
        is_abandoned: impl Fn(&T) -> bool,
    ) -> Vec<(T, Choice)> {
        self.refresh_serving_times(scheduler);
        self.waiting.retain(|waiting| !is_abandoned(&waiting.responder));
        self.sort(now_ms);
        let waiting = std::mem::take(&mut self.waiting);
        let mut full: HashSet<Line> = HashSet::new();
        let mut ahead_of: HashMap<(Line, usize), usize> = HashMap::new();
        let mut decisions = Vec::new();
        for entry in waiting {
            let refusal = scheduler
                .refuse_quarantined(&entry.request, now_ms)
                .or_else(|| scheduler.refuse_without_software(&entry.request, now_ms));
            if let Some(refusal) = refusal {
                decisions.push((entry.responder, refusal));
                continue;
            }
            let line = entry.line.clone();
            if full.contains(&line) && now_ms < entry.wait_ends_ms() {
                let rank = entry.rank(now_ms);
                let ahead = ahead_of.entry((line.clone(), rank.index())).or_default();
                let backlog = self.backlogs.get_mut(&line).filter(|_| rank != Rank::FIRST);
                let wait_ms =
                    backlog.map_or(0, |known| known.min_rank_wait_ms(rank, *ahead, now_ms));
                if now_ms + wait_ms >= entry.wait_ends_ms() {
                    let ahead = *ahead;
                    decisions.push(self.refuse(scheduler, entry, ahead, now_ms));
                    continue;
                }
                *ahead += usize::from(rank != Rank::FIRST);
                self.waiting.push(entry);
                continue;
            }
            match self.decide(scheduler, entry, now_ms) {
                Some(decision) => decisions.push(decision),
                None => {
                    full.insert(line);
                }
            }
        }
        let waiting = &self.waiting;
        self.backlogs.retain(|line, _| waiting.iter().any(|entry| entry.line == *line));
        decisions
    }

    /// Refuses all queued requests, for example when the node stops.
    pub fn refuse_all(&mut self, scheduler: &mut Scheduler) -> Vec<(T, Choice)> {
        let waiting = std::mem::take(&mut self.waiting).into_iter();
        let refused = waiting.map(|entry| (entry.responder, scheduler.refuse_stopping()));
        refused.collect()
    }

    fn decide(
        &mut self,
        scheduler: &mut Scheduler,
        entry: QueuedRequest<T>,
        now_ms: u64,
    ) -> Option<(T, Choice)> {
        let rank = entry.rank(now_ms);
        // Long and short prompts share engines: what one account sends beyond its share in one class
        // leaves room for the other class while that waits, unless a quota bounds it.
        let mut waiting_classes = self.backlogs.keys().map(|line| &line.class);
        let class = &entry.line.class;
        let leaves_room = rank.is_late
            || rank.is_beyond_share
                && !entry.request.has_bounded_account()
                && waiting_classes
                    .any(|other| other.service == class.service && other.is_long != class.is_long);
        match scheduler.choose_with_lateness(&entry.request, leaves_room, now_ms) {
            Choice::Wait if now_ms < entry.wait_ends_ms() => {
                let ahead = self.waiting.iter().filter(|known| known.line == entry.line).count();
                match scheduler.opens_ms(&entry.request, ahead, now_ms) {
                    Some(opens_ms) if opens_ms > entry.wait_ends_ms() => {
                        Some((entry.responder, scheduler.refuse_closed(opens_ms, now_ms)))
                    }
                    _ => {
                        self.waiting.push(entry);
                        None
                    }
                }
            }
            Choice::Wait => {
                let ahead = self.waiting.iter().filter(|known| known.line == entry.line).count();
                Some(self.refuse(scheduler, entry, ahead, now_ms))
            }
            choice => {
                if let Choice::Send(assignment) = &choice {
                    self.record_assigned(
                        scheduler,
                        &entry.line.class,
                        &entry.request,
                        assignment,
                        now_ms,
                    );
                    if let Some(backlog) = self.backlogs.get_mut(&entry.line) {
                        backlog.record_departure(rank, now_ms);
                    }
                }
                Some((entry.responder, choice))
            }
        }
    }

    /// Returns the longest wait so far, in milliseconds.
    pub fn longest_wait_ms(&self, now_ms: u64) -> u64 {
        let waits = self.waiting.iter().map(|waiting| now_ms.saturating_sub(waiting.since_ms));
        waits.max().unwrap_or(0)
    }
}

fn tag_of(account: Option<AccountShare>) -> Option<AccountTag> {
    account.map(|account| account.tag)
}

/// Returns how many requests of a line may wait.
fn queue_limit(scheduler: &Scheduler, request: &ScheduleRequest) -> usize {
    QUEUE_LIMIT.max(scheduler.slots_for(request))
}

impl<T> WaitQueue<T> {
    /// Explains the decision on a request that would arrive now.
    pub fn explain(
        &self,
        scheduler: &Scheduler,
        request: &ScheduleRequest,
        now_ms: u64,
    ) -> Explanation {
        let mut copy = scheduler.clone();
        let line = Line::of(&mut copy, request);
        let cold_ms = copy.engine_time_ms(request, u64::MAX);
        let shares = self.shares.get(&line.class);
        let waiting_ms = self.waiting_ms(&line.class, request.account);
        let is_beyond_share =
            shares.is_some_and(|known| known.is_beyond(request.account, waiting_ms, now_ms));
        let entry = QueuedRequest {
            serving_ms: copy.usual_serving_ms(request),
            since_ms: now_ms,
            cost_ms: shares.map_or(cold_ms, |known| known.expected_ms(request.account, cold_ms)),
            request: request.clone(),
            line,
            is_beyond_share,
            responder: (),
        };
        let waiting = self.waiting.iter().filter(|known| known.line == entry.line).count();
        let mut rivals = self.waiting.iter().filter(|known| known.line.covers(&entry.line));
        let backlog = self.backlogs.get(&entry.line).cloned();
        let turn_ms =
            backlog.map(|mut backlog| Self::turn_ms(&self.waiting, &mut backlog, &entry, now_ms));
        let is_late = entry.is_late(now_ms);
        let rank = (entry.rank(now_ms), entry.request.urgency);
        let is_first = rivals.all(|known| rank < (known.rank(now_ms), known.request.urgency));
        let limit = queue_limit(scheduler, &entry.request);
        let wait_ends_ms = entry.wait_ends_ms();
        let mut explanation = scheduler.explain(&entry.request, is_late, now_ms);
        explanation.queue = Some(QueueExplanation {
            waiting,
            limit,
            expected_wait_ms: turn_ms.map(|turn_ms| turn_ms.saturating_sub(now_ms)),
            wait_limit_ms: wait_ends_ms.saturating_sub(entry.request.arrived_ms),
        });
        let is_refused_at_once = match &explanation.choice {
            Choice::Refuse { cause: RefusalCause::Quarantined(_), .. } => true,
            _ => scheduler.refuse_without_software(&entry.request, now_ms).is_some(),
        };
        if is_refused_at_once {
            return explanation;
        }
        let share_percent = self.share_percent(&entry.line.class, entry.request.account);
        let is_dropped = waiting >= limit && is_beyond_share;
        if is_dropped || turn_ms.is_some_and(|turn_ms| turn_ms >= wait_ends_ms) {
            explanation.choice =
                copy.refuse_overloaded(&entry.request, waiting, share_percent, now_ms);
        } else if !is_first {
            explanation.choice = Choice::Wait;
        } else if let Choice::Wait = explanation.choice {
            let opens_ms = copy.opens_ms(&entry.request, waiting, now_ms);
            if let Some(opens_ms) = opens_ms.filter(|opens_ms| *opens_ms > wait_ends_ms) {
                explanation.choice = copy.refuse_closed(opens_ms, now_ms);
            } else if now_ms >= wait_ends_ms {
                explanation.choice =
                    copy.refuse_overloaded(&entry.request, waiting, share_percent, now_ms);
            }
        }
        explanation
    }
}

impl Scheduler {
    /// Refuses a request because the node stops.
    pub fn refuse_stopping(&mut self) -> Choice {
        let retry_after_ms = self.random_between(0, STOPPING_RETRY_AFTER_LIMIT_MS);
        Choice::Refuse { cause: RefusalCause::Stopping, retry_after_ms }
    }

    /// Returns the engine time of a request of which `unread_tokens` at most are to be prefilled.
    fn engine_time_ms(&mut self, request: &ScheduleRequest, unread_tokens: u64) -> f64 {
        let PromptWork { prompt_tokens, .. } = request.cold_work();
        if prompt_tokens == 0 {
            return PLAIN_COST_MS;
        }
        let work = PromptWork { unread_tokens: unread_tokens.min(prompt_tokens), prompt_tokens };
        let model = self.model_mut(&request.service);
        model.curve().prefill_ms(work) + model.decode_cost_ms()
    }

    /// Refuses a request because of overload, with `ahead` requests of its class before it. The
    /// retry delay is randomized, so that requests refused together do not return together.
    fn refuse_overloaded(
        &mut self,
        request: &ScheduleRequest,
        ahead: usize,
        share_percent: u16,
        now_ms: u64,
    ) -> Choice {
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        let limit_ms = (remaining_ms / 3).min(RETRY_AFTER_LIMIT_MS);
        let retry_after_ms = self.random_between(limit_ms / 2, limit_ms);
        let ahead = u16::try_from(ahead).unwrap_or(u16::MAX);
        let shortage = Shortage { ahead, share_percent, ..self.shortage };
        Choice::Refuse { cause: RefusalCause::Overloaded(shortage), retry_after_ms }
    }
}
