//! The holder of leased tokens.
//!
//! A node pays for a request from its leases. If they do not suffice, it asks the owners of the
//! account one after the other for the rest, for one request of the account at a time.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::messages::QuotaAnswer;
use super::messages::QuotaAsk;
use super::messages::QuotaMessage;
use super::messages::QuotaMessageId;
use super::owner::QuotaPart;
use crate::limits::BucketSpec;
use crate::limits::RecentUse;
use crate::limits::TokenBucket;
use redwingrill_routing::AccountTag;

/// How long leased tokens may be used. They are charged when they are granted, so this bounds by
/// how much a later use shifts them into another window.
const LEASE_MS: u64 = 400;

/// How often an owner is asked again, when it is given up, and how long it is not asked then.
const REPEAT_PERIOD_MS: u64 = 20;
const ANSWER_TIMEOUT_MS: u64 = 60;
const SILENT_MS: u64 = 500;

/// How long a request waits for owners. Without a limit, requests behind others whose owners do not
/// answer would wait for all of them.
const WAIT_LIMIT_MS: u64 = 300;

/// A check of the asks that comes this late tells that the node itself was suspended or starved, so
/// answers may be waiting for it.
const LATE_CHECK_MS: u64 = 60;

/// How long a late grant to an ask that was given up is returned to its owner.
const GIVEN_UP_MEMORY_MS: u64 = 2_000;

/// How long requests are refused without asking after a denial.
const DENIAL_LIMIT_MS: u64 = 200;

/// Bounds of the delay after which a caller should retry, before the jitter.
const MIN_RETRY_AFTER_MS: u64 = 20;
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// The jitter that is added to a delay: up to a quarter of it and these milliseconds.
const JITTER_MS: u64 = 50;

/// The delay after which a caller should retry at another node if this one reaches no owner.
const UNREACHABLE_RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 100..=300;

/// Tokens of one source in a charge.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct ChargePart {
    // `None` for the node's own allowance.
    owner: Option<SocketAddr>,
    tokens: u64,
}

/// The tokens that were paid for a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct QuotaCharge {
    account: AccountTag,
    parts: Vec<ChargePart>,
}

impl QuotaCharge {
    /// Returns a charge of nothing, for an account without a quota.
    pub fn free(account: AccountTag) -> Self {
        Self { account, parts: Vec::new() }
    }

    /// Returns the account.
    pub fn account(&self) -> AccountTag {
        self.account
    }

    /// Returns the sum of the tokens.
    pub fn tokens(&self) -> u64 {
        self.parts.iter().map(|part| part.tokens).sum()
    }

    /// Returns whether the tokens are from the allowance that a node has while it reaches no owner.
    pub fn is_from_allowance(&self) -> bool {
        self.parts.iter().any(|part| part.owner.is_none())
    }
}

/// The decision on a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuotaDecision {
    /// The request is paid for.
    Admitted(QuotaCharge),
    /// The quota has too few tokens.
    Exceeded {
        /// The delay after which the caller may retry, with jitter.
        retry_after_ms: u64,
        /// The tokens per second that the owners that answered granted recently.
        used_per_s: u64,
    },
    /// No owner can be reached, and the node's own allowance has too few tokens.
    Unreachable {
        /// The delay after which the caller may retry at another node.
        retry_after_ms: u64,
    },
}

/// A decision with the handle of its request.
#[derive(Debug)]
pub struct Decided<T> {
    /// The handle.
    pub handle: T,
    /// The decision.
    pub decision: QuotaDecision,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    owner: SocketAddr,
    tokens: u64,
    expires_ms: u64,
}

#[derive(Debug)]
struct Waiting<T> {
    handle: T,
    tokens: u64,
    begun_ms: u64,
}

/// An ask without an answer.
#[derive(Clone, Copy, Debug)]
struct PendingAsk {
    owner: SocketAddr,
    message: QuotaAsk,
    begun_ms: u64,
    sent_ms: u64,
}

/// The search for the tokens of the first waiting request.
#[derive(Clone, Copy, Debug)]
struct Round {
    first_owner: usize,
    passed: usize,
    answered: usize,
    used_per_s: u64,
    // How long the owners that answered need together to pay their debts.
    debt_ms: f64,
    ask: Option<PendingAsk>,
}

/// The last denial of a request of an account.
#[derive(Clone, Copy, Debug)]
struct Denial {
    tokens: u64,
    until_ms: u64,
    // When the tokens are there.
    ready_ms: u64,
    used_per_s: u64,
}

