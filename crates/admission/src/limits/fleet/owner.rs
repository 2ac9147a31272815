//! The owner of parts of quotas.

use std::collections::HashMap;
use std::collections::VecDeque;

use super::messages::QuotaAnswer;
use super::messages::QuotaAsk;
use super::messages::QuotaMessageId;
use crate::limits::BucketSpec;
use crate::limits::LimitSpec;
use crate::limits::RecentUse;
use crate::limits::TokenBucket;
use redwingrill_routing::AccountTag;

/// How long an owner that is new because the list of nodes changed grants nothing: the previous
/// owner may not have seen the change yet.
const HANDOVER_MS: u64 = 1_000;

/// How long messages are remembered, so that a repeated one takes effect once.
const MESSAGE_MEMORY_MS: u64 = 1_000;

/// How long a silent run of a node is remembered. Its datagrams are not delayed that long.
const RUN_MEMORY_MS: u64 = 60_000;

/// The number of runs of nodes above which silent ones are forgotten.
const RUNS_LIMIT: usize = 1_024;

/// The period over which granted tokens are counted for reports.
const USE_PERIOD_MS: u64 = 8_000;

/// The share of a bucket's burst that is kept for requests that need tokens now.
const RESERVED_SHARE: f64 = 0.5;

/// One of the equal parts of a quota.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QuotaPart {
    /// The whole quota.
    pub limit: LimitSpec,
    /// The number of owners.
    pub owners: usize,
    /// The tolerance of the whole quota in tokens.
    pub slack_tokens: u64,
}

impl QuotaPart {
    /// Returns the parameters of the bucket. Its debt makes requests possible that are larger than
    /// the part of the burst; it stays within half of the tolerance over all owners.
    pub fn bucket_spec(&self) -> BucketSpec {
        let share = 1.0 / self.owners.max(1) as f64;
        let spec = self.limit.bucket_spec(share, self.slack_tokens as f64 * share / 2.0);
        let debt_limit_tokens =
            if self.slack_tokens > 0 { spec.debt_limit_tokens } else { spec.burst_tokens };
        BucketSpec { debt_limit_tokens, ..spec }
    }
}

#[derive(Debug)]
struct OwnedPart {
    bucket: TokenBucket,
    // What may be refunded: as much as the bucket itself gives.
    refunds: TokenBucket,
    has_tolerance: bool,
    grants_from_ms: u64,
    granted: RecentUse,
}

/// What is known of the messages of one run of a node.
#[derive(Clone, Copy, Debug)]
struct Run {
    // Messages up to this number are forgotten, so one that arrives now is late or repeated.
    forgotten_to: u64,
    seen_ms: u64,
}

/// The parts of quotas that a node owns.
#[derive(Debug, Default)]
pub struct QuotaOwner {
    parts: HashMap<AccountTag, OwnedPart>,
    // The answer to each message; `None` for a return.
    answers: HashMap<QuotaMessageId, Option<QuotaAnswer>>,
    // The remembered messages in the order of their arrival, with the time.
    arrivals: VecDeque<(QuotaMessageId, u64)>,
    runs: HashMap<u64, Run>,
}

impl QuotaOwner {
    /// Returns the number of accounts of which the node owns a part.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Returns whether the node owns nothing.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Takes over a part of an account's quota, or changes its size. A new part is empty. With
    /// `has_predecessor`, another node may still grant the same tokens.
    pub fn own(
        &mut self,
        account: AccountTag,
        part: &QuotaPart,
        has_predecessor: bool,
        now_ms: u64,
    ) {
        let spec = part.bucket_spec();
        let handover_ms = if has_predecessor { HANDOVER_MS } else { 0 };
        let owned = self.parts.entry(account).or_insert_with(|| OwnedPart {
            bucket: TokenBucket::empty(spec, now_ms),
            refunds: TokenBucket::full(spec, now_ms),
            has_tolerance: false,
            grants_from_ms: now_ms + handover_ms,
            granted: RecentUse::new(USE_PERIOD_MS),
        });
        owned.bucket.set_spec(spec, now_ms);
        owned.refunds.set_spec(spec, now_ms);
        owned.has_tolerance = part.slack_tokens > 0;
    }

