//! The demand of client accounts at this node and at other nodes.

use serde::Deserialize;
use serde::Serialize;

use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// The half-life of recorded demand.
const HALF_LIFE_MS: f64 = 4_000.0;

/// The minimum span for a rate, so that the first request does not count as a high demand.
const MIN_SPAN_MS: u64 = 1_000;

/// The smallest share of an account that a node assumes for itself.
const MIN_LOCAL_SHARE: f64 = 0.02;

/// Demand below this rate is not reported to other nodes.
const MIN_EXCHANGED_TOKENS_PER_S: f64 = 100.0;

/// The demand of an account, as exchanged between nodes.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct AccountDemand {
    /// The account.
    pub account: AccountId,
    /// The requested tokens per second, whether admitted or not.
    pub tokens_per_s: f64,
}

#[derive(Clone, Copy, Debug)]
struct DecayingCounter {
    tokens: f64,
    first_ms: u64,
    updated_ms: u64,
}

impl DecayingCounter {
    fn new(now_ms: u64) -> Self {
        Self { tokens: 0.0, first_ms: now_ms, updated_ms: now_ms }
    }

    fn add(&mut self, tokens: u64, now_ms: u64) {
        self.tokens = self.value_at(now_ms) + tokens as f64;
        self.updated_ms = now_ms;
    }

    fn value_at(self, now_ms: u64) -> f64 {
        self.tokens * decay_over(now_ms.saturating_sub(self.updated_ms))
    }

    fn rate_per_s(self, now_ms: u64) -> f64 {
        let span_ms = now_ms.saturating_sub(self.first_ms).max(MIN_SPAN_MS);
        // The integral of the exponential decay over the span.
        let decay_integral_s =
            HALF_LIFE_MS / std::f64::consts::LN_2 / 1_000.0 * (1.0 - decay_over(span_ms));
        self.value_at(now_ms) / decay_integral_s
    }
}

/// Returns what remains of recorded demand after a time.
fn decay_over(elapsed_ms: u64) -> f64 {
    (-(elapsed_ms as f64) / HALF_LIFE_MS).exp2()
}

/// The demand of all accounts at this node, and the demand reported by other nodes.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    local: EntityMap<AccountId, DecayingCounter>,
    remote: EntityMap<AccountId, f64>,
}

impl DemandTracker {
    /// Records the tokens that a request asks for.
    pub fn record(&mut self, account: AccountId, tokens: u64, now_ms: u64) {
        let demand = self.local.get_or_insert_with(account, || DecayingCounter::new(now_ms));
        demand.add(tokens, now_ms);
    }

    /// Replaces the demand reported by the other nodes. Demands of the same account are summed.
    pub fn set_remote(&mut self, demands: impl IntoIterator<Item = AccountDemand>) {
        self.remote = EntityMap::new();
        for demand in demands {
            *self.remote.get_or_insert_with(demand.account, || 0.0) += demand.tokens_per_s;
        }
    }

    /// Returns the share of an account's demand that arrives at this node, above zero and at most
    /// one.
    pub fn local_share(&self, account: AccountId, now_ms: u64) -> f64 {
        let remote = self.remote.get(account).copied().unwrap_or(0.0);
        if remote <= 0.0 {
            return 1.0;
        }
        let local = self.local.get(account).map_or(0.0, |demand| demand.rate_per_s(now_ms));
        (local / (local + remote)).clamp(MIN_LOCAL_SHARE, 1.0)
    }

    /// Returns the accounts with the most demand at this node, at most `limit`, in descending
    /// order.
    pub fn top_accounts(&self, limit: usize, now_ms: u64) -> Vec<AccountDemand> {
        let demands = self.local.iter().map(|(account, demand)| AccountDemand {
            account,
            tokens_per_s: demand.rate_per_s(now_ms),
        });
        let large = demands.filter(|demand| demand.tokens_per_s >= MIN_EXCHANGED_TOKENS_PER_S);
        let mut top: Vec<_> = large.collect();
        top.sort_by(|a, b| b.tokens_per_s.total_cmp(&a.tokens_per_s));
        top.truncate(limit);
        top
    }
}
