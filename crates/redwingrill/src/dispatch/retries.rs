//! Requests whose engine failed and that wait for the retry budget.
//!
//! When many engines fail at once, their requests are not all retried at once: those beyond the
//! budget wait until successful requests refill it, and are refused only at their deadline.

use std::collections::VecDeque;

use super::messages::TargetSender;
use super::ticket::TicketId;
use redwingrill_admission::engines::Budget;
use redwingrill_codes::ResultCode;

/// Retries earned by a hundred successful requests.
const RETRY_PERCENT: u32 = 20;

/// The capacity of the retry budget: retries that may start at once when it is full.
const RETRY_BURST: u32 = 16;

/// How long a request waits for its retry before it is refused.
const RETRY_DEADLINE_MS: u64 = 10_000;

/// A request that waits for its retry.
#[derive(Debug)]
pub(super) struct Retry {
    pub(super) ticket: TicketId,
    pub(super) response: TargetSender,
    deadline_ms: u64,
}

/// The retry budget and the requests that wait for it.
#[derive(Debug)]
pub(super) struct Retries {
    budget: Budget,
    waiting: VecDeque<Retry>,
}

impl Default for Retries {
    fn default() -> Self {
        Self { budget: Budget::new(RETRY_PERCENT, RETRY_BURST), waiting: VecDeque::new() }
    }
}

impl Retries {
    pub(super) fn budget(&self) -> &Budget {
        &self.budget
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Adds the earnings of one successful request to the budget.
    pub(super) fn record_success(&mut self) {
        self.budget.record_success();
    }

    /// Queues a request for its retry.
    pub(super) fn push(&mut self, ticket: TicketId, response: TargetSender, now_ms: u64) {
        self.waiting.push_back(Retry { ticket, response, deadline_ms: now_ms + RETRY_DEADLINE_MS });
    }

    /// Takes the next request that the budget allows to retry. Requests whose caller has
    /// disconnected are removed without spending budget.
    pub(super) fn pop(&mut self) -> Option<Retry> {
        while self.waiting.front().is_some_and(|retry| retry.response.is_closed()) {
            self.waiting.pop_front();
        }
        if self.waiting.is_empty() || !self.budget.spend() {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Puts a request back for which no engine was available, and refunds its retry.
    pub(super) fn put_back(&mut self, retry: Retry) {
        self.waiting.push_front(retry);
        self.budget.refund();
    }

    /// Refuses requests whose deadline has passed.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while self.waiting.front().is_some_and(|retry| retry.deadline_ms <= now_ms) {
            let Some(retry) = self.waiting.pop_front() else { return };
            let _disconnected =
                retry.response.send(Err(ResultCode::RetryBudgetSpent.into())).is_err();
        }
    }
}