    /// Gives up the parts of all accounts but those for which `is_owned` returns true.
    pub fn retain(&mut self, is_owned: impl Fn(AccountTag) -> bool) {
        self.parts.retain(|account, _| is_owned(*account));
    }

    /// Answers an ask; `None` if it is too old. `is_known` states whether the configuration of this
    /// node has a quota of the account, and `is_connected` whether the node can know that it still
    /// is an owner.
    pub fn handle_ask(
        &mut self,
        ask: &QuotaAsk,
        is_known: bool,
        is_connected: bool,
        now_ms: u64,
    ) -> Option<QuotaAnswer> {
        self.forget_old(now_ms);
        if let Some(answer) = self.answers.get(&ask.id) {
            return *answer;
        }
        let Some(owned) = self.parts.get_mut(&ask.account) else {
            let answer = if is_known { QuotaAnswer::NotReady } else { QuotaAnswer::UnknownAccount };
            return Some(answer);
        };
        if !is_connected || now_ms < owned.grants_from_ms {
            return Some(QuotaAnswer::NotReady);
        }
        if !self.remember(ask.id, now_ms) {
            return None;
        }
        let owned = self.parts.get_mut(&ask.account)?;
        let burst_tokens = owned.bucket.spec().burst_tokens;
        let is_large = ask.request_tokens as f64 > burst_tokens;
        // With a tolerance every request may use it: after a large request took it, small ones would
        // otherwise be refused until the debt is paid, although the account is within its quota.
        let may_borrow = is_large || owned.has_tolerance;
        let floor_tokens = if may_borrow { -owned.bucket.spec().debt_limit_tokens } else { 0.0 };
        let mut tokens = owned.bucket.take_up_to(ask.missing_tokens, floor_tokens, now_ms);
        let wait_ms = match ask.missing_tokens - tokens {
            0 => {
                let reserved_tokens = burst_tokens * RESERVED_SHARE;
                tokens += owned.bucket.take_up_to(ask.extra_tokens, reserved_tokens, now_ms);
                0
            }
            rest => owned.bucket.wait_ms(rest, floor_tokens, now_ms).max(1),
        };
        owned.granted.add(tokens, now_ms);
        let used_per_s = owned.granted.total(now_ms) * 1_000 / USE_PERIOD_MS;
        let answer = QuotaAnswer::Granted { tokens, wait_ms, used_per_s };
        self.answers.insert(ask.id, Some(answer));
        Some(answer)
    }

    /// Takes tokens back that a node did not use; refunds of requests that did not run at most at the
    /// rate of the part. In an overload the requests of a flood are refused and refunded: without a
    /// limit, a quota would turn away none of them, and they would crowd the queues at engines.
    pub fn handle_return(
        &mut self,
        id: QuotaMessageId,
        account: AccountTag,
        tokens: u64,
        is_refund: bool,
        now_ms: u64,
    ) {
        self.forget_old(now_ms);
        if !self.parts.contains_key(&account)
            || self.answers.contains_key(&id)
            || !self.remember(id, now_ms)
        {
            return;
        }
        if let Some(owned) = self.parts.get_mut(&account) {
            let tokens = match is_refund {
                true => owned.refunds.take_up_to(tokens, 0.0, now_ms),
                false => tokens,
            };
            owned.bucket.put_back(tokens, now_ms);
        }
    }

    /// Remembers a message. Returns false if it may be one that was forgotten.
    fn remember(&mut self, id: QuotaMessageId, now_ms: u64) -> bool {
        let run = self.runs.entry(id.run).or_insert(Run { forgotten_to: 0, seen_ms: now_ms });
        run.seen_ms = now_ms;
        if id.number <= run.forgotten_to {
            return false;
        }
        self.answers.insert(id, None);
        self.arrivals.push_back((id, now_ms));
        true
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some((id, at_ms)) = self.arrivals.front().copied()
            && now_ms.saturating_sub(at_ms) >= MESSAGE_MEMORY_MS
        {
            self.arrivals.pop_front();
            self.answers.remove(&id);
            if let Some(run) = self.runs.get_mut(&id.run) {
                run.forgotten_to = run.forgotten_to.max(id.number);
            }
        }
        if self.runs.len() > RUNS_LIMIT {
            self.runs.retain(|_, run| now_ms.saturating_sub(run.seen_ms) < RUN_MEMORY_MS);
        }
    }
}