#[derive(Debug)]
struct HeldAccount<T> {
    part: QuotaPart,
    owners: Vec<SocketAddr>,
    next_owner: usize,
    allowance: TokenBucket,
    leases: VecDeque<Lease>,
    leased_tokens: u64,
    waiting: VecDeque<Waiting<T>>,
    waiting_tokens: u64,
    round: Option<Round>,
    used: RecentUse,
    denial: Option<Denial>,
    is_active: bool,
}

/// The leases of a node, and its requests that wait for tokens.
#[derive(Debug)]
pub struct LeaseHolder<T> {
    run: u64,
    next_number: u64,
    accounts: HashMap<AccountTag, HeldAccount<T>>,
    // Accounts with leases or waiting requests.
    active: Vec<AccountTag>,
    by_ask: HashMap<u64, AccountTag>,
    // The numbers of the asks that were given up, with the time.
    given_up: VecDeque<(u64, u64)>,
    silent_until_ms: HashMap<SocketAddr, u64>,
    // When the asks were checked last; `None` if there was none.
    checked_ms: Option<u64>,
    rng: SmallRng,
    outgoing: Vec<(SocketAddr, QuotaMessage)>,
    decided: Vec<Decided<T>>,
}

impl<T> LeaseHolder<T> {
    /// Creates the holder of a run of a node, which `run` identifies.
    pub fn new(run: u64, seed: u64) -> Self {
        Self {
            run,
            next_number: 1,
            accounts: HashMap::new(),
            active: Vec::new(),
            by_ask: HashMap::new(),
            given_up: VecDeque::new(),
            silent_until_ms: HashMap::new(),
            checked_ms: None,
            rng: SmallRng::seed_from_u64(seed),
            outgoing: Vec::new(),
            decided: Vec::new(),
        }
    }

    /// Returns whether nothing is due with time.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns the number of owners that did not answer lately.
    pub fn silent_owners(&self) -> usize {
        self.silent_until_ms.len()
    }

    /// Returns the number of requests that wait for tokens.
    pub fn waiting(&self) -> usize {
        self.active.iter().filter_map(|tag| self.accounts.get(tag)).map(|a| a.waiting.len()).sum()
    }

    /// Sets the quota of an account, its owners, and the allowance of the node.
    pub fn set_account(
        &mut self,
        account: AccountTag,
        part: QuotaPart,
        owners: Vec<SocketAddr>,
        allowance: BucketSpec,
        now_ms: u64,
    ) {
        match self.accounts.get_mut(&account) {
            Some(held) => {
                held.part = part;
                held.owners = owners;
                held.allowance.set_spec(allowance, now_ms);
                held.denial = None;
            }
            None => {
                let next_owner = self.rng.random_range(0..=u16::MAX) as usize;
                let held = HeldAccount {
                    part,
                    owners,
                    next_owner,
                    allowance: TokenBucket::full(allowance, now_ms),
                    leases: VecDeque::new(),
                    leased_tokens: 0,
                    waiting: VecDeque::new(),
                    waiting_tokens: 0,
                    round: None,
                    used: RecentUse::new(LEASE_MS),
                    denial: None,
                    is_active: false,
                };
                self.accounts.insert(account, held);
            }
        }
    }

    /// Drops the quotas of all accounts but those for which `is_limited` returns true. Their waiting
    /// requests are admitted.
    pub fn retain(&mut self, is_limited: impl Fn(AccountTag) -> bool) {
        let decided = &mut self.decided;
        self.accounts.retain(|&account, held| {
            let is_limited = is_limited(account);
            if !is_limited {
                decided.extend(held.waiting.drain(..).map(|waiting| Decided {
                    handle: waiting.handle,
                    decision: QuotaDecision::Admitted(QuotaCharge::free(account)),
                }));
            }
            is_limited
        });
        self.active.retain(|account| self.accounts.contains_key(account));
        self.by_ask.retain(|_, account| self.accounts.contains_key(account));
    }

    /// Decides on a request, as soon as its tokens are there or known to be missing.
    pub fn request(&mut self, account: AccountTag, tokens: u64, handle: T, now_ms: u64) {
        let Some(held) = self.accounts.get_mut(&account).filter(|_| tokens > 0) else {
            let charge = QuotaCharge::free(account);
            self.decided.push(Decided { handle, decision: QuotaDecision::Admitted(charge) });
            return;
        };
        held.waiting.push_back(Waiting { handle, tokens, begun_ms: now_ms });
        held.waiting_tokens += tokens;
        if held.round.is_none() {
            self.advance(account, now_ms);
        }
    }

