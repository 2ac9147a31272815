//! Requests that lost their engine and wait for the retry budget.
//!
//! When many engines die at once, their requests do not all move at once: those beyond the budget
//! wait until successes have earned their turn, and are refused only at their deadline.

use std::collections::VecDeque;

use super::messages::EngineReply;
use super::ticket::TicketId;
use redwingrill_admission::engines::Budget;
use redwingrill_codes::ResultCode;

/// Retries for each hundred successes.
const PERCENT: u32 = 20;

/// Retries that may come at once after a quiet time.
const BURST: u32 = 16;

/// How long a request waits for its retry.
const DEADLINE_MS: u64 = 10_000;

/// One request that waits for its retry.
#[derive(Debug)]
pub(super) struct Retry {
    pub(super) ticket: TicketId,
    pub(super) reply: EngineReply,
    deadline_ms: u64,
}

/// The retry budget and those who wait for it.
#[derive(Debug)]
pub(super) struct Retries {
    budget: Budget,
    waiting: VecDeque<Retry>,
}

impl Default for Retries {
    fn default() -> Self {
        Self { budget: Budget::new(PERCENT, BURST), waiting: VecDeque::new() }
    }
}

impl Retries {
    pub(super) fn budget(&self) -> &Budget {
        &self.budget
    }

    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Earns for one request that ended well.
    pub(super) fn succeeded(&mut self) {
        self.budget.record_success();
    }

    /// Lets a request wait for its retry.
    pub(super) fn push(&mut self, ticket: TicketId, reply: EngineReply, now_ms: u64) {
        self.waiting.push_back(Retry { ticket, reply, deadline_ms: now_ms + DEADLINE_MS });
    }

    /// Takes the next request for whose retry the budget pays. Those whose caller is gone cost
    /// nothing.
    pub(super) fn pop(&mut self) -> Option<Retry> {
        while self.waiting.front().is_some_and(|retry| retry.reply.is_closed()) {
            self.waiting.pop_front();
        }
        if self.waiting.is_empty() || !self.budget.spend() {
            return None;
        }
        self.waiting.pop_front()
    }

    /// Puts a request back for which no engine was open.
    pub(super) fn put_back(&mut self, retry: Retry) {
        self.waiting.push_front(retry);
        self.budget.refund();
    }

    /// Refuses those whose deadline has passed.
    pub(super) fn expire(&mut self, now_ms: u64) {
        while self.waiting.front().is_some_and(|retry| retry.deadline_ms <= now_ms) {
            let Some(retry) = self.waiting.pop_front() else { return };
            let _gone = retry.reply.send(Err(ResultCode::RetryBudgetSpent.into())).is_err();
        }
    }
}
