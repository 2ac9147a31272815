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
const FRESH_MS: u64 = 150;

/// The least part of the room that a node counts on, for one to which few callers come, as a part
/// of an even part.
const LEAST_PART: f64 = 0.25;

/// The engine time that a node may spend at engines of one standing. It may be less than a request
/// takes, at one of many nodes; the request is then sent when the credit passes a random part of
/// its cost, so that the nodes together send what they may, and not all at the same moment.
#[derive(Clone, Copy, Debug)]
struct Credit {
    engine_ms: f64,
    at_ms: u64,
    // The part of its cost that a request needs, from zero to one, and when it is drawn anew.
    needed_part: f64,
    drawn_ms: u64,
}

/// Which engines and prompts a credit is for: engines of equal standing (their role, their weights)
/// and long or short prompts.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub(super) struct Lane {
    pub is_long: bool,
    pub standing_ms: u32,
}

/// What a node may take of the room.
#[derive(Clone, Copy, Debug)]
pub(super) struct Part {
    /// Its part of the arrivals at all nodes, from zero to one.
    pub share: f64,
    /// The engine time that an engine with room takes at once.
    pub burst_ms: f64,
    /// The engine time of the request.
    pub cost_ms: f64,
}

impl Part {
    /// Returns the part of a node with `own_per_s` of `all_per_s` arrivals among `members` nodes.
    pub(super) fn share_of(own_per_s: u32, all_per_s: u32, members: usize) -> f64 {
        let even = 1.0 / members.max(1) as f64;
        match all_per_s {
            0 => even,
            _ => (f64::from(own_per_s) / f64::from(all_per_s)).max(even * LEAST_PART),
        }
    }
}

/// The credits of a node.
#[derive(Clone, Debug, Default)]
pub(super) struct Pace {
    credits: HashMap<Lane, Credit>,
}

impl Pace {
    /// Returns whether what the node hears is too old to tell the engines' load.
    pub(super) fn is_needed(words_age_ms: u64) -> bool {
        words_age_ms > FRESH_MS
    }

    /// Returns whether a request may be sent to one of `engines` with room.
    pub(super) fn affords(
        &mut self,
        lane: Lane,
        engines: usize,
        part: Part,
        now_ms: u64,
        rng: &mut SmallRng,
    ) -> bool {
        let room = part.share * engines as f64;
        let most_ms = room * part.burst_ms;
        let credit = self.credits.entry(lane).or_insert_with(|| Credit {
            engine_ms: most_ms,
            at_ms: now_ms,
            needed_part: rng.random(),
            drawn_ms: now_ms,
        });
        let passed_ms = now_ms.saturating_sub(credit.at_ms) as f64;
        credit.engine_ms = (credit.engine_ms + passed_ms * room).min(most_ms);
        credit.at_ms = now_ms;
        if now_ms.saturating_sub(credit.drawn_ms) as f64 >= part.burst_ms {
            credit.draw(now_ms, rng);
        }
        credit.engine_ms >= part.cost_ms * credit.needed_part
    }

    /// Spends the engine time of a request that is sent.
    pub(super) fn spend(&mut self, lane: Lane, cost_ms: f64, now_ms: u64, rng: &mut SmallRng) {
        if let Some(credit) = self.credits.get_mut(&lane) {
            credit.engine_ms -= cost_ms;
            credit.draw(now_ms, rng);
        }
    }
}

impl Credit {
    fn draw(&mut self, now_ms: u64, rng: &mut SmallRng) {
        self.needed_part = rng.random();
        self.drawn_ms = now_ms;
    }
}