    /// Takes the answer of an owner.
    pub fn handle_answer(
        &mut self,
        from: SocketAddr,
        id: QuotaMessageId,
        answer: QuotaAnswer,
        account: AccountTag,
        now_ms: u64,
    ) {
        if id.run != self.run {
            return;
        }
        if self.by_ask.get(&id.number) != Some(&account) {
            self.return_late_grant(from, id.number, answer, account);
            return;
        }
        let Some(held) = self.accounts.get_mut(&account) else { return };
        let Some(round) = held.round.as_mut() else { return };
        if round.ask.is_none_or(|ask| ask.owner != from || ask.message.id != id) {
            return;
        }
        self.by_ask.remove(&id.number);
        self.silent_until_ms.remove(&from);
        if let QuotaAnswer::Granted { tokens, wait_ms, used_per_s } = answer {
            let asked_tokens = round.ask.map_or(0, |ask| ask.message.missing_tokens);
            let rest_ms = held.part.own_time_ms(asked_tokens.saturating_sub(tokens));
            round.answered += 1;
            round.debt_ms += (wait_ms as f64 - rest_ms).max(0.0);
            round.used_per_s += used_per_s;
            if tokens > 0 {
                let lease = Lease { owner: from, tokens, expires_ms: now_ms + LEASE_MS };
                held.leases.push_back(lease);
                held.leased_tokens += tokens;
            }
        }
        round.ask = None;
        self.advance(account, now_ms);
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, charge: &QuotaCharge, now_ms: u64) {
        for part in &charge.parts {
            match part.owner {
                Some(owner) => self.return_tokens(owner, charge.account, part.tokens, true),
                None => {
                    if let Some(held) = self.accounts.get_mut(&charge.account) {
                        held.allowance.put_back(part.tokens, now_ms);
                    }
                }
            }
        }
    }

    /// Repeats and gives up asks, and returns leases that have expired.
    pub fn tick(&mut self, now_ms: u64) {
        self.silent_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        while self
            .given_up
            .front()
            .is_some_and(|(_, at_ms)| now_ms.saturating_sub(*at_ms) >= GIVEN_UP_MEMORY_MS)
        {
            self.given_up.pop_front();
        }
        let pause_ms = self.checked_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        let excused_ms = if pause_ms >= LATE_CHECK_MS { pause_ms } else { 0 };
        let active = std::mem::take(&mut self.active);
        for account in active {
            self.check_ask(account, excused_ms, now_ms);
            self.expire_leases(account, now_ms);
            if let Some(held) = self.accounts.get_mut(&account) {
                held.is_active = !held.leases.is_empty() || !held.waiting.is_empty();
                if held.is_active {
                    self.active.push(account);
                }
            }
        }
        self.checked_ms = (!self.active.is_empty()).then_some(now_ms);
    }

    /// Returns whether there are decisions.
    pub fn has_decided(&self) -> bool {
        !self.decided.is_empty()
    }

    /// Returns the messages to send, with their addresses.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, QuotaMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the decisions.
    pub fn take_decided(&mut self) -> Vec<Decided<T>> {
        std::mem::take(&mut self.decided)
    }

    fn check_ask(&mut self, account: AccountTag, excused_ms: u64, now_ms: u64) {
        let Some(held) = self.accounts.get_mut(&account) else { return };
        for waiting in held.waiting.iter_mut().filter(|_| excused_ms > 0) {
            waiting.begun_ms = (waiting.begun_ms + excused_ms).min(now_ms);
        }
        let Some(round) = held.round.as_mut() else { return };
        let Some(ask) = round.ask.as_mut() else { return };
        ask.begun_ms = (ask.begun_ms + excused_ms).min(now_ms);
        if now_ms.saturating_sub(ask.begun_ms) >= ANSWER_TIMEOUT_MS {
            let (owner, number) = (ask.owner, ask.message.id.number);
            round.ask = None;
            self.by_ask.remove(&number);
            self.given_up.push_back((number, now_ms));
            self.silent_until_ms.insert(owner, now_ms + SILENT_MS);
            self.advance(account, now_ms);
        } else if now_ms.saturating_sub(ask.sent_ms) >= REPEAT_PERIOD_MS {
            ask.sent_ms = now_ms;
            self.outgoing.push((ask.owner, QuotaMessage::Ask(ask.message)));
        }
    }

