//! The fair shares of client accounts in the engine time of a class of requests.
//!
//! The load pattern: one account sends several times its usual load, so that the queue of the
//! class consists mostly of its requests. Requests of accounts beyond their share then wait behind
//! those of the others. The weight of an account is its configured rate, or else its usual demand,
//! so that an account is not beyond its share by its size, only by its growth.

use std::collections::BTreeMap;

use super::AccountShare;
use super::usual_demand::UsualDemand;
use super::usual_demand::WARM_UP_MS;
use redwingrill_admission::queue::FAIR_SHARE_TOLERANCE;
use redwingrill_admission::queue::UsageShares;
use redwingrill_routing::AccountTag;

/// The maximum number of accounts; the heaviest are kept.
const ACCOUNTS_LIMIT: usize = 512;

/// The period in which weights are recomputed.
const REFRESH_MS: u64 = 200;

/// The weight of one request in the average of costs.
const COST_WEIGHT: f64 = 0.02;

/// The part of all recent use that an account may have beyond its share. The tolerance of
/// [`UsageShares`] alone would let an account of 40 in 100 take 10 in 100 from the others.
const EXCESS_LIMIT: f64 = 0.04;

/// An account is within its share while its recent use is that of a few usual requests: an account
/// that sends one in some seconds is otherwise beyond its share after each of them.
const FREE_REQUESTS: f64 = 1.5;

/// An account is within its share while it is served less than this as often as all together. The
/// smallest accounts would otherwise get a ninth of what they send in a flood of nine times their
/// usual load.
const SERVED_FLOOR: f64 = 0.28;

/// The half-life of the average of the cached share of prompts.
const CACHED_HALF_LIFE_MS: f64 = 60_000.0;

/// How much of the mean of all accounts is mixed into the cached share of one, in usual requests.
const CACHED_PRIOR_REQUESTS: f64 = 10.0;

/// Requests without an account form one account.
type AccountKey = Option<AccountTag>;

#[derive(Clone, Copy, Debug)]
struct Account {
    demand: UsualDemand,
    configured_weight: Option<u64>,
    // The engine time of its assigned requests, without and with the cached parts.
    cold_ms: f64,
    used_ms: f64,
}

/// The shares of accounts in the engine time of one class of requests.
#[derive(Clone, Debug)]
pub(super) struct AccountShares {
    accounts: BTreeMap<AccountKey, Account>,
    // When the first request arrived.
    since_ms: Option<u64>,
    used: UsageShares<AccountKey>,
    asked: UsageShares<AccountKey>,
    usual_cost_ms: f64,
    // Of all assigned requests.
    cold_ms: f64,
    used_ms: f64,
    // The demand for each unit of configured weights: accounts that have one share among them what
    // they usually ask for together.
    configured_scale: f64,
    refreshed_ms: u64,
}

impl Default for AccountShares {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            since_ms: None,
            used: UsageShares::with_limit(ACCOUNTS_LIMIT),
            asked: UsageShares::with_limit(ACCOUNTS_LIMIT),
            usual_cost_ms: 0.0,
            cold_ms: 0.0,
            used_ms: 0.0,
            configured_scale: 0.0,
            refreshed_ms: 0,
        }
    }
}

impl AccountShares {
    /// Records a request that arrives, with its engine time if nothing of it is cached.
    pub(super) fn record_arrival(
        &mut self,
        share: Option<AccountShare>,
        cost_ms: f64,
        now_ms: u64,
    ) {
        let key = share.map(|share| share.tag);
        let is_first = self.usual_cost_ms == 0.0;
        let weight = if is_first { 1.0 } else { COST_WEIGHT };
        self.usual_cost_ms += weight * (cost_ms - self.usual_cost_ms);
        // An account that sends seldom would otherwise be observed only since its first request, and
        // weigh too much against the others in the first seconds.
        let since_ms = *self.since_ms.get_or_insert(now_ms);
        let first_ms = if now_ms < since_ms + WARM_UP_MS { since_ms } else { now_ms };
        let is_new = !self.accounts.contains_key(&key);
        if is_new && self.accounts.len() >= ACCOUNTS_LIMIT {
            self.remove_lightest(now_ms);
        }
        let account = self.accounts.entry(key).or_insert_with(|| Account {
            demand: UsualDemand::new(first_ms),
            configured_weight: None,
            cold_ms: 0.0,
            used_ms: 0.0,
        });
        account.configured_weight = share.and_then(|share| share.weight);
        account.demand.record_arrival(cost_ms, self.usual_cost_ms, now_ms);
        if is_new || now_ms >= self.refreshed_ms + REFRESH_MS {
            self.refresh(now_ms);
        }
        let weight = self.weight_of(&self.accounts[&key], now_ms);
        self.used.record_waiting(key, weight, now_ms);
        self.asked.record_waiting(key, weight, now_ms);
        self.asked.record_started(key, cost_ms, now_ms);
    }

