//! The queue of requests that wait at the node for upstream capacity.
//!
//! During an overload of several seconds, queues at the engines would make every request late, and
//! none would meet its target. The node therefore sends only what the engines can prefill soon.
//! Requests that can still meet their target go first, late requests get the remaining capacity,
//! and requests whose wait expires are refused with a retry delay; a request that would wait in vain
//! is refused as soon as that is known.
//!
//! Invariants:
//! - Requests of one class (service, long or short) leave in queue order.
//! - The size of a prompt has no influence on its class, on when it counts as late, or on how long
//!   it may wait. Even a few milliseconds matter: in an overload the head of the queue is always
//!   about to become late.

use std::collections::HashMap;
use std::collections::HashSet;

use super::Choice;
use super::Explanation;
use super::QueueExplanation;
use super::RefusalCause;
use super::ScheduleRequest;
use super::Scheduler;
use super::Shortage;
use super::backlog::Backlog;

/// The percentage of its total time that a request may wait.
const WAIT_PERCENT: u64 = 30;

/// The percentage of the time that a caller waits for the first event, without the time to serve
/// it, that a request may wait. A caller that is refused can return; one that leaves cannot.
const PATIENCE_WAIT_PERCENT: u64 = 50;

/// The number of requests of a class that may wait in any case; beyond it, as many as the upstreams
/// run at once.
const QUEUE_LIMIT: usize = 96;

/// The maximum retry delay for callers.
const RETRY_AFTER_LIMIT_MS: u64 = 2_500;

/// The maximum retry delay of a stopping node; it is short because other nodes have capacity.
const STOPPING_RETRY_AFTER_LIMIT_MS: u64 = 200;

/// A queued request, with the handle that delivers the decision on it.
#[derive(Debug)]
struct QueuedRequest<T> {
    request: ScheduleRequest,
    class: RequestClass,
    // The expected time from sending a usual request of the route to its first event, including the
    // prefill in front of it.
    serving_ms: u64,
    since_ms: u64,
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

    /// Returns when the request is refused if it still waits, in milliseconds on the node's clock.
    fn wait_ends_ms(&self) -> u64 {
        let arrived_ms = self.request.arrived_ms;
        let span_ms = self.request.deadline_ms.saturating_sub(arrived_ms);
        let patience_ms =
            self.request.leaves_ms.saturating_sub(arrived_ms).saturating_sub(self.serving_ms);
        arrived_ms + (span_ms * WAIT_PERCENT / 100).min(patience_ms * PATIENCE_WAIT_PERCENT / 100)
    }
}

/// The requests that wait for the same capacity.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
struct RequestClass {
    service: String,
    is_long: bool,
}

/// The queue of requests that wait for an upstream.
#[derive(Debug)]
pub struct WaitQueue<T> {
    waiting: Vec<QueuedRequest<T>>,
    // Of each class of which a request waits.
    backlogs: HashMap<RequestClass, Backlog>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self { waiting: Vec::new(), backlogs: HashMap::new() }
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

    /// Returns whether requests wait for the same capacity as this one.
    pub fn has_rivals(&self, scheduler: &mut Scheduler, request: &ScheduleRequest) -> bool {
        let is_long = scheduler.is_long(request);
        let mut waiting = self.waiting.iter().map(|waiting| &waiting.class);
        waiting.any(|class| class.is_long == is_long && class.service == request.service)
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
        let is_long = scheduler.is_long(&request);
        let class = RequestClass { service: request.service.clone(), is_long };
        let queued_before = self.waiting.iter().filter(|waiting| waiting.class == class).count();
        if queued_before >= queue_limit(scheduler, &request) {
            let refusal = scheduler.refuse_overloaded(&request, queued_before, now_ms);
            return vec![(responder, refusal)];
        }
        let serving_ms = scheduler.usual_serving_ms(&request);
        let entry = QueuedRequest { request, class, serving_ms, since_ms: now_ms, responder };
        if queued_before == 0 {
            let class = entry.class.clone();
            let decision = self.decide(scheduler, entry, now_ms);
            if decision.is_none() {
                self.backlogs.insert(class, Backlog::new(now_ms));
            }
            return decision.into_iter().collect();
        }
        if self.is_hopeless(&entry, now_ms) {
            let refusal = scheduler.refuse_overloaded(&entry.request, queued_before, now_ms);
            return vec![(entry.responder, refusal)];
        }
        self.waiting.push(entry);
        self.dispatch(scheduler, now_ms, |_| false)
    }

    /// Returns whether a request that arrives would wait in vain, by the rate at which those of its
    /// class before it leave.
    fn is_hopeless(&mut self, entry: &QueuedRequest<T>, now_ms: u64) -> bool {
        let Some(backlog) = self.backlogs.get_mut(&entry.class) else { return false };
        Self::turn_ms(&self.waiting, backlog, entry, now_ms) >= entry.wait_ends_ms()
    }