    /// Decides on waiting requests of an account until one needs the answer of an owner.
    fn advance(&mut self, account: AccountTag, now_ms: u64) {
        self.expire_leases(account, now_ms);
        let mut was_denied = false;
        loop {
            let Some(held) = self.accounts.get_mut(&account) else { return };
            let Some(first) = held.waiting.front() else { break };
            let tokens = first.tokens;
            let is_overdue = now_ms.saturating_sub(first.begun_ms) >= WAIT_LIMIT_MS;
            if held.leased_tokens >= tokens {
                let charge = held.pay(account, tokens, now_ms);
                self.decide(account, QuotaDecision::Admitted(charge));
                continue;
            }
            if let Some(denial) = held.denial
                && now_ms < denial.until_ms
                && tokens >= denial.tokens
            {
                let excess_ms = held.part.own_time_ms(tokens - denial.tokens);
                let excess_ms = (excess_ms / held.part.owners.max(1) as f64).ceil() as u64;
                let wait_ms = denial.ready_ms.saturating_sub(now_ms) + excess_ms;
                let retry_after_ms = self.retry_after_ms(wait_ms);
                let used_per_s = denial.used_per_s;
                self.decide(account, QuotaDecision::Exceeded { retry_after_ms, used_per_s });
                continue;
            }
            if held.round.as_ref().is_some_and(|round| round.ask.is_some()) {
                break;
            }
            if is_overdue {
                self.conclude_unreachable(account, tokens, now_ms);
                continue;
            }
            match held.next_owner(tokens, &self.silent_until_ms, now_ms) {
                Some(owner) => {
                    self.ask(account, owner, tokens, now_ms);
                    break;
                }
                None => was_denied |= self.conclude(account, tokens, now_ms),
            }
        }
        let Some(held) = self.accounts.get_mut(&account) else { return };
        if was_denied && held.waiting.is_empty() {
            // Another node may need them.
            held.leased_tokens = 0;
            for lease in std::mem::take(&mut held.leases) {
                self.return_tokens(lease.owner, account, lease.tokens, false);
            }
        }
        self.set_active(account);
    }

    /// Decides on the first waiting request, for which no owner is left to ask. Returns whether the
    /// quota has too few tokens.
    fn conclude(&mut self, account: AccountTag, tokens: u64, now_ms: u64) -> bool {
        let Some(held) = self.accounts.get_mut(&account) else { return false };
        let round = held.round.filter(|round| round.answered > 0);
        if let Some(round) = round {
            // Each owner that answered refills at the rate of one part.
            let rest_ms = held.part.own_time_ms(tokens - held.leased_tokens.min(tokens));
            let wait_ms = ((rest_ms + round.debt_ms) / round.answered as f64).ceil() as u64;
            held.denial = Some(Denial {
                tokens,
                until_ms: now_ms + wait_ms.min(DENIAL_LIMIT_MS),
                ready_ms: now_ms + wait_ms,
                used_per_s: round.used_per_s,
            });
            let retry_after_ms = self.retry_after_ms(wait_ms);
            let used_per_s = round.used_per_s;
            self.decide(account, QuotaDecision::Exceeded { retry_after_ms, used_per_s });
            return true;
        }
        self.conclude_unreachable(account, tokens, now_ms);
        false
    }

    /// Decides on the first waiting request without owners.
    fn conclude_unreachable(&mut self, account: AccountTag, tokens: u64, now_ms: u64) {
        let Some(held) = self.accounts.get_mut(&account) else { return };
        if held.allowance.level(now_ms) >= tokens as f64 {
            held.allowance.take_up_to(tokens, 0.0, now_ms);
            held.used.add(tokens, now_ms);
            let parts = vec![ChargePart { owner: None, tokens }];
            self.decide(account, QuotaDecision::Admitted(QuotaCharge { account, parts }));
        } else {
            let retry_after_ms = self.rng.random_range(UNREACHABLE_RETRY_AFTER_MS);
            self.decide(account, QuotaDecision::Unreachable { retry_after_ms });
        }
    }

    fn ask(&mut self, account: AccountTag, owner: SocketAddr, tokens: u64, now_ms: u64) {
        let id = self.next_id();
        let Some(held) = self.accounts.get_mut(&account) else { return };
        let used_tokens = held.used.total(now_ms);
        let expected_tokens = if tokens <= used_tokens { used_tokens } else { 0 };
        let message = QuotaAsk {
            id,
            account,
            missing_tokens: tokens - held.leased_tokens.min(tokens),
            request_tokens: tokens,
            extra_tokens: held.waiting_tokens - tokens + expected_tokens,
        };
        if let Some(round) = held.round.as_mut() {
            round.ask = Some(PendingAsk { owner, message, begun_ms: now_ms, sent_ms: now_ms });
            self.by_ask.insert(id.number, account);
            self.outgoing.push((owner, QuotaMessage::Ask(message)));
        }
    }

