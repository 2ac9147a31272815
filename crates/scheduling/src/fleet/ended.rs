//! The starts of upstreams that have ended, although the list still has them.
//!
//! The load pattern: upstreams crash and start again at once under the same address. The list tells
//! of it seconds later, and a node that is cut off from the store only hears of it from other nodes.
//! An answer of another upstream at the address proves that the listed start has ended, so each node
//! passes such evidence on to those that assign requests.
//!
//! Invariant: a start never runs again, so evidence of its end needs no order. It is forgotten after
//! a while in case it was wrong.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use super::UpstreamTag;

/// How long evidence counts. After it a request is sent again, which renews it if it was true.
const EVIDENCE_MEMORY_MS: u64 = 10_000;

/// How long a node passes its evidence on.
const STATEMENT_SPAN_MS: u64 = 2_000;

/// Evidence of a node that a start has ended.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct EndStatement {
    /// The start.
    pub upstream: UpstreamTag,
    /// The age of the evidence in milliseconds.
    pub age_ms: u32,
}

/// Evidence that starts have ended.
#[derive(Clone, Debug, Default)]
pub struct EndedStarts {
    // When the newest evidence was found, and whether by this node.
    found: HashMap<UpstreamTag, (u64, bool)>,
}

impl EndedStarts {
    /// Records evidence that this node found. Returns whether it is news.
    pub fn record(&mut self, start: UpstreamTag, now_ms: u64) -> bool {
        self.expire(now_ms);
        self.found.insert(start, (now_ms, true)).is_none()
    }

    /// Takes the evidence of another node. Returns the starts of which it is news.
    pub fn merge(&mut self, statements: &[EndStatement], now_ms: u64) -> Vec<UpstreamTag> {
        self.expire(now_ms);
        let mut news = Vec::new();
        for statement in statements {
            let found_ms = now_ms.saturating_sub(u64::from(statement.age_ms));
            if now_ms.saturating_sub(found_ms) >= EVIDENCE_MEMORY_MS {
                continue;
            }
            let known = self.found.entry(statement.upstream).or_insert_with(|| {
                news.push(statement.upstream);
                (found_ms, false)
            });
            known.0 = known.0.max(found_ms);
        }
        news
    }

    /// Takes over what another table of this node has.
    pub fn follow(&mut self, node: &Self) {
        for (start, (found_ms, is_own)) in &node.found {
            let known = self.found.entry(*start).or_insert((*found_ms, *is_own));
            known.0 = known.0.max(*found_ms);
        }
    }

    /// Returns whether a start has ended.
    pub fn contains(&self, start: UpstreamTag, now_ms: u64) -> bool {
        let found = self.found.get(&start);
        found.is_some_and(|(at_ms, _)| now_ms.saturating_sub(*at_ms) < EVIDENCE_MEMORY_MS)
    }

    /// Returns the recent evidence of this node, for the others.
    pub fn statements(&self, now_ms: u64) -> Vec<EndStatement> {
        let own = self.found.iter().filter(|(_, (_, is_own))| *is_own);
        let statements = own.filter_map(|(start, (at_ms, _))| {
            let age_ms = now_ms.saturating_sub(*at_ms);
            (age_ms < STATEMENT_SPAN_MS)
                .then_some(EndStatement { upstream: *start, age_ms: age_ms as u32 })
        });
        statements.collect()
    }

    fn expire(&mut self, now_ms: u64) {
        self.found.retain(|_, (at_ms, _)| now_ms.saturating_sub(*at_ms) < EVIDENCE_MEMORY_MS);
    }
}
