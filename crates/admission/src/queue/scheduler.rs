//! Priorities with floors.
//!
//! The most urgent priority starts first. A floor is the minimum share of the slots of a priority:
//! a priority below its floor starts before more urgent ones above theirs, and less urgent
//! priorities leave the unused part of a more urgent floor free, so that urgent requests find a
//! slot immediately. Requests of accounts within their fair share, of any priority, start before
//! those of accounts beyond theirs.

use serde::Serialize;

use super::drain_rate::DrainRate;
use super::fair_queue::FairQueue;
use super::fair_queue::QueuedRequest;
use super::fair_queue::QueuedRequestId;
use super::headroom::Headroom;
use super::usage_shares::UsageShares;
use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;
use redwingrill_entity::PriorityId;

/// The maximum number of waiting requests in one priority.
const MAX_WAITING: usize = 1_024;

/// The time for which a queue counts as overloaded after a request was shed.
const OVERLOAD_MS: u64 = 500;

/// The weight of one request in the moving average of the service time.
const SERVICE_TIME_WEIGHT: f64 = 0.1;

/// The minimum retry delay returned for a shed request.
const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// The maximum retry delay returned for a shed request.
const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// The configuration of a priority.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PrioritySpec {
    /// The priority.
    pub priority: PriorityId,
    /// Its urgency level; zero is the most urgent.
    pub level: u8,
    /// The minimum share of the slots, in percent.
    pub floor_percent: u8,
}

/// Why a request is refused. A refused request was not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum QueueRefusal {
    /// The queue is full, and the account has the most waiting cost for its weight.
    Full {
        /// The delay after which the caller may retry.
        retry_after_ms: u64,
    },
    /// The expected wait exceeds the overload deadline.
    WaitTooLong {
        /// The delay after which the caller may retry.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct PriorityClass {
    spec: PrioritySpec,
    queue: FairQueue,
    drain_rate: DrainRate,
    in_flight: u32,
    // The moving average of the time from start to end of a request.
    service_time_ms: f64,
    overloaded_until_ms: u64,
}

impl PriorityClass {
    /// Estimates the time to start a cost, for requests of the given size, in milliseconds.
    fn wait_ms(&self, cost_tokens: f64, request_tokens: u64) -> f64 {
        let requests = cost_tokens / request_tokens.max(1) as f64;
        let by_concurrency = requests * self.service_time_ms / f64::from(self.in_flight.max(1));
        let by_drain_rate = self.drain_rate.drain_time_ms(cost_tokens).unwrap_or(0.0);
        by_concurrency.max(by_drain_rate)
    }

    /// Estimates the wait of a request that is queued now, in milliseconds.
    fn expected_wait_ms(&self, request: &QueuedRequest, weight: f64, is_within_share: bool) -> f64 {
        // An account within its fair share waits only for its own requests.
        let cost_ahead = match is_within_share {
            true => self.queue.account_cost(request.account),
            false => self.queue.cost_ahead(request.account, weight),
        };
        let cost_tokens = cost_ahead + request.cost_tokens as f64;
        self.wait_ms(cost_tokens, request.cost_tokens)
    }

    fn floor(&self, slots: u32) -> f64 {
        f64::from(slots) * f64::from(self.spec.floor_percent) / 100.0
    }

    fn is_below_floor(&self, slots: u32) -> bool {
        f64::from(self.in_flight) < self.floor(slots)
    }

    fn unused_floor(&self, slots: u32) -> f64 {
        (self.floor(slots) - f64::from(self.in_flight)).max(0.0)
    }
}

/// The queues of one model.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    // In order of urgency.
    classes: Vec<PriorityClass>,
    usage_shares: UsageShares<AccountId>,
    headroom: Headroom,
}

/// The state of one priority, for the dump.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct SchedulerState {
    /// The priority.
    pub priority: PriorityId,
    /// Waiting requests.
    pub waiting: usize,
    /// Started requests that have not ended.
    pub in_flight: u32,
}

/// What a request would meet in the queue of its priority.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueueOutlook {
    /// Requests of the priority that wait.
    pub waiting: usize,
    /// How many may wait.
    pub limit: usize,
    /// Whether the account is within its fair share, and passes those that are not.
    pub is_within_share: bool,
    /// The expected wait in milliseconds.
    pub expected_wait_ms: u64,
}

