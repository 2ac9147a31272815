//! A budget for retries and hedged requests.
//!
//! Retries and hedged requests add load while engines are failing. The budget limits them to a
//! fixed fraction of the successful requests, so that the loss of many engines causes no retry
//! storm.

/// A token bucket that is refilled by successful requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    earned_per_success: f64,
    burst: f64,
    balance: f64,
    spent: u64,
    refused: u64,
}

impl Budget {
    /// Creates a full budget that holds at most `burst` units and gains `percent` hundredths of a
    /// unit for each success.
    pub fn new(percent: u32, burst: u32) -> Self {
        let burst = f64::from(burst);
        let earned_per_success = f64::from(percent) / 100.0;
        Self { earned_per_success, burst, balance: burst, spent: 0, refused: 0 }
    }

    /// Adds the earnings of one successful request.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.earned_per_success).min(self.burst);
    }

    /// Spends one unit if available. Returns whether it was.
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

    /// Returns a unit that was spent but not used.
    pub fn refund(&mut self) {
        self.balance = (self.balance + 1.0).min(self.burst);
        self.spent = self.spent.saturating_sub(1);
    }

    /// Returns the number of units spent.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the number of times that no unit was available.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
