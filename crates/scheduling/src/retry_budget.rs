//! A bound on repeated sends that all nodes keep together without messages.
//!
//! Answers this load: many engines fail at once, and each node repeats what it sent to them. Each
//! node takes its part of the fixed allowance by the number of nodes, and a share of the requests
//! that it has seen itself, so the sum over all nodes stays below the bound of the fleet.

use std::collections::VecDeque;

/// Windows are counted in slices of this length.
const SLICE_MS: u64 = 500;

/// The part of the bound that nodes use, so that nodes which do not know each other yet stay below
/// it together.
const USED_SHARE: f64 = 0.7;

/// The bound over all nodes.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct RetryBudgetSpec {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    start_ms: u64,
    requests: u32,
    retries: u32,
}

/// The repeats of one service at this node.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
}

impl RetryBudget {
    /// Counts a request.
    pub fn count_request(&mut self, spec: &RetryBudgetSpec, now_ms: u64) {
        self.current_slice(spec, now_ms).requests += 1;
    }

    /// Spends one repeat if there is one.
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
        // One slice more than the window, so that every window that slides over it is covered.
        let oldest_ms = start_ms.saturating_sub(spec.window_ms);
        while self.slices.front().is_some_and(|slice| slice.start_ms < oldest_ms) {
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|slice| slice.start_ms < start_ms) {
            self.slices.push_back(Slice { start_ms, requests: 0, retries: 0 });
        }
        self.slices.back_mut().expect("a slice was just made")
    }
}
