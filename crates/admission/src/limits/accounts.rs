//! Limits on the token rate and the requests in flight of client accounts.

use serde::Serialize;

use super::demand::AccountDemand;
use super::demand::DemandTracker;
use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// The default burst of the token rate limit, in seconds of the rate.
const BURST_S: f64 = 2.0;

/// Bounds of the retry delay returned when the token rate is exceeded.
const MIN_RETRY_AFTER_MS: f64 = 100.0;
const MAX_RETRY_AFTER_MS: f64 = 60_000.0;

/// The retry delay returned when an account has too many requests in flight.
const CONCURRENCY_RETRY_AFTER_MS: u64 = 1_000;

/// The configured limits of an account.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct LimitSpec {
    /// Tokens per second over the fleet; zero for no limit.
    pub tokens_per_s: u64,
    /// The tokens that may be used at once beyond the rate; zero for the default.
    pub burst_tokens: u64,
    /// Requests in flight over the fleet; zero for no limit.
    pub max_in_flight: u32,
}

/// Why an account's request is refused. A refused request was not run.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum LimitRefusal {
    /// The account exceeds its token rate.
    Rate {
        /// The delay after which the caller may retry.
        retry_after_ms: u64,
    },
    /// The account has too many requests in flight.
    Concurrency {
        /// The delay after which the caller may retry.
        retry_after_ms: u64,
    },
}

#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    in_flight: u32,
    // Tokens used in excess of the rate; negative for unused burst.
    debt_tokens: f64,
    updated_ms: u64,
}

/// The limits and the usage of all accounts at this node.
#[derive(Clone, Debug, Default)]
pub struct AccountLimits {
    usage: EntityMap<AccountId, Usage>,
    demand: DemandTracker,
}

/// The state of one account, for the dump.
#[derive(Clone, Copy, PartialEq, Debug, Serialize)]
pub struct AccountState {
    /// The account.
    pub account: AccountId,
    /// Requests that were admitted and have not ended.
    pub in_flight: u32,
    /// The share of its demand that arrives at this node.
    #[serde(rename = "part")]
    pub demand_share: f64,
}

impl AccountLimits {
    /// Records a request's demand and admits the request if the account's limits allow it.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request would exceed.
    pub fn admit(
        &mut self,
        account: AccountId,
        spec: LimitSpec,
        tokens: u64,
        now_ms: u64,
    ) -> Result<(), LimitRefusal> {
        self.demand.record(account, tokens, now_ms);
        let share = self.demand.local_share(account, now_ms);
        let usage = self.usage.get_or_insert_with(account, Usage::default);
        if spec.max_in_flight > 0 {
            let limit = (f64::from(spec.max_in_flight) * share).round().max(1.0);
            if f64::from(usage.in_flight) >= limit {
                let retry_after_ms = CONCURRENCY_RETRY_AFTER_MS;
                return Err(LimitRefusal::Concurrency { retry_after_ms });
            }
        }
        if spec.tokens_per_s > 0 {
            let rate_per_ms = spec.tokens_per_s as f64 * share / 1_000.0;
            let burst_tokens = match spec.burst_tokens {
                0 => rate_per_ms * 1_000.0 * BURST_S,
                burst_tokens => burst_tokens as f64 * share,
            };
            usage.repay_debt(rate_per_ms, burst_tokens, now_ms);
            if usage.debt_tokens > 0.0 {
                let wait_ms = usage.debt_tokens / rate_per_ms;
                let retry_after_ms = wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64;
                return Err(LimitRefusal::Rate { retry_after_ms });
            }
            usage.debt_tokens += tokens as f64;
        }
        usage.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request. `excess_tokens` is the tokens used beyond those it
    /// was admitted with; negative if it used fewer.
    pub fn finish(&mut self, account: AccountId, excess_tokens: i64) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
            usage.debt_tokens += excess_tokens as f64;
        }
    }

    /// Returns the weight of an account at this node: its fleet-wide weight times the share of its
    /// demand that arrives here, so that an account gains nothing by spreading load over nodes.
    pub fn local_weight(&self, account: AccountId, weight: u32, now_ms: u64) -> f64 {
        f64::from(weight.max(1)) * self.demand.local_share(account, now_ms)
    }

    /// Replaces the demand reported by the other nodes for their top accounts. Demands of the same
    /// account are summed.
    pub fn set_remote_demand(&mut self, demands: impl IntoIterator<Item = AccountDemand>) {
        self.demand.set_remote(demands);
    }

    /// Returns the accounts with the most demand at this node, at most `limit`, to report to the
    /// other nodes.
    pub fn top_accounts(&self, limit: usize, now_ms: u64) -> Vec<AccountDemand> {
        self.demand.top_accounts(limit, now_ms)
    }

    /// Returns the state of the accounts that have requests in flight.
    pub fn state(&self, now_ms: u64) -> Vec<AccountState> {
        let active = self.usage.iter().filter(|(_, usage)| usage.in_flight > 0);
        let state = active.map(|(account, usage)| AccountState {
            account,
            in_flight: usage.in_flight,
            demand_share: self.demand.local_share(account, now_ms),
        });
        state.collect()
    }
}

impl Usage {
    fn repay_debt(&mut self, rate_per_ms: f64, burst_tokens: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.debt_tokens = (self.debt_tokens - elapsed_ms * rate_per_ms).max(-burst_tokens);
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}
