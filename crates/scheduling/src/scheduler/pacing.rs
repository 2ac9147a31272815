//! Pacing of requests to engine capacity that all nodes share.
//!
//! When more prompts wait at many nodes than the engines can take, and the nodes receive each
//! other's load half a second late, every node sees the same free capacity and would send all its
//! waiting prompts there. Each node therefore has a token bucket of engine time: its share of the
//! time that the engines with capacity offer, limited to what they take at once.
//!
//! Invariant: within any period, all nodes together spend at most the engine time of the period and
//! one burst for each engine with capacity, as far as the nodes see the same engines.

use std::collections::HashMap;

use rand::Rng;
use rand::rngs::SmallRng;

use redwingrill_routing::SoftwareVersion;

/// Digests no older than this describe the engines' load well enough.
const FRESH_DIGEST_MS: u64 = 150;

/// The minimum share of a node with few arrivals, relative to an equal share.
const MIN_SHARE_FACTOR: f64 = 0.25;

/// The engine time that a node may spend at engines of one request class. With many nodes, the
/// limit may be below the cost of one request. A request is therefore sent when the credit exceeds
/// a random fraction of its cost, so that the nodes together send at the allowed rate, and not all
/// at the same time.
#[derive(Clone, Copy, Debug)]
struct Credit {
    engine_ms: f64,
    at_ms: u64,
    // The fraction of its cost that a request needs, from zero to one, and when it was drawn.
    threshold: f64,
    drawn_ms: u64,
}

/// The engines and prompts that share a credit: engines of equal base cost (role and weights), and
/// long or short prompts. Prompts that are bound to a version of the software see fewer engines, and
/// have a credit for these besides.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub(super) struct RequestClass {
    pub is_long: bool,
    pub base_cost_ms: i32,
    pub software: Option<SoftwareVersion>,
}

/// A node's share of the engines' capacity.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeShare {
    /// The node's share of the arrivals at all nodes, from zero to one.
    pub fraction: f64,
    /// The engine time that an engine with capacity takes at once, in milliseconds.
    pub burst_ms: f64,
    /// The engine time of the request, in milliseconds.
    pub cost_ms: f64,
}

impl NodeShare {
    /// Returns the share of a node with `own_per_s` of `all_per_s` arrivals among `members` nodes.
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

/// Limits the rate at which a node uses shared engine capacity.
#[derive(Clone, Debug, Default)]
pub(super) struct Pacer {
    credits: HashMap<RequestClass, Credit>,
}

impl Pacer {
    /// Returns whether the digests of the other nodes are too old to describe the engines' load.
    pub(super) fn is_needed(digest_age_ms: u64) -> bool {
        digest_age_ms > FRESH_DIGEST_MS
    }

    /// Returns whether a request may be sent to one of `engines` with capacity.
    pub(super) fn affords(
        &mut self,
        class: &RequestClass,
        engines: usize,
        node_share: NodeShare,
        now_ms: u64,
        rng: &mut SmallRng,
    ) -> bool {
        let capacity = node_share.fraction * engines as f64;
        let limit_ms = capacity * node_share.burst_ms;
        if !self.credits.contains_key(class) {
            let threshold = rng.random();
            let credit = Credit { engine_ms: limit_ms, at_ms: now_ms, threshold, drawn_ms: now_ms };
            self.credits.insert(class.clone(), credit);
        }
        let credit = self.credits.get_mut(class).expect("credit was inserted above");
        let passed_ms = now_ms.saturating_sub(credit.at_ms) as f64;
        credit.engine_ms = (credit.engine_ms + passed_ms * capacity).min(limit_ms);
        credit.at_ms = now_ms;
        if now_ms.saturating_sub(credit.drawn_ms) as f64 >= node_share.burst_ms {
            credit.redraw(now_ms, rng);
        }
        credit.engine_ms >= node_share.cost_ms * credit.threshold
    }

    /// Spends the engine time of a request that is sent. One that is bound to a version of the
    /// software uses engines that the others see, too.
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
        if class.software.is_some()
            && let Some(credit) = self.credits.get_mut(&RequestClass { software: None, ..class })
        {
            credit.engine_ms -= cost_ms;
        }
    }
}

impl Credit {
    fn redraw(&mut self, now_ms: u64, rng: &mut SmallRng) {
        self.threshold = rng.random();
        self.drawn_ms = now_ms;
    }
}
