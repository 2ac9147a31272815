//! The share of recent work of each account, over all priorities.
//!
//! Requests of accounts within their fair share start first, by priority. An account beyond its
//! fair share still gets unused capacity, but its urgent requests do not overtake the less urgent
//! requests of accounts within their share.

use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// The half-life of started work.
const HALF_LIFE_MS: f64 = 2_000.0;

/// The factor above its fair share at which an account counts as beyond it.
const FAIR_SHARE_TOLERANCE: f64 = 1.25;

/// Accounts with less recent work than this are no longer active.
const MIN_ACTIVE_TOKENS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct AccountUsage {
    weight: f64,
    tokens: f64,
}

/// Recently started work by account, with exponential decay.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageShares {
    usage: EntityMap<AccountId, AccountUsage>,
    weight: f64,
    tokens: f64,
    updated_ms: u64,
}

impl UsageShares {
    /// Records that an account has a waiting request, and its weight.
    pub(super) fn record_waiting(&mut self, account: AccountId, weight: f64, now_ms: u64) {
        self.advance(now_ms);
        let usage =
            self.usage.get_or_insert_with(account, || AccountUsage { weight: 0.0, tokens: 0.0 });
        self.weight += weight - usage.weight;
        usage.weight = weight;
        // An account without recent work still stays active for a while.
        let added = (MIN_ACTIVE_TOKENS * 2.0 - usage.tokens).max(0.0);
        usage.tokens += added;
        self.tokens += added;
    }

    /// Records the cost of a started request.
    pub(super) fn record_started(&mut self, account: AccountId, cost_tokens: u64, now_ms: u64) {
        self.advance(now_ms);
        if let Some(usage) = self.usage.get_mut(account) {
            usage.tokens += cost_tokens as f64;
            self.tokens += cost_tokens as f64;
        }
    }

    /// Returns whether an account has used no more than its fair share of the recent work, within
    /// the tolerance.
    pub(super) fn is_within_share(&self, account: AccountId) -> bool {
        let Some(usage) = self.usage.get(account) else { return true };
        usage.tokens * self.weight <= FAIR_SHARE_TOLERANCE * usage.weight * self.tokens
    }

    /// Decays the recorded work, in steps of at least a tenth of the half-life.
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        if elapsed_ms < HALF_LIFE_MS / 10.0 {
            return;
        }
        let decay = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.usage.retain(|_, usage| {
            usage.tokens *= decay;
            usage.tokens >= MIN_ACTIVE_TOKENS
        });
        self.tokens = self.usage.values().map(|usage| usage.tokens).sum();
        self.weight = self.usage.values().map(|usage| usage.weight).sum();
        self.updated_ms = now_ms;
    }
}
