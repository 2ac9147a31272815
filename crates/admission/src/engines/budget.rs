//! A budget for extra work: a fraction of what succeeded.
//!
//! Retries and hedged requests add load just when there is trouble. A budget keeps them at a fixed
//! fraction of the successes, so that the loss of many engines starts no storm.

/// A budget earned by successes.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    earned_per_success: f64,
    burst: f64,
    balance: f64,
    spent: u64,
    refused: u64,
}

impl Budget {
    /// Makes a full budget that earns `percent` of a unit for each success.
    pub fn new(percent: u32, burst: u32) -> Self {
        let burst = f64::from(burst);
        let earned_per_success = f64::from(percent) / 100.0;
        Self { earned_per_success, burst, balance: burst, spent: 0, refused: 0 }
    }

    /// Earns for one success.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.earned_per_success).min(self.burst);
    }

    /// Spends one unit if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
            self.spent += 1;
        } else {
            self.refused += 1;
        }
        allowed
    }

    /// Takes back a unit that was spent for nothing.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.burst);
        self.spent = self.spent.saturating_sub(1);
    }

    /// Returns how many units were spent.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns how many were asked for and not there.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
