//! The starts of upstreams that have ended, although the list still has them.
//!
//! The load pattern: upstreams crash and start again at once under the same address. The list tells
//! of it seconds later, and a node that is cut off from the store only hears of it from other nodes.
//! An answer of another upstream at the address, or that nothing listens there, shows that the listed
//! start has ended, so each node passes such evidence on to those that assign requests.
//!
//! Invariant: a start never runs again, so evidence of its end needs no order. It is forgotten after
//! a while in case it was wrong.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use super::UpstreamTag;

/// How long the answer of another upstream counts. After it a request is sent again, which renews the
/// evidence if it was true.
const ANSWER_MEMORY_MS: u64 = 10_000;

/// How long it counts that nothing listens: a process may come back, or take no connections for a
/// while.
const NO_LISTENER_MEMORY_MS: u64 = 1_000;

/// How long a node passes its evidence on.
const STATEMENT_SPAN_MS: u64 = 2_000;

/// What shows that a start has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum EndEvidence {
    /// Another upstream answered at its address.
    OtherAnswered,
    /// Nothing listens at its address.
    NoListener,
}

impl EndEvidence {
    fn memory_ms(self) -> u64 {
        match self {
            Self::OtherAnswered => ANSWER_MEMORY_MS,
            Self::NoListener => NO_LISTENER_MEMORY_MS,
        }
    }
}

/// Evidence of a node that a start has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EndStatement {
    /// The start.
    pub upstream: UpstreamTag,
    /// The evidence.
    pub evidence: EndEvidence,
    /// Its age in milliseconds.
    pub age_ms: u32,
}

#[derive(Clone, Copy, Debug)]
struct Finding {
    evidence: EndEvidence,
    found_ms: u64,
    // Whether this node found it.
    is_own: bool,
}

impl Finding {
    fn ends_ms(&self) -> u64 {
        self.found_ms + self.evidence.memory_ms()
    }
}

/// Evidence that starts have ended.
#[derive(Clone, Debug, Default)]
pub struct EndedStarts {
    // The evidence that counts longest, of each start.
    findings: HashMap<UpstreamTag, Finding>,
}

impl EndedStarts {
    /// Records evidence that this node found. Returns whether it is news.
    pub fn record(&mut self, start: UpstreamTag, evidence: EndEvidence, now_ms: u64) -> bool {
        self.expire(now_ms);
        self.add(start, Finding { evidence, found_ms: now_ms, is_own: true })
    }

    /// Takes the evidence of another node. Returns the starts of which it is news.
    pub fn merge(&mut self, statements: &[EndStatement], now_ms: u64) -> Vec<UpstreamTag> {
        self.expire(now_ms);
        let mut news = Vec::new();
        for EndStatement { upstream, evidence, age_ms } in statements {
            let found_ms = now_ms.saturating_sub(u64::from(*age_ms));
            let finding = Finding { evidence: *evidence, found_ms, is_own: false };
            if finding.ends_ms() > now_ms && self.add(*upstream, finding) {
                news.push(*upstream);
            }
        }
        news
    }

    /// Takes over what another table of this node has.
    pub fn follow(&mut self, node: &Self) {
        for (start, finding) in &node.findings {
            self.add(*start, *finding);
        }
    }

    /// Returns whether a start has ended.
    pub fn contains(&self, start: UpstreamTag, now_ms: u64) -> bool {
        self.findings.get(&start).is_some_and(|finding| now_ms < finding.ends_ms())
    }

    /// Returns the recent evidence of this node, for the others.
    pub fn statements(&self, now_ms: u64) -> Vec<EndStatement> {
        let own = self.findings.iter().filter(|(_, finding)| finding.is_own);
        let statements = own.filter_map(|(start, finding)| {
            let age_ms = now_ms.saturating_sub(finding.found_ms);
            (age_ms < STATEMENT_SPAN_MS && now_ms < finding.ends_ms()).then_some(EndStatement {
                upstream: *start,
                evidence: finding.evidence,
                age_ms: age_ms as u32,
            })
        });
        statements.collect()
    }

    /// Adds a finding, unless what is known counts longer. Returns whether the start was not known to
    /// have ended.
    fn add(&mut self, start: UpstreamTag, finding: Finding) -> bool {
        let known = self.findings.get(&start);
        let is_news = known.is_none();
        if known.is_none_or(|known| known.ends_ms() < finding.ends_ms()) {
            self.findings.insert(start, finding);
        }
        is_news
    }

    fn expire(&mut self, now_ms: u64) {
        self.findings.retain(|_, finding| now_ms < finding.ends_ms());
    }
}
