//! Which limits left no upstream for a request.

use serde::Deserialize;
use serde::Serialize;

/// A limit that rules an upstream out for a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum CapacityLimit {
    /// Its rate limit.
    Rate,
    /// It is reserved for short prompts.
    Role,
    /// The prompts that it has to prefill.
    Prefill,
    /// Its slots.
    Slots,
    /// Its memory.
    Memory,
    /// Its speed: a faster engine would meet the target, and the request can wait for one.
    Speed,
}

/// The number of upstreams of a service that each limit ruled out for a request that had to wait.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Shortage {
    /// Requests of its class that waited before it.
    pub ahead: u16,
    /// What its account used recently of the capacity of its class, in percent of its share; zero if
    /// it used nothing.
    pub share_percent: u16,
    /// Upstreams that accept no requests: they leave, load weights, pause, are ejected, hold
    /// expired weights, run another version of the software, or were tried before.
    pub closed: u16,
    /// Upstreams at their rate limit.
    pub rate: u16,
    /// Upstreams reserved for short prompts.
    pub role: u16,
    /// Upstreams with too much prefill pending.
    pub prefill: u16,
    /// Upstreams without free slots.
    pub slots: u16,
    /// Upstreams without free memory.
    pub memory: u16,
    /// Upstreams with capacity of which this node has used its share.
    pub paced: u16,
    /// Upstreams too slow for the target.
    pub slow: u16,
}

impl Shortage {
    /// Returns the numbers with their names.
    pub fn counts(&self) -> [(&'static str, u16); 8] {
        [
            ("closed", self.closed),
            ("rate", self.rate),
            ("role", self.role),
            ("prefill", self.prefill),
            ("slots", self.slots),
            ("memory", self.memory),
            ("paced", self.paced),
            ("slow", self.slow),
        ]
    }

    pub(super) fn count(&mut self, limit: CapacityLimit) {
        let count = match limit {
            CapacityLimit::Rate => &mut self.rate,
            CapacityLimit::Role => &mut self.role,
            CapacityLimit::Prefill => &mut self.prefill,
            CapacityLimit::Slots => &mut self.slots,
            CapacityLimit::Memory => &mut self.memory,
            CapacityLimit::Speed => &mut self.slow,
        };
        *count = count.saturating_add(1);
    }
}
