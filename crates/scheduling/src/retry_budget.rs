//! A retry budget that holds over all nodes without messages between them.
//!
//! When many engines fail at once, each node retries what it sent to them. Each node uses an equal
//! share of the fixed allowance and a ratio of the requests that it received itself, so the sum
//! over all nodes stays within the budget of the fleet.

use std::collections::VecDeque;

/// The length of the slices in which a window is counted.
const SLICE_MS: u64 = 500;

/// The share of the budget that nodes use, so that nodes which do not know each other yet stay
/// within it together.
const USED_SHARE: f64 = 0.7;

/// The budget over all nodes.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudgetSpec {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, per window.
    pub allowance: f64,
    /// The length of the sliding window in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    start_ms: u64,
    requests: u32,
    retries: u32,
}

/// The retries of one service at this node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, spec: &RetryBudgetSpec, now_ms: u64) {
        self.current_slice(spec, now_ms).requests += 1;
    }

    /// Consumes one retry if the budget allows it. Returns whether it does.
    pub fn try_retry(&mut self, spec: &RetryBudgetSpec, members: usize, now_ms: u64) -> bool {
        self.current_slice(spec, now_ms);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let node_allowance = spec.allowance / members.max(1) as f64;
        let bound = (node_allowance + spec.ratio * f64::from(requests)) * USED_SHARE;
        let allowed = f64::from(retries) + 1.0 <= bound;
        if allowed {
            self.current_slice(spec, now_ms).retries += 1;
        }
        allowed
    }

    fn current_slice(&mut self, spec: &RetryBudgetSpec, now_ms: u64) -> &mut Slice {
        let start_ms = now_ms - now_ms % SLICE_MS;
        // Keeps one slice more than the window, so that every position of the sliding window is
        // covered.
        let oldest_ms = start_ms.saturating_sub(spec.window_ms);
        while self.slices.front().is_some_and(|slice| slice.start_ms < oldest_ms) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.start_ms < start_ms) {
            self.slices.push_back(Slice { start_ms, requests: 0, retries: 0 });
        }
        self.slices.back_mut().expect("slice was pushed above")
    }
}
