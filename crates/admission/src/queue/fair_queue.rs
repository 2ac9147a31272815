//! Deficit round robin over client accounts.
//!
//! Each account in the round is given a quantum that follows its weight, and starts requests while
//! its deficit covers their cost. Accounts thus share by cost, whatever the size of their requests.

use std::collections::VecDeque;

use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// The deficit that an account of weight one gains in a round, in tokens.
const QUANTUM_TOKENS: f64 = 512.0;

/// The smallest weight; every account in the round gains something.
const MIN_WEIGHT: f64 = 0.01;

/// A number that names a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct QueuedRequestId(pub u64);

/// A request that waits.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueuedRequest {
    /// The request.
    pub id: QueuedRequestId,
    /// Its client account.
    pub account: AccountId,
    /// What it costs, in tokens.
    pub cost_tokens: u64,
    /// When it must have been started.
    pub deadline_ms: u64,
    /// When it gives way to newer requests that could still be in time, if there are too many.
    pub overload_deadline_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    waiting: VecDeque<QueuedRequest>,
    cost_tokens: u64,
    weight: f64,
    deficit_tokens: f64,
}

/// The waiting requests of one priority.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    accounts: EntityMap<AccountId, AccountQueue>,
    round: VecDeque<AccountId>,
    len: usize,
}

impl FairQueue {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of waiting requests of an account.
    pub fn account_len(&self, account: AccountId) -> usize {
        self.accounts.get(account).map_or(0, |queue| queue.waiting.len())
    }

    /// Adds a request behind the others of its account. The weight counts from now on.
    pub fn push(&mut self, waiting: QueuedRequest, weight: f64) {
        let queue = self.accounts.get_or_insert_with(waiting.account, AccountQueue::default);
        queue.weight = weight.max(MIN_WEIGHT);
        queue.cost_tokens += waiting.cost_tokens;
        queue.waiting.push_back(waiting);
        self.len += 1;
        if queue.waiting.len() == 1 {
            queue.deficit_tokens = 0.0;
            self.round.push_back(waiting.account);
        }
    }

    /// Returns whether an account that `allowed` names waits.
    pub fn has_eligible(&self, mut allowed: impl FnMut(AccountId) -> bool) -> bool {
        self.round.iter().any(|&account| allowed(account))
    }

    /// Takes the request whose turn it is among the accounts that `allowed` names. The others keep
    /// their deficits.
    pub fn pop(&mut self, allowed: impl Fn(AccountId) -> bool) -> Option<QueuedRequest> {
        if !self.has_eligible(&allowed) {
            return None;
        }
        loop {
            let account = *self.round.front()?;
            if !allowed(account) {
                self.round.rotate_left(1);
                continue;
            }
            let queue = self.accounts.get_mut(account).expect("accounts in the round wait");
            let cost = queue.waiting.front().map_or(0, |waiting| waiting.cost_tokens) as f64;
            if queue.deficit_tokens >= cost {
                queue.deficit_tokens -= cost;
                return self.take_front(account);
            }
            self.skip_idle_rounds(&allowed);
            self.grant_quantum();
        }
    }

    /// Takes a request out that no longer wants to wait.
    pub fn remove(&mut self, account: AccountId, id: QueuedRequestId) -> Option<QueuedRequest> {
        let queue = self.accounts.get_mut(account)?;
        let place = queue.waiting.iter().position(|waiting| waiting.id == id)?;
        let removed = queue.waiting.remove(place)?;
        queue.cost_tokens -= removed.cost_tokens;
        self.forget_if_empty(account);
        self.len -= 1;
        Some(removed)
    }

    /// Takes out one request whose deadline has passed, or whose patience has while the queue is
    /// overloaded.
    pub fn pop_expired(&mut self, is_overloaded: bool, now_ms: u64) -> Option<QueuedRequest> {
        let expired = |waiting: &&QueuedRequest| {
            waiting.deadline_ms <= now_ms
                || (is_overloaded && waiting.overload_deadline_ms <= now_ms)
        };
        let queues = self.accounts.values();
        let found = queues.flat_map(|queue| queue.waiting.iter()).find(expired).copied()?;
        self.remove(found.account, found.id)
    }

