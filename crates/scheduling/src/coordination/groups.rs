//! Groups of engines, and the nodes that coordinate them.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::rendezvous;

/// The maximum number of engines in a group. A coordinator decides on all prompts for its group, so
/// this bounds its work in large fleets; smaller groups leave less choice.
const GROUP_LIMIT: usize = 32;

/// How many nodes of the group's failure domain come before a node of another one.
const LOCAL_COORDINATORS: usize = 2;

/// Identifies a group of engines.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct GroupKey(pub u64);

/// A node that may coordinate groups.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct GroupNode {
    /// The name.
    pub name: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The rate of the network link in megabits per second.
    pub link_mbps: u64,
    /// The address for datagrams.
    pub address: SocketAddr,
}

/// A group of engines of one service.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct EngineGroup {
    /// Identifies the group.
    pub key: GroupKey,
    /// The failure domain of its engines; `None` if they are of several.
    pub failure_domain: Option<String>,
    /// The identities of its engines.
    pub engines: Vec<String>,
}

/// Divides the engines of a service, given with identity and failure domain, into groups. A small
/// service has one group; a larger one has groups in each failure domain, so that a domain that is
/// cut off still has coordinators of its own.
pub fn divide<'a>(
    service: &str,
    engines: impl Iterator<Item = (&'a str, &'a str)>,
) -> Vec<EngineGroup> {
    let engines: Vec<(&str, &str)> = engines.collect();
    let seed = xxh3_64(service.as_bytes());
    if engines.is_empty() {
        return Vec::new();
    }
    if engines.len() <= GROUP_LIMIT {
        let engines = engines.iter().map(|(id, _)| (*id).to_owned()).collect();
        return vec![EngineGroup { key: GroupKey(seed), failure_domain: None, engines }];
    }
    let mut by_domain: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for (id, domain) in engines {
        by_domain.entry(domain).or_default().push(id);
    }
    let groups = by_domain.into_iter().flat_map(|(domain, ids)| {
        let parts = ids.len().div_ceil(GROUP_LIMIT);
        let domain_seed = xxh3_64_with_seed(domain.as_bytes(), seed);
        (0..parts).filter_map(move |part| {
            let of_part = ids.iter().filter(|id| xxh3_64(id.as_bytes()) as usize % parts == part);
            let engines: Vec<String> = of_part.map(|id| (*id).to_owned()).collect();
            let key = GroupKey(domain_seed.wrapping_add(part as u64));
            let failure_domain = Some(domain.to_owned());
            (!engines.is_empty()).then_some(EngineGroup { key, failure_domain, engines })
        })
    });
    groups.collect()
}

/// Returns the nodes that may coordinate a group, the first one first: those with fast links, two
/// of the group's failure domain before one of another.
pub(super) fn coordinators(group: &EngineGroup, nodes: &[GroupNode], count: usize) -> Vec<usize> {
    let is_remote =
        |node: &GroupNode| group.failure_domain.as_ref().is_some_and(|d| *d != node.failure_domain);
    let mut ranked: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| {
            let score = rendezvous::score(group.key.0, &node.name);
            (is_remote(node), Reverse(node.link_mbps), Reverse(score), index)
        })
        .collect();
    ranked.sort_unstable();
    let remote_at = ranked.partition_point(|(is_remote, ..)| !is_remote);
    let first = remote_at.min(LOCAL_COORDINATORS);
    let order = ranked[..first].iter().chain(&ranked[remote_at..]).chain(&ranked[first..remote_at]);
    order.take(count).map(|(.., index)| *index).collect()
}
