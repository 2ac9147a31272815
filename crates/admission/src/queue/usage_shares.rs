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
struct Used {
    weight: f64,
    tokens: f64,
}

/// Work started lately, by account.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    used: EntityMap<AccountId, Used>,
    weight: f64,
    tokens: f64,
    at_ms: u64,
}

impl Shares {
    /// Notes an account that waits, with its weight.
    pub(super) fn waits(&mut self, account: AccountId, weight: f64, now_ms: u64) {
        self.advance(now_ms);
        let used = self.used.get_or_insert_with(account, || Used { weight: 0.0, tokens: 0.0 });
        self.weight += weight - used.weight;
        used.weight = weight;
        // One that has nothing yet is active for a while all the same.
        let added = (MIN_TOKENS * 2.0 - used.tokens).max(0.0);
        used.tokens += added;
        self.tokens += added;
    }

    /// Counts work that was started.
    pub(super) fn started(&mut self, account: AccountId, cost_tokens: u64, now_ms: u64) {
        self.advance(now_ms);
        if let Some(used) = self.used.get_mut(account) {
            used.tokens += cost_tokens as f64;
            self.tokens += cost_tokens as f64;
        }
    }

    /// Returns whether an account had no more than its fair share of the work.
    pub(super) fn is_within(&self, account: AccountId) -> bool {
        let Some(used) = self.used.get(account) else { return true };
        used.tokens * self.weight <= TOLERANCE * used.weight * self.tokens
    }

    /// Lets the work of the past lose weight, a tenth of the half-life at a time.
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        if elapsed_ms < HALF_LIFE_MS / 10.0 {
            return;
        }
        let kept = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.used.retain(|_, used| {
            used.tokens *= kept;
            used.tokens >= MIN_TOKENS
        });
        self.tokens = self.used.values().map(|used| used.tokens).sum();
        self.weight = self.used.values().map(|used| used.weight).sum();
        self.at_ms = now_ms;
    }
}