    /// Returns when the turn of a request comes at the earliest, by the rate at which those of its
    /// class before it leave, in milliseconds on the node's clock.
    fn turn_ms<U>(
        waiting: &[QueuedRequest<T>],
        backlog: &mut Backlog,
        entry: &QueuedRequest<U>,
        now_ms: u64,
    ) -> u64 {
        let before = waiting.iter().filter(|known| {
            known.class == entry.class && known.request.urgency <= entry.request.urgency
        });
        let (late, on_time): (Vec<_>, Vec<_>) = before.partition(|known| known.is_late(now_ms));
        let turn_ms = now_ms + backlog.min_wait_ms(on_time.len(), now_ms);
        match entry.is_late(turn_ms) {
            true => turn_ms.max(now_ms + backlog.min_late_wait_ms(late.len(), now_ms)),
            false => turn_ms,
        }
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
        let mut waiting = std::mem::take(&mut self.waiting);
        waiting.retain(|waiting| !is_abandoned(&waiting.responder));
        // The sort is stable: requests of equal rank stay in the order of their arrival.
        waiting.sort_by_key(|waiting| (waiting.is_late(now_ms), waiting.request.urgency));
        let mut full: HashSet<RequestClass> = HashSet::new();
        let mut late_ahead: HashMap<RequestClass, usize> = HashMap::new();
        let mut decisions = Vec::new();
        for entry in waiting {
            if let Some(refusal) = scheduler.refuse_quarantined(&entry.request, now_ms) {
                decisions.push((entry.responder, refusal));
                continue;
            }
            let class = entry.class.clone();
            if full.contains(&class) && now_ms < entry.wait_ends_ms() {
                let ahead = late_ahead.entry(class.clone()).or_default();
                let backlog = self.backlogs.get_mut(&class).filter(|_| entry.is_late(now_ms));
                let wait_ms = backlog.map_or(0, |known| known.min_late_wait_ms(*ahead, now_ms));
                if now_ms + wait_ms >= entry.wait_ends_ms() {
                    let refusal = scheduler.refuse_overloaded(&entry.request, *ahead, now_ms);
                    decisions.push((entry.responder, refusal));
                    continue;
                }
                *ahead += usize::from(entry.is_late(now_ms));
                self.waiting.push(entry);
                continue;
            }
            match self.decide(scheduler, entry, now_ms) {
                Some(decision) => decisions.push(decision),
                None => {
                    full.insert(class);
                }
            }
        }
        let waiting = &self.waiting;
        self.backlogs.retain(|class, _| waiting.iter().any(|entry| entry.class == *class));
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
        let is_late = entry.is_late(now_ms);
        match scheduler.choose_with_lateness(&entry.request, is_late, now_ms) {
            Choice::Wait if now_ms < entry.wait_ends_ms() => {
                let ahead = self.waiting.iter().filter(|known| known.class == entry.class).count();
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
                let ahead = self.waiting.iter().filter(|known| known.class == entry.class).count();
                let refusal = scheduler.refuse_overloaded(&entry.request, ahead, now_ms);
                Some((entry.responder, refusal))
            }
            choice => {
                if let Choice::Send(_) = choice
                    && let Some(backlog) = self.backlogs.get_mut(&entry.class)
                {
                    backlog.record_departure(is_late, now_ms);
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

/// Returns how many requests of a class may wait.
fn queue_limit(scheduler: &Scheduler, request: &ScheduleRequest) -> usize {
    QUEUE_LIMIT.max(scheduler.slots_of(&request.service))
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
        let class =
            RequestClass { service: request.service.clone(), is_long: copy.is_long(request) };
        let serving_ms = copy.usual_serving_ms(request);
        let request = request.clone();
        let entry = QueuedRequest { request, class, serving_ms, since_ms: now_ms, responder: () };
        let same_class = || self.waiting.iter().filter(|known| known.class == entry.class);
        let waiting = same_class().count();
        let backlog = self.backlogs.get(&entry.class).cloned();
        let turn_ms =
            backlog.map(|mut backlog| Self::turn_ms(&self.waiting, &mut backlog, &entry, now_ms));
        let is_late = entry.is_late(now_ms);
        let rank = (is_late, entry.request.urgency);
        let is_first =
            same_class().all(|known| rank < (known.is_late(now_ms), known.request.urgency));
        let limit = queue_limit(scheduler, &entry.request);
        let wait_ends_ms = entry.wait_ends_ms();
        let mut explanation = scheduler.explain(&entry.request, is_late, now_ms);
        explanation.queue = Some(QueueExplanation {
            waiting,
            limit,
            expected_wait_ms: turn_ms.map(|turn_ms| turn_ms.saturating_sub(now_ms)),
            wait_limit_ms: wait_ends_ms.saturating_sub(entry.request.arrived_ms),
        });
        let is_quarantined = matches!(
            explanation.choice,
            Choice::Refuse { cause: RefusalCause::Quarantined(_), .. }
        );
        if is_quarantined {
            return explanation;
        }
        if waiting >= limit || turn_ms.is_some_and(|turn_ms| turn_ms >= wait_ends_ms) {
            explanation.choice = copy.refuse_overloaded(&entry.request, waiting, now_ms);
        } else if !is_first {
            explanation.choice = Choice::Wait;
        } else if let Choice::Wait = explanation.choice {
            let opens_ms = copy.opens_ms(&entry.request, waiting, now_ms);
            if let Some(opens_ms) = opens_ms.filter(|opens_ms| *opens_ms > wait_ends_ms) {
                explanation.choice = copy.refuse_closed(opens_ms, now_ms);
            } else if now_ms >= wait_ends_ms {
                explanation.choice = copy.refuse_overloaded(&entry.request, waiting, now_ms);
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

    /// Refuses a request because of overload, with `ahead` requests of its class before it. The
    /// retry delay is randomized, so that requests refused together do not return together.
    fn refuse_overloaded(
        &mut self,
        request: &ScheduleRequest,
        ahead: usize,
        now_ms: u64,
    ) -> Choice {
        let remaining_ms = request.deadline_ms.saturating_sub(now_ms);
        let limit_ms = (remaining_ms / 3).min(RETRY_AFTER_LIMIT_MS);
        let retry_after_ms = self.random_between(limit_ms / 2, limit_ms);
        let ahead = u16::try_from(ahead).unwrap_or(u16::MAX);
        let shortage = Shortage { ahead, ..self.shortage };
        Choice::Refuse { cause: RefusalCause::Overloaded(shortage), retry_after_ms }
    }
}
