//! Rendezvous hashing.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::NodeKey;

/// Returns the score of a node for a subject. The nodes with the highest scores are selected.
pub fn score(subject: u64, node: NodeKey) -> u64 {
    xxh3_64_with_seed(&node.0.to_le_bytes(), subject)
}

/// Returns up to `count` nodes with the highest scores for a subject, highest first.
pub fn highest_scored(
    subject: u64,
    nodes: impl Iterator<Item = NodeKey>,
    count: usize,
) -> Vec<NodeKey> {
    let mut ranked: Vec<(u64, NodeKey)> = Vec::with_capacity(count + 1);
    for node in nodes {
        let entry = (score(subject, node), node);
        let position = ranked.partition_point(|other| *other > entry);
        if position < count {
            ranked.insert(position, entry);
            ranked.truncate(count);
        }
    }
    ranked.into_iter().map(|(_, node)| node).collect()
}
