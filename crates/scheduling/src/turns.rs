//! The order in which nodes take up a duty that one node does for all.
//!
//! Examples are recording when a version was published, and leading a roll-out. All nodes derive
//! the same order from the list of members; a node takes the duty up when its turn comes and nobody
//! has. The load pattern: many nodes fail together, at worst all of a failure domain, or a part of
//! the fleet without the store. The order therefore passes from domain to domain, and each turn has
//! twice as many nodes as the one before, so the delay grows with the logarithm of the nodes that
//! failed. The duty itself must be safe if several nodes take it up.

use std::cmp::Reverse;
use std::collections::HashMap;

/// The time between two turns.
const TURN_MS: u64 = 400;

/// A member of the fleet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Contender<'a> {
    /// The name.
    pub name: &'a str,
    /// The failure domain.
    pub failure_domain: &'a str,
    /// The rate of the network link in megabits per second.
    pub link_mbps: u64,
}

/// Returns the position of a node in the order: nodes with fast links first, those with equal ones
/// by turns from each failure domain. A node that is not a member comes last.
pub fn rank<'a>(node: &str, members: impl Iterator<Item = Contender<'a>>) -> usize {
    let mut members: Vec<Contender<'_>> = members.collect();
    members.sort_unstable_by_key(|member| (Reverse(member.link_mbps), member.name));
    let mut counts: HashMap<(u64, &str), usize> = HashMap::new();
    let mut order: Vec<_> = members
        .iter()
        .map(|member| {
            let count = counts.entry((member.link_mbps, member.failure_domain)).or_default();
            *count += 1;
            (Reverse(member.link_mbps), *count, member.failure_domain, member.name)
        })
        .collect();
    order.sort_unstable();
    order.iter().position(|(.., name)| *name == node).unwrap_or(order.len())
}

/// Returns how long after the duty came up the turn of a node comes.
pub fn turn_delay_ms(rank: usize) -> u64 {
    TURN_MS * u64::from(turn(rank))
}

/// Returns the delay before a node tries again after a failure. It doubles with each turn, so that
/// the nodes of every turn together try equally often.
pub fn retry_delay_ms(rank: usize, first_turn_ms: u64) -> u64 {
    first_turn_ms << turn(rank).min(16)
}

/// The first node has turn zero, the next two have turn one, the next four turn two, and so on.
fn turn(rank: usize) -> u32 {
    rank.saturating_add(1).ilog2()
}
