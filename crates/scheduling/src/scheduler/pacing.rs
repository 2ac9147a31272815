//! How fast a node gives out room that other nodes give out, too.
//!
//! Answers this load: more prompts than the engines can take, waiting at many nodes that hear of
//! each other half a second late. Room at one engine is seen by all of them, and each would give it
//! to all that wait there. A node therefore spends its part of the engine time that the engines
//! with room offer: it grows with the time, and up to what they take at once.
//!
//! Invariant: what all nodes spend in a span is at most the engine time of the span and one burst
//! for each engine with room, as far as the nodes see the same engines.

use std::collections::HashMap;

use rand::Rng;
use rand::rngs::SmallRng;

/// Words of others that are no older than this say enough of the engines' load.
const FRESH_DIGEST_MS: u64 = 150;

/// The least part of the room that a node counts on, for one to which few callers come, as a part
/// of an even part.
const MIN_SHARE_FACTOR: f64 = 0.25;

/// The engine time that a node may spend at engines of one standing. It may be less than a request
/// takes, at one of many nodes; the request is then sent when the credit passes a random part of
/// its cost, so that the nodes together send what they may, and not all at the same moment.
#[derive(Clone, Copy, Debug)]
struct Credit {
    engine_ms: f64,
    at_ms: u64,
    // The part of its cost that a request needs, from zero to one, and when it is drawn anew.
    threshold: f64,
    drawn_ms: u64,
}

/// Which engines and prompts a credit is for: engines of equal standing (their role, their weights)
/// and long or short prompts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(super) struct RequestClass {
    pub is_long: bool,
    pub base_cost_ms: u32,
}

/// What a node may take of the room.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeShare {
    /// Its part of the arrivals at all nodes, from zero to one.
    pub fraction: f64,
    /// The engine time that an engine with room takes at once.
    pub burst_ms: f64,
    /// The engine time of the request.
    pub cost_ms: f64,
}

impl NodeShare {
    /// Returns the part of a node with `own_per_s` of `all_per_s` arrivals among `members` nodes.
    pub(super) fn fraction_of(own_per_s: u32, all_per_s: u32, members: usize) -> f64 {
        let even_fraction = 1.0 / members.max(1) as f64;
        match all_per_s {
            0 => even_fraction,
            _ => {
                (f64::from(own_per_s) / f64::from(all_per_s)).max(even_fraction * MIN_SHARE_FACTOR)
            }
        }
    }
}

/// The credits of a node.
#[derive(Clone, Debug, Default)]
pub(super) struct Pacer {
    credits: HashMap<RequestClass, Credit>,
}

impl Pacer {
    /// Returns whether what the node hears is too old to tell the engines' load.
    pub(super) fn is_needed(digest_age_ms: u64) -> bool {
        digest_age_ms > FRESH_DIGEST_MS
    }

    /// Returns whether a request may be sent to one of `engines` with room.
    pub(super) fn affords(
        &mut self,
        class: RequestClass,
        engines: usize,
        node_share: NodeShare,
        now_ms: u64,
        rng: &mut SmallRng,
    ) -> bool {
        let capacity = node_share.fraction * engines as f64;
        let limit_ms = capacity * node_share.burst_ms;
        let credit = self.credits.entry(class).or_insert_with(|| Credit {
            engine_ms: limit_ms,
            at_ms: now_ms,
            threshold: rng.random(),
            drawn_ms: now_ms,
        });
        let passed_ms = now_ms.saturating_sub(credit.at_ms) as f64;
        credit.engine_ms = (credit.engine_ms + passed_ms * capacity).min(limit_ms);
        credit.at_ms = now_ms;
        if now_ms.saturating_sub(credit.drawn_ms) as f64 >= node_share.burst_ms {
            credit.redraw(now_ms, rng);
        }
        credit.engine_ms >= node_share.cost_ms * credit.threshold
    }

    /// Spends the engine time of a request that is sent.
    pub(super) fn spend(
        &mut self,
        class: RequestClass,
        cost_ms: f64,
        now_ms: u64,
        rng: &mut SmallRng,
    ) {
        if let Some(credit) = self.credits.get_mut(&class) {
            credit.engine_ms -= cost_ms;
            credit.redraw(now_ms, rng);
        }
    }
}

impl Credit {
    fn redraw(&mut self, now_ms: u64, rng: &mut SmallRng) {
        self.threshold = rng.random();
        self.drawn_ms = now_ms;
    }
}
