//! The gate between a node and an upstream that named a rate limit.
//!
//! Invariant: within any period, a node sends at most its share of the period and one burst. The
//! bucket starts empty, as the upstream has just received more than it can take.

use redwingrill_routing::RateLimit;

/// The time for which unused tokens are kept, if these are more than one.
const BURST_S: f64 = 1.5;

/// How a limit changed.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum GateChange {
    /// The upstream named its first limit, or another one.
    Limited(RateLimit),
    /// The upstream does not name a limit any more.
    Ended,
}

/// The latest statement of an upstream about its limit.
#[derive(Clone, Copy, PartialEq, Debug)]
struct Statement {
    // `None` after the limit ended.
    limit: Option<RateLimit>,
    // When it was learned first.
    since_ms: u64,
    // When an answer last made it.
    at_ms: u64,
    // When this node itself last received such an answer.
    received_ms: Option<u64>,
}

/// Decides whether this node may send a request to an upstream now. Times are in milliseconds on
/// the node's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateGate {
    statement: Option<Statement>,
    share_per_s: f64,
    tokens: f64,
    filled_ms: u64,
}

impl RateGate {
    /// Returns the limit in force.
    pub fn limit(&self) -> Option<RateLimit> {
        self.statement.and_then(|statement| statement.limit)
    }

    /// Takes the statement of an answer to a request that was sent at `sent_ms`. The next answer
    /// without a limit ends the limit. Answers overtake each other, so one to a request that was
    /// sent before the present limit was learned may only lower it.
    pub fn observe_answer(
        &mut self,
        limit: Option<RateLimit>,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<GateChange> {
        let known = self.statement.and_then(|known| Some((known, known.limit?)));
        let is_ignored = match (limit, known) {
            (None, None) => true,
            (None, Some((known, _))) => sent_ms <= known.at_ms,
            (Some(limit), Some((known, present))) => sent_ms <= known.since_ms && limit > present,
            (Some(_), None) => false,
        };
        if is_ignored {
            return None;
        }
        self.state(limit, now_ms, Some(now_ms), now_ms)
    }

    /// Takes a statement that another node received at `at_ms`.
    pub fn merge(
        &mut self,
        limit: Option<RateLimit>,
        at_ms: u64,
        now_ms: u64,
    ) -> Option<GateChange> {
        let is_newer = self.statement.map_or(limit.is_some(), |known| at_ms > known.at_ms);
        if !is_newer {
            return None;
        }
        let received_ms = self.statement.and_then(|known| known.received_ms);
        self.state(limit, at_ms, received_ms, now_ms)
    }

    fn state(
        &mut self,
        limit: Option<RateLimit>,
        at_ms: u64,
        received_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<GateChange> {
        let known = self.limit();
        let since_ms = match self.statement {
            Some(statement) if known == limit => statement.since_ms,
            _ => now_ms,
        };
        self.statement = Some(Statement { limit, since_ms, at_ms, received_ms });
        match limit {
            _ if known == limit => None,
            None => Some(GateChange::Ended),
            Some(limit) => Some(GateChange::Limited(limit)),
        }
    }

    /// Returns the latest statement, and its age, if this node itself received it within the last
    /// `span_ms`.
    pub fn received_within(&self, span_ms: u64, now_ms: u64) -> Option<(Option<RateLimit>, u64)> {
        let statement = self.statement?;
        let received_ms = statement.received_ms?;
        let is_recent = now_ms.saturating_sub(received_ms) <= span_ms;
        // An older statement of this node must not be passed on as the newer one of another node.
        (is_recent && received_ms >= statement.at_ms)
            .then(|| (statement.limit, now_ms.saturating_sub(received_ms)))
    }

    /// Sets this node's share of the limit. A node that had none begins without tokens.
    pub fn set_share(&mut self, share_per_s: f64, now_ms: u64) {
        self.fill(now_ms);
        self.share_per_s = share_per_s;
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Returns this node's share of the limit, in requests per second.
    pub fn share_per_s(&self) -> f64 {
        self.share_per_s
    }

    /// Returns whether this node has no share of the limit.
    pub fn is_closed(&self) -> bool {
        self.limit().is_some() && self.share_per_s <= 0.0
    }

    /// Returns whether a request may be sent now.
    pub fn allows(&self, now_ms: u64) -> bool {
        self.limit().is_none() || self.tokens_at(now_ms) >= 1.0
    }

    /// Counts a request that is sent.
    pub fn spend(&mut self, now_ms: u64) {
        if self.limit().is_some() {
            self.fill(now_ms);
            self.tokens -= 1.0;
        }
    }

    fn capacity(&self) -> f64 {
        match self.share_per_s > 0.0 {
            true => (self.share_per_s * BURST_S).max(1.0),
            false => 0.0,
        }
    }

    fn tokens_at(&self, now_ms: u64) -> f64 {
        let passed_s = now_ms.saturating_sub(self.filled_ms) as f64 / 1_000.0;
        (self.tokens + passed_s * self.share_per_s).min(self.capacity())
    }

    fn fill(&mut self, now_ms: u64) {
        self.tokens = self.tokens_at(now_ms);
        self.filled_ms = now_ms;
    }
}