    /// Ends the first waiting request of an account.
    fn decide(&mut self, account: AccountTag, decision: QuotaDecision) {
        let Some(held) = self.accounts.get_mut(&account) else { return };
        held.round = None;
        if let Some(waiting) = held.waiting.pop_front() {
            held.waiting_tokens -= waiting.tokens;
            self.decided.push(Decided { handle: waiting.handle, decision });
        }
    }

    fn expire_leases(&mut self, account: AccountTag, now_ms: u64) {
        while let Some(held) = self.accounts.get_mut(&account)
            && let Some(lease) = held.leases.front().copied()
            && lease.expires_ms <= now_ms
        {
            held.leases.pop_front();
            held.leased_tokens -= lease.tokens;
            self.return_tokens(lease.owner, account, lease.tokens, false);
        }
    }

    /// Returns what an owner granted to an ask that was given up before.
    fn return_late_grant(
        &mut self,
        owner: SocketAddr,
        number: u64,
        answer: QuotaAnswer,
        account: AccountTag,
    ) {
        let Some(position) = self.given_up.iter().position(|(known, _)| *known == number) else {
            return;
        };
        self.given_up.remove(position);
        self.silent_until_ms.remove(&owner);
        if let QuotaAnswer::Granted { tokens, .. } = answer {
            self.return_tokens(owner, account, tokens, false);
        }
    }

    /// Returns tokens to their owner, once: a lost return loses tokens, but a repeated one could
    /// create them.
    fn return_tokens(
        &mut self,
        owner: SocketAddr,
        account: AccountTag,
        tokens: u64,
        is_refund: bool,
    ) {
        if tokens > 0 {
            let id = self.next_id();
            self.outgoing.push((owner, QuotaMessage::Return { id, account, tokens, is_refund }));
        }
    }

    fn next_id(&mut self) -> QuotaMessageId {
        let number = self.next_number;
        self.next_number += 1;
        QuotaMessageId { run: self.run, number }
    }

    fn set_active(&mut self, account: AccountTag) {
        let Some(held) = self.accounts.get_mut(&account) else { return };
        let has_work = !held.leases.is_empty() || !held.waiting.is_empty();
        if has_work && !held.is_active {
            held.is_active = true;
            self.active.push(account);
        }
    }

    fn retry_after_ms(&mut self, wait_ms: u64) -> u64 {
        let wait_ms = wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        wait_ms + self.rng.random_range(0..=wait_ms / 4 + JITTER_MS)
    }
}

impl<T> HeldAccount<T> {
    /// Pays from the leases, the oldest first; they have enough tokens.
    fn pay(&mut self, account: AccountTag, tokens: u64, now_ms: u64) -> QuotaCharge {
        let mut parts = Vec::with_capacity(1);
        let mut rest = tokens;
        while rest > 0
            && let Some(lease) = self.leases.front_mut()
        {
            let paid = lease.tokens.min(rest);
            rest -= paid;
            lease.tokens -= paid;
            parts.push(ChargePart { owner: Some(lease.owner), tokens: paid });
            if lease.tokens == 0 {
                self.leases.pop_front();
            }
        }
        self.leased_tokens -= tokens - rest;
        self.used.add(tokens, now_ms);
        QuotaCharge { account, parts }
    }

    /// Returns the next owner to ask for the first waiting request; begins its round if necessary.
    fn next_owner(
        &mut self,
        tokens: u64,
        silent_until_ms: &HashMap<SocketAddr, u64>,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        let count = self.owners.len();
        if self.round.is_none() {
            // Requests that need several owners begin at the same one, so that of two nodes with
            // such requests one gets all tokens instead of each a part of them.
            let is_large = tokens as f64 > self.part.bucket_spec().burst_tokens;
            let first_owner = if is_large { 0 } else { self.next_owner };
            self.next_owner = self.next_owner.wrapping_add(1);
            self.round = Some(Round {
                first_owner,
                passed: 0,
                answered: 0,
                used_per_s: 0,
                debt_ms: 0.0,
                ask: None,
            });
        }
        let round = self.round.as_mut()?;
        while round.passed < count {
            let owner = self.owners[round.first_owner.wrapping_add(round.passed) % count];
            round.passed += 1;
            if silent_until_ms.get(&owner).is_none_or(|until_ms| *until_ms <= now_ms) {
                return Some(owner);
            }
        }
        None
    }
}

impl QuotaPart {
    /// Returns in how many milliseconds one owner gains these tokens.
    fn own_time_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.bucket_spec().rate_per_ms.max(f64::MIN_POSITIVE)
    }
}
