//! Deficit round robin over client accounts.
//!
//! In each round an active account gains a quantum proportional to its weight, and it starts
//! requests while its deficit counter covers their cost. Accounts thus share capacity by cost,
//! regardless of the size of their requests.

use std::collections::VecDeque;

use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// The deficit that an account of weight one gains in a round, in tokens.
const QUANTUM_TOKENS: f64 = 512.0;

/// The minimum weight, so that every active account makes progress.
const MIN_WEIGHT: f64 = 0.01;

/// The identifier of a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct QueuedRequestId(pub u64);

/// A waiting request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueuedRequest {
    /// The identifier.
    pub id: QueuedRequestId,
    /// Its client account.
    pub account: AccountId,
    /// The cost in tokens.
    pub cost_tokens: u64,
    /// The time by which it must have started.
    pub deadline_ms: u64,
    /// The earlier deadline that applies while the queue is overloaded, so that newer requests
    /// which can still meet theirs are served instead.
    pub overload_deadline_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    requests: VecDeque<QueuedRequest>,
    cost_tokens: u64,
    weight: f64,
    deficit_tokens: f64,
}

/// The waiting requests of one priority.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    accounts: EntityMap<AccountId, AccountQueue>,
    active: VecDeque<AccountId>,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of an account.
    pub fn account_len(&self, account: AccountId) -> usize {
        self.accounts.get(account).map_or(0, |queue| queue.requests.len())
    }

    /// Appends a request to the queue of its account and sets the weight of the account.
    pub fn push(&mut self, request: QueuedRequest, weight: f64) {
        let queue = self.accounts.get_or_insert_with(request.account, AccountQueue::default);
        queue.weight = weight.max(MIN_WEIGHT);
        queue.cost_tokens += request.cost_tokens;
        queue.requests.push_back(request);
        self.len += 1;
        if queue.requests.len() == 1 {
            queue.deficit_tokens = 0.0;
            self.active.push_back(request.account);
        }
    }

    /// Returns whether an eligible account has waiting requests.
    pub fn has_eligible(&self, mut is_eligible: impl FnMut(AccountId) -> bool) -> bool {
        self.active.iter().any(|&account| is_eligible(account))
    }

    /// Removes and returns the next request of the eligible accounts. The other accounts keep their
    /// deficits.
    pub fn pop(&mut self, is_eligible: impl Fn(AccountId) -> bool) -> Option<QueuedRequest> {
        if !self.has_eligible(&is_eligible) {
            return None;
        }
        loop {
            let account = *self.active.front()?;
            if !is_eligible(account) {
                self.active.rotate_left(1);
                continue;
            }
            let queue = self.accounts.get_mut(account).expect("active accounts have a queue");
            let cost = queue.requests.front().map_or(0, |request| request.cost_tokens) as f64;
            if queue.deficit_tokens >= cost {
                queue.deficit_tokens -= cost;
                return self.take_first(account);
            }
            self.skip_idle_rounds(&is_eligible);
            self.grant_quantum();
        }
    }

    /// Removes a request by its identifier.
    pub fn remove(&mut self, account: AccountId, id: QueuedRequestId) -> Option<QueuedRequest> {
        let queue = self.accounts.get_mut(account)?;
        let position = queue.requests.iter().position(|request| request.id == id)?;
        let removed = queue.requests.remove(position)?;
        queue.cost_tokens -= removed.cost_tokens;
        self.remove_if_empty(account);
        self.len -= 1;
        Some(removed)
    }

    /// Removes one request whose deadline has passed. While the queue is overloaded, the overload
    /// deadline applies as well.
    pub fn pop_expired(&mut self, is_overloaded: bool, now_ms: u64) -> Option<QueuedRequest> {
        let is_expired = |request: &&QueuedRequest| {
            request.deadline_ms <= now_ms
                || (is_overloaded && request.overload_deadline_ms <= now_ms)
        };
        let queues = self.accounts.values();
        let found = queues.flat_map(|queue| queue.requests.iter()).find(is_expired).copied()?;
        self.remove(found.account, found.id)
    }

    /// Removes the newest request of the account with the highest waiting cost relative to its
    /// weight.
    pub fn evict_from_longest(&mut self) -> Option<QueuedRequest> {
        let relative_cost = |queue: &AccountQueue| queue.cost_tokens as f64 / queue.weight;
        let longest = self.accounts.iter().filter(|(_, queue)| !queue.requests.is_empty());
        let (account, queue) =
            longest.max_by(|(_, a), (_, b)| relative_cost(a).total_cmp(&relative_cost(b)))?;
        let id = queue.requests.back()?.id;
        self.remove(account, id)
    }

    /// Returns the cost of an account's waiting requests, in tokens.
    pub fn account_cost(&self, account: AccountId) -> f64 {
        self.accounts.get(account).map_or(0, |queue| queue.cost_tokens) as f64
    }

    /// Returns the cost that starts before a new request of an account under the current weights,
    /// in tokens.
    pub fn cost_ahead(&self, account: AccountId, weight: f64) -> f64 {
        let weight = weight.max(MIN_WEIGHT);
        let own = self.account_cost(account);
        let rounds = own / weight;
        let others = self.accounts.iter().filter(|(other, _)| *other != account);
        let ahead = others.map(|(_, queue)| (queue.cost_tokens as f64).min(rounds * queue.weight));
        own + ahead.sum::<f64>()
    }

    /// Checks the invariants and returns the first violation as an error.
    pub fn verify(&self) -> Result<(), String> {
        let mut listed: Vec<_> = self.active.iter().copied().collect();
        listed.sort_unstable();
        let non_empty = self.accounts.iter().filter(|(_, queue)| !queue.requests.is_empty());
        if !non_empty.map(|(account, _)| account).eq(listed) {
            return Err("the active list differs from the accounts with waiting requests".into());
        }
        let len: usize = self.accounts.values().map(|queue| queue.requests.len()).sum();
        if len != self.len {
            return Err(format!("length is {}, expected {len}", self.len));
        }
        for (account, queue) in self.accounts.iter() {
            let cost: u64 = queue.requests.iter().map(|request| request.cost_tokens).sum();
            if cost != queue.cost_tokens {
                return Err(format!("cost of {account} is {}, expected {cost}", queue.cost_tokens));
            }
        }
        Ok(())
    }

    /// Adds the quantum to the first active account and moves the account to the end.
    fn grant_quantum(&mut self) {
        let Some(account) = self.active.pop_front() else { return };
        let queue = self.accounts.get_mut(account).expect("active accounts have a queue");
        queue.deficit_tokens += queue.weight * QUANTUM_TOKENS;
        self.active.push_back(account);
    }

    /// Adds to each eligible account the quanta of all rounds in which no request could start.
    fn skip_idle_rounds(&mut self, is_eligible: impl Fn(AccountId) -> bool) {
        let rounds_needed = |queue: &AccountQueue| {
            let cost = queue.requests.front().map_or(0, |request| request.cost_tokens) as f64;
            ((cost - queue.deficit_tokens) / (queue.weight * QUANTUM_TOKENS)).max(0.0).ceil()
        };
        let eligible = self.active.iter().filter(|&&account| is_eligible(account));
        let queues = eligible.filter_map(|&account| self.accounts.get(account));
        let idle_rounds = queues.map(rounds_needed).fold(f64::INFINITY, f64::min) - 1.0;
        if !idle_rounds.is_finite() || idle_rounds < 1.0 {
            return;
        }
        for &account in self.active.iter().filter(|&&account| is_eligible(account)) {
            let queue = self.accounts.get_mut(account).expect("active accounts have a queue");
            queue.deficit_tokens += idle_rounds * queue.weight * QUANTUM_TOKENS;
        }
    }

    fn take_first(&mut self, account: AccountId) -> Option<QueuedRequest> {
        let queue = self.accounts.get_mut(account)?;
        let removed = queue.requests.pop_front()?;
        queue.cost_tokens -= removed.cost_tokens;
        self.len -= 1;
        self.remove_if_empty(account);
        Some(removed)
    }

    fn remove_if_empty(&mut self, account: AccountId) {
        if self.accounts.get(account).is_some_and(|queue| queue.requests.is_empty()) {
            self.accounts.remove(account);
            self.active.retain(|&other| other != account);
        }
    }
}