    /// Records a request that got an upstream: its engine time if nothing of it were cached, and
    /// what it uses.
    pub(super) fn record_assigned(
        &mut self,
        share: Option<AccountShare>,
        cold_ms: f64,
        used_ms: f64,
        now_ms: u64,
    ) {
        let key = share.map(|share| share.tag);
        self.used.record_started(key, used_ms, now_ms);
        self.cold_ms += cold_ms;
        self.used_ms += used_ms;
        if let Some(account) = self.accounts.get_mut(&key) {
            account.cold_ms += cold_ms;
            account.used_ms += used_ms;
        }
    }

    /// Returns whether a request is beyond the share of its account, if it leaves after `before_ms`
    /// of engine time of other requests of the account.
    pub(super) fn is_beyond(
        &self,
        share: Option<AccountShare>,
        before_ms: f64,
        now_ms: u64,
    ) -> bool {
        // No usual demand is known in the first seconds.
        let is_warm = self.since_ms.is_some_and(|since_ms| now_ms >= since_ms + WARM_UP_MS);
        if !is_warm || self.used.len() < 2 {
            return false;
        }
        let key = share.map(|share| share.tag);
        let used_ms = self.used.work_of(key) + before_ms;
        let total_ms = self.used.total_work();
        let ratio = self.used.usage_ratio(key, before_ms);
        let excess_ms = used_ms - used_ms / ratio.max(1.0);
        if ratio <= FAIR_SHARE_TOLERANCE && excess_ms <= EXCESS_LIMIT * total_ms {
            return false;
        }
        let floor = SERVED_FLOOR * total_ms * self.asked.work_of(key);
        used_ms > FREE_REQUESTS * self.usual_cost_ms && used_ms * self.asked.total_work() >= floor
    }

    /// Returns the engine time that a request of an account is expected to use, of `cold_ms` if
    /// nothing of it is cached.
    pub(super) fn expected_ms(&self, share: Option<AccountShare>, cold_ms: f64) -> f64 {
        let account = self.accounts.get(&share.map(|share| share.tag));
        cold_ms * account.map_or(1.0, |account| self.used_part(account))
    }

    /// Returns the use of an account and `waiting_ms` of its waiting requests, relative to its share.
    pub(super) fn usage_ratio(&self, share: Option<AccountShare>, waiting_ms: f64) -> f64 {
        self.used.usage_ratio(share.map(|share| share.tag), waiting_ms)
    }

    /// Recomputes the weights, which follow the usual demand.
    fn refresh(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refreshed_ms) as f64;
        let decay = (-elapsed_ms / CACHED_HALF_LIFE_MS).exp2();
        self.refreshed_ms = now_ms;
        self.cold_ms *= decay;
        self.used_ms *= decay;
        self.accounts.retain(|_, account| !account.demand.is_outdated(now_ms));
        let (mut configured, mut demanded) = (0.0, 0.0);
        for account in self.accounts.values_mut() {
            account.cold_ms *= decay;
            account.used_ms *= decay;
            account.demand.advance(self.usual_cost_ms, now_ms);
            if let Some(weight) = account.configured_weight {
                configured += weight as f64;
                demanded += account.demand.average(now_ms);
            }
        }
        self.configured_scale = if configured > 0.0 { demanded / configured } else { 0.0 };
        for (key, account) in &self.accounts {
            let weight = self.weight_of(account, now_ms);
            self.used.set_weight(*key, weight);
        }
    }

    fn weight_of(&self, account: &Account, now_ms: u64) -> f64 {
        if let Some(weight) = account.configured_weight {
            return weight as f64 * self.configured_scale;
        }
        // Demand counts all tokens and use only those that are not cached. Without this factor, an
        // account that shares few prefixes would be beyond its share.
        account.demand.average(now_ms) * self.used_part(account)
    }

    /// Returns the part of an account's demand that is not cached when it is assigned.
    fn used_part(&self, account: &Account) -> f64 {
        let prior_ms = CACHED_PRIOR_REQUESTS * self.usual_cost_ms;
        let mean = if self.cold_ms > 0.0 { self.used_ms / self.cold_ms } else { 1.0 };
        (account.used_ms + prior_ms * mean) / (account.cold_ms + prior_ms).max(1.0)
    }

    fn remove_lightest(&mut self, now_ms: u64) {
        let average = |account: &Account| account.demand.average(now_ms);
        let accounts = self.accounts.iter();
        let lightest = accounts.min_by(|(_, a), (_, b)| average(a).total_cmp(&average(b)));
        if let Some(key) = lightest.map(|(key, _)| *key) {
            self.accounts.remove(&key);
        }
    }
}