impl Scheduler {
    /// Applies a configuration. Waiting and started requests are kept.
    pub fn configure(&mut self, specs: impl IntoIterator<Item = PrioritySpec>) {
        for spec in specs {
            match self.classes.iter_mut().find(|class| class.spec.priority == spec.priority) {
                Some(class) => class.spec = spec,
                None => self.classes.push(PriorityClass {
                    spec,
                    queue: FairQueue::default(),
                    drain_rate: DrainRate::default(),
                    in_flight: 0,
                    service_time_ms: 0.0,
                    overloaded_until_ms: 0,
                }),
            }
        }
        self.classes.sort_by_key(|class| (class.spec.level, class.spec.priority));
    }

    /// Queues a request. A full queue evicts and returns the newest request of the account with the
    /// most waiting cost for its weight.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request was not queued.
    pub fn push(
        &mut self,
        priority: PriorityId,
        request: QueuedRequest,
        weight: f64,
        now_ms: u64,
    ) -> Result<Option<QueuedRequest>, QueueRefusal> {
        self.usage_shares.record_waiting(request.account, weight, now_ms);
        let is_within_share = self.usage_shares.is_within_share(request.account);
        let Some(class) = self.class_mut(priority) else {
            return Err(QueueRefusal::Full { retry_after_ms: MAX_RETRY_AFTER_MS });
        };
        match class.queue.is_empty() {
            true => class.drain_rate.skip_idle(now_ms),
            false => class.drain_rate.advance(now_ms),
        }
        let wait_ms = class.expected_wait_ms(&request, weight, is_within_share);
        let is_waiting = !class.queue.is_empty();
        // A longer queue does not raise throughput and only delays all requests in it.
        let max_wait_ms = request.overload_deadline_ms.saturating_sub(now_ms);
        if is_waiting && wait_ms > max_wait_ms as f64 {
            class.overloaded_until_ms = now_ms + OVERLOAD_MS;
            return Err(QueueRefusal::WaitTooLong {
                retry_after_ms: clamp_retry_after_ms(wait_ms),
            });
        }
        class.queue.push(request, weight);
        if class.queue.len() <= MAX_WAITING {
            return Ok(None);
        }
        match class.queue.evict_from_longest() {
            Some(dropped) if dropped.id == request.id => {
                Err(QueueRefusal::Full { retry_after_ms: clamp_retry_after_ms(wait_ms) })
            }
            dropped => Ok(dropped),
        }
    }

    /// Returns what a request would meet that is queued now.
    pub fn outlook(
        &self,
        priority: PriorityId,
        request: &QueuedRequest,
        weight: f64,
        now_ms: u64,
    ) -> Option<QueueOutlook> {
        let mut copy = self.clone();
        copy.usage_shares.record_waiting(request.account, weight, now_ms);
        let is_within_share = copy.usage_shares.is_within_share(request.account);
        let class = copy.class_mut(priority)?;
        if !class.queue.is_empty() {
            class.drain_rate.advance(now_ms);
        }
        Some(QueueOutlook {
            waiting: class.queue.len(),
            limit: MAX_WAITING,
            is_within_share,
            expected_wait_ms: class.expected_wait_ms(request, weight, is_within_share) as u64,
        })
    }

    /// Removes and returns the next request to start, if one of the `slots` is free for it.
    pub fn pop(&mut self, slots: u32, now_ms: u64) -> Option<(PriorityId, QueuedRequest)> {
        // Accounts within their fair share first, then all others.
        let within_share = self.next_class(slots, true, now_ms).map(|index| (index, true));
        let (index, only_within_share) = within_share
            .or_else(|| self.next_class(slots, false, now_ms).map(|index| (index, false)))?;
        let usage_shares = &self.usage_shares;
        let class = &mut self.classes[index];
        let request = class
            .queue
            .pop(|account| !only_within_share || usage_shares.is_within_share(account))?;
        class.drain_rate.record_started(request.cost_tokens, now_ms);
        class.in_flight += 1;
        let priority = class.spec.priority;
        let cost = request.cost_tokens as f64;
        self.usage_shares.record_started(request.account, cost, now_ms);
        Some((priority, request))
    }

    /// Records the end of a started request, and its service time if it succeeded.
    pub fn finish(&mut self, priority: PriorityId, took_ms: Option<u64>) {
        let Some(class) = self.class_mut(priority) else { return };
        class.in_flight = class.in_flight.saturating_sub(1);
        let Some(took_ms) = took_ms else { return };
        let is_first = class.service_time_ms == 0.0;
        let weight = if is_first { 1.0 } else { SERVICE_TIME_WEIGHT };
        class.service_time_ms += weight * (took_ms as f64 - class.service_time_ms);
    }