    /// Takes out the newest request of the account with the most cost for its weight.
    pub fn evict_from_longest(&mut self) -> Option<QueuedRequest> {
        let relative = |queue: &AccountQueue| queue.cost_tokens as f64 / queue.weight;
        let longest = self.accounts.iter().filter(|(_, queue)| !queue.waiting.is_empty());
        let (account, queue) =
            longest.max_by(|(_, a), (_, b)| relative(a).total_cmp(&relative(b)))?;
        let id = queue.waiting.back()?.id;
        self.remove(account, id)
    }

    /// Returns the cost that waits in an account's own line.
    pub fn account_cost(&self, account: AccountId) -> f64 {
        self.accounts.get(account).map_or(0, |queue| queue.cost_tokens) as f64
    }

    /// Returns the cost that goes before a new request of an account, with the shares of today.
    pub fn cost_ahead(&self, account: AccountId, weight: f64) -> f64 {
        let weight = weight.max(MIN_WEIGHT);
        let own = self.account_cost(account);
        let rounds = own / weight;
        let others = self.accounts.iter().filter(|(other, _)| *other != account);
        let before = others.map(|(_, queue)| (queue.cost_tokens as f64).min(rounds * queue.weight));
        own + before.sum::<f64>()
    }

    /// Checks the invariants and names the first that is broken.
    pub fn verify(&self) -> Result<(), String> {
        let mut in_round: Vec<_> = self.round.iter().copied().collect();
        in_round.sort_unstable();
        let waiting = self.accounts.iter().filter(|(_, queue)| !queue.waiting.is_empty());
        if !waiting.map(|(account, _)| account).eq(in_round) {
            return Err("the round is not the accounts that wait".into());
        }
        let len: usize = self.accounts.values().map(|queue| queue.waiting.len()).sum();
        if len != self.len {
            return Err(format!("length is {} and should be {len}", self.len));
        }
        for (account, queue) in self.accounts.iter() {
            let cost: u64 = queue.waiting.iter().map(|waiting| waiting.cost_tokens).sum();
            if cost != queue.cost_tokens {
                return Err(format!("cost of {account} is {} not {cost}", queue.cost_tokens));
            }
        }
        Ok(())
    }

    /// Gives the first account of the round its quantum and moves it to the end.
    fn grant_quantum(&mut self) {
        let Some(account) = self.round.pop_front() else { return };
        let queue = self.accounts.get_mut(account).expect("accounts in the round wait");
        queue.deficit_tokens += queue.weight * QUANTUM_TOKENS;
        self.round.push_back(account);
    }

    /// Gives every account the quanta of the rounds in which none could start.
    fn skip_idle_rounds(&mut self, allowed: impl Fn(AccountId) -> bool) {
        let rounds_left = |queue: &AccountQueue| {
            let cost = queue.waiting.front().map_or(0, |waiting| waiting.cost_tokens) as f64;
            ((cost - queue.deficit_tokens) / (queue.weight * QUANTUM_TOKENS)).max(0.0).ceil()
        };
        let turns = self.round.iter().filter(|&&account| allowed(account));
        let queues = turns.filter_map(|&account| self.accounts.get(account));
        let idle = queues.map(rounds_left).fold(f64::INFINITY, f64::min) - 1.0;
        if !idle.is_finite() || idle < 1.0 {
            return;
        }
        for &account in self.round.iter().filter(|&&account| allowed(account)) {
            let queue = self.accounts.get_mut(account).expect("accounts in the round wait");
            queue.deficit_tokens += idle * queue.weight * QUANTUM_TOKENS;
        }
    }

    fn take_front(&mut self, account: AccountId) -> Option<QueuedRequest> {
        let queue = self.accounts.get_mut(account)?;
        let taken = queue.waiting.pop_front()?;
        queue.cost_tokens -= taken.cost_tokens;
        self.len -= 1;
        self.forget_if_empty(account);
        Some(taken)
    }

    fn forget_if_empty(&mut self, account: AccountId) {
        if self.accounts.get(account).is_some_and(|queue| queue.waiting.is_empty()) {
            self.accounts.remove(account);
            self.round.retain(|&other| other != account);
        }
    }
}
