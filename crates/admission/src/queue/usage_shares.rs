//! The share of recent work of each account, over all priorities.
//!
//! Requests of accounts within their fair share start first, by priority. An account beyond its
//! fair share still gets unused capacity, but its urgent requests do not overtake the less urgent
//! requests of accounts within their share.

use std::collections::BTreeMap;

/// The half-life of started work.
const HALF_LIFE_MS: f64 = 2_000.0;

/// The factor above its fair share at which an account counts as beyond it.
pub const FAIR_SHARE_TOLERANCE: f64 = 1.25;

/// Accounts with less recent work than this are no longer active.
const MIN_ACTIVE_WORK: f64 = 1.0;

#[derive(Clone, Copy, Debug)]
struct AccountUsage {
    weight: f64,
    work: f64,
}

/// Recently started work by account, with exponential decay. The unit of work is the caller's, for
/// example tokens or milliseconds of engine time.
#[derive(Clone, Debug)]
pub struct UsageShares<K> {
    // Ordered, so that the sums do not depend on the seed of a hash.
    usage: BTreeMap<K, AccountUsage>,
    limit: usize,
    weight: f64,
    work: f64,
    updated_ms: u64,
}

impl<K> Default for UsageShares<K> {
    fn default() -> Self {
        Self::with_limit(usize::MAX)
    }
}

impl<K> UsageShares<K> {
    /// Creates shares of at most `limit` accounts: those with the most recent work.
    pub fn with_limit(limit: usize) -> Self {
        Self { usage: BTreeMap::new(), limit, weight: 0.0, work: 0.0, updated_ms: 0 }
    }
}

impl<K: Copy + Ord> UsageShares<K> {
    /// Records that an account has a waiting request, and its weight.
    pub fn record_waiting(&mut self, account: K, weight: f64, now_ms: u64) {
        self.advance(now_ms);
        if !self.usage.contains_key(&account) && self.usage.len() >= self.limit {
            self.remove_lightest();
        }
        let usage = self.usage.entry(account).or_insert(AccountUsage { weight: 0.0, work: 0.0 });
        self.weight += weight - usage.weight;
        usage.weight = weight;
        // An account without recent work still stays active for a while.
        let added = (MIN_ACTIVE_WORK * 2.0 - usage.work).max(0.0);
        usage.work += added;
        self.work += added;
    }

    /// Records the cost of a started request.
    pub fn record_started(&mut self, account: K, cost: f64, now_ms: u64) {
        self.advance(now_ms);
        if let Some(usage) = self.usage.get_mut(&account) {
            usage.work += cost;
            self.work += cost;
        }
    }

    /// Replaces the weight of an account, if it is active.
    pub fn set_weight(&mut self, account: K, weight: f64) {
        if let Some(usage) = self.usage.get_mut(&account) {
            self.weight += weight - usage.weight;
            usage.weight = weight;
        }
    }

    /// Returns whether an account has used no more than its fair share of the recent work, within
    /// the tolerance.
    pub fn is_within_share(&self, account: K) -> bool {
        let Some(usage) = self.usage.get(&account) else { return true };
        usage.work * self.weight <= FAIR_SHARE_TOLERANCE * usage.weight * self.work
    }

    /// Returns the recent work of an account and `added` work, relative to its fair share of all
    /// recent work.
    pub fn usage_ratio(&self, account: K, added: f64) -> f64 {
        let Some(usage) = self.usage.get(&account) else { return 0.0 };
        let fair_work = usage.weight * self.work / self.weight;
        if fair_work > 0.0 { (usage.work + added) / fair_work } else { 0.0 }
    }

    /// Returns the recent work of an account.
    pub fn work_of(&self, account: K) -> f64 {
        self.usage.get(&account).map_or(0.0, |usage| usage.work)
    }

    /// Returns the recent work of all accounts.
    pub fn total_work(&self) -> f64 {
        self.work
    }

    /// Returns the number of active accounts.
    pub fn len(&self) -> usize {
        self.usage.len()
    }

    /// Returns whether no account is active.
    pub fn is_empty(&self) -> bool {
        self.usage.is_empty()
    }

    fn remove_lightest(&mut self) {
        let lightest = self.usage.iter().min_by(|(_, a), (_, b)| a.work.total_cmp(&b.work));
        let Some((&account, _)) = lightest else { return };
        if let Some(removed) = self.usage.remove(&account) {
            self.weight -= removed.weight;
            self.work -= removed.work;
        }
    }

    /// Decays the recorded work, in steps of at least a tenth of the half-life.
    fn advance(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        if elapsed_ms < HALF_LIFE_MS / 10.0 {
            return;
        }
        let decay = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.usage.retain(|_, usage| {
            usage.work *= decay;
            usage.work >= MIN_ACTIVE_WORK
        });
        self.work = self.usage.values().map(|usage| usage.work).sum();
        self.weight = self.usage.values().map(|usage| usage.weight).sum();
        self.updated_ms = now_ms;
    }
}
