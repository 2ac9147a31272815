//! Limits on the token rate and the requests in flight of client accounts.

use serde::Serialize;

use super::LimitSpec;
use super::TokenBucket;
use super::demand::AccountDemand;
use super::demand::DemandTracker;
use redwingrill_entity::AccountId;
use redwingrill_entity::EntityMap;

/// Bounds of the retry delay returned when the token rate is exceeded.
const MIN_RETRY_AFTER_MS: u64 = 100;
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// The retry delay returned when an account has too many requests in flight.
const CONCURRENCY_RETRY_AFTER_MS: u64 = 1_000;

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
    // `None` before the first request under a token rate.
    bucket: Option<TokenBucket>,
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
            // A request is admitted while the level is not negative, whatever it takes.
            let bucket_spec = spec.bucket_spec(share, f64::INFINITY);
            let new_bucket = || TokenBucket::full(bucket_spec, now_ms);
            let bucket = usage.bucket.get_or_insert_with(new_bucket);
            bucket.set_spec(bucket_spec, now_ms);
            let wait_ms = bucket.wait_ms(0, 0.0, now_ms);
            if wait_ms > 0 {
                let retry_after_ms = wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
                return Err(LimitRefusal::Rate { retry_after_ms });
            }
            bucket.take_up_to(tokens, f64::NEG_INFINITY, now_ms);
        }
        usage.updated_ms = now_ms;
        usage.in_flight += 1;
        Ok(())
    }

    /// Records the end of an admitted request. `excess_tokens` is the tokens used beyond those it
    /// was admitted with; negative if it used fewer.
    pub fn finish(&mut self, account: AccountId, excess_tokens: i64) {
        if let Some(usage) = self.usage.get_mut(account) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
            if let Some(bucket) = &mut usage.bucket {
                let (tokens, now_ms) = (excess_tokens.unsigned_abs(), usage.updated_ms);
                match excess_tokens < 0 {
                    true => bucket.put_back(tokens, now_ms),
                    false => {
                        bucket.take_up_to(tokens, f64::NEG_INFINITY, now_ms);
                    }
                }
            }
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
