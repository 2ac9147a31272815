//! The nodes that remember a stream's origin.
//!
//! Nodes of one failure domain fail together, so each domain has one owner before any has a second.
//! Of the owners of a stream, those that remain when other nodes leave stay owners.

use std::cmp::Reverse;
use std::collections::HashMap;

use super::StreamKey;
use crate::coordination::GroupNode;
use crate::rendezvous;

/// How many nodes are told the origin of a stream. The loss of a share of all nodes loses the third
/// power of that share of the origins.
pub const OWNERS_PER_STREAM: usize = 3;

/// Returns at most `count` owners of a stream as indexes into `nodes`, the first one first.
pub fn owners(key: StreamKey, nodes: &[GroupNode], count: usize) -> Vec<usize> {
    let mut ranked: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| (Reverse(rendezvous::score(key.0, &node.name)), &node.name, index))
        .collect();
    ranked.sort_unstable();
    let mut turns: HashMap<&str, usize> = HashMap::new();
    let in_turns = ranked.iter().map(|&(.., index)| {
        let turn = turns.entry(&nodes[index].failure_domain).or_default();
        *turn += 1;
        (*turn, index)
    });
    let mut in_turns: Vec<(usize, usize)> = in_turns.collect();
    in_turns.sort_by_key(|&(turn, _)| turn);
    in_turns.into_iter().take(count).map(|(_, index)| index).collect()
}