    /// Records a first token and whether it missed its target.
    pub fn record_first_token(&mut self, priority: PriorityId, is_late: bool, now_ms: u64) {
        if self.classes.first().is_some_and(|class| class.spec.priority == priority) {
            self.headroom.record_first_token(is_late, now_ms);
        }
    }

    /// Returns the share of slots and engine limits that a priority may use above its floor.
    pub fn usable_share(&self, priority: PriorityId, now_ms: u64) -> f64 {
        let is_first = self.classes.first().is_some_and(|class| class.spec.priority == priority);
        if is_first { 1.0 } else { self.headroom.usable_share(now_ms) }
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(
        &mut self,
        priority: PriorityId,
        account: AccountId,
        id: QueuedRequestId,
    ) -> Option<QueuedRequest> {
        self.class_mut(priority)?.queue.remove(account, id)
    }

    /// Removes one request whose deadline has passed, or whose overload deadline has passed in an
    /// overloaded queue.
    pub fn pop_expired(&mut self, now_ms: u64) -> Option<QueuedRequest> {
        self.classes.iter_mut().find_map(|class| {
            let is_overloaded = now_ms < class.overloaded_until_ms;
            class.queue.pop_expired(is_overloaded, now_ms)
        })
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.classes.iter().map(|class| class.queue.len()).sum()
    }

    /// Returns the number of started requests.
    pub fn in_flight(&self) -> u32 {
        self.classes.iter().map(|class| class.in_flight).sum()
    }

    /// Returns the state for the dump, in order of urgency.
    pub fn state(&self) -> Vec<SchedulerState> {
        let classes = self.classes.iter();
        let state = classes.map(|class| SchedulerState {
            priority: class.spec.priority,
            waiting: class.queue.len(),
            in_flight: class.in_flight,
        });
        state.collect()
    }

    /// Checks the invariants and returns the first violation as an error.
    pub fn verify(&self) -> Result<(), String> {
        if !self.classes.is_sorted_by_key(|class| class.spec.level) {
            return Err("priorities are out of order".into());
        }
        let mut seen = EntityMap::<PriorityId, ()>::new();
        for class in &self.classes {
            if seen.insert(class.spec.priority, ()).is_some() {
                return Err(format!("{} is listed twice", class.spec.priority));
            }
            if class.queue.len() > MAX_WAITING {
                return Err(format!(
                    "the queue of {} exceeds its maximum length",
                    class.spec.priority
                ));
            }
            class.queue.verify()?;
        }
        Ok(())
    }

    /// Returns the index of the priority to start from: the most urgent one below its floor,
    /// otherwise the most urgent one that leaves the floors of the others free.
    fn next_class(&self, slots: u32, only_within_share: bool, now_ms: u64) -> Option<usize> {
        let has_waiting = |class: &PriorityClass| {
            class.queue.has_eligible(|account| {
                !only_within_share || self.usage_shares.is_within_share(account)
            })
        };
        // A priority below its floor may start even if others occupy all slots.
        let below_floor =
            self.classes.iter().position(|class| has_waiting(class) && class.is_below_floor(slots));
        if below_floor.is_some() {
            return below_floor;
        }
        self.classes.iter().enumerate().find_map(|(index, class)| {
            let usable = f64::from(slots) * self.usable_share(class.spec.priority, now_ms);
            let free = usable - self.occupied(index, slots);
            let fits = free - self.reserved(index, slots) >= 1.0;
            (has_waiting(class) && fits).then_some(index)
        })
    }

    /// Returns the slots that count as occupied for a priority. Less urgent requests above their
    /// floor do not count, since engines prefer more urgent requests.
    fn occupied(&self, index: usize, slots: u32) -> f64 {
        let occupied = self.classes.iter().enumerate().map(|(other, class)| {
            let in_flight = f64::from(class.in_flight);
            if other > index { in_flight.min(class.floor(slots)) } else { in_flight }
        });
        occupied.sum()
    }

    /// Returns the slots that a priority must leave free: the unused floors of more urgent
    /// priorities, and of less urgent priorities with waiting requests.
    fn reserved(&self, index: usize, slots: u32) -> f64 {
        let others = self.classes.iter().enumerate();
        let reserved = others
            .filter(|&(other, class)| other < index || (other > index && !class.queue.is_empty()));
        reserved.map(|(_, class)| class.unused_floor(slots)).sum()
    }

    fn class_mut(&mut self, priority: PriorityId) -> Option<&mut PriorityClass> {
        self.classes.iter_mut().find(|class| class.spec.priority == priority)
    }
}

fn clamp_retry_after_ms(wait_ms: f64) -> u64 {
    (wait_ms as u64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS)
}
