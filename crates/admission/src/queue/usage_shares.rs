//! How much of the work each account had lately, over all priorities.
//!
//! Urgency is a privilege of accounts within their fair share. An account beyond it still gets what
//! the others leave, but its urgent work does not go before the other work of small accounts.

use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// The time in which started work loses half of its weight.
const HALF_LIFE_MS: f64 = 2_000.0;

/// How far above its fair share an account must be to count as beyond it.
const TOLERANCE: f64 = 1.25;

/// Accounts with less than this are no longer active.
const MIN_TOKENS: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct AccountUsage {
    weight: f64,
    tokens: f64,
}

/// Work started lately, by account.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageShares {
    usage: EntityMap<AccountId, AccountUsage>,
    weight: f64,
    tokens: f64,
    updated_ms: u64,
}

impl UsageShares {
    /// Notes an account that waits, with its weight.
    pub(super) fn record_waiting(&mut self, account: AccountId, weight: f64, now_ms: u64) {
        self.advance(now_ms);
        let usage =
            self.usage.get_or_insert_with(account, || AccountUsage { weight: 0.0, tokens: 0.0 });
        self.weight += weight - usage.weight;
        usage.weight = weight;
        // One that has nothing yet is active for a while all the same.
        let added = (MIN_TOKENS * 2.0 - usage.tokens).max(0.0);
        usage.tokens += added;
        self.tokens += added;
    }

    /// Counts work that was started.
    pub(super) fn record_started(&mut self, account: AccountId, cost_tokens: u64, now_ms: u64) {
        self.advance(now_ms);
        if let Some(usage) = self.usage.get_mut(account) {
            usage.tokens += cost_tokens as f64;
            self.tokens += cost_tokens as f64;
        }
    }

    /// Returns whether an account had no more than its fair share of the work.
    pub(super) fn is_within_share(&self, account: AccountId) -> bool {
        let Some(usage) = self.usage.get(account) else { return true };
        usage.tokens * self.weight <= TOLERANCE * usage.weight * self.tokens
    }

    /// Lets the work of the past lose weight, a tenth of the half-life at a time.
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        if elapsed_ms < HALF_LIFE_MS / 10.0 {
            return;
        }
        let decay = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.usage.retain(|_, usage| {
            usage.tokens *= decay;
            usage.tokens >= MIN_TOKENS
        });
        self.tokens = self.usage.values().map(|usage| usage.tokens).sum();
        self.weight = self.usage.values().map(|usage| usage.weight).sum();
        self.updated_ms = now_ms;
    }
}
