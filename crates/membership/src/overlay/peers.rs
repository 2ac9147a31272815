//! Selection of a node's peers.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::rendezvous::highest_scored;
use crate::MemberRecord;
use crate::MemberTable;
use crate::NodeKey;

/// Nodes of fleets up to this size select two peers inside and two outside their failure domain.
const SMALL_FLEET_NODES: usize = 16;

/// Number of nodes per failure domain, first in key order, that link it to the next domain.
const DOMAIN_GATEWAYS: usize = 2;

type Domains<'a> = BTreeMap<&'a str, Vec<NodeKey>>;

/// Returns the usable members that the member `own` opens links to.
pub fn choose_peers(own: &MemberRecord, members: &MemberTable, rotation: u32) -> Vec<NodeKey> {
    let own_key = own.info.key();
    let domains = domains_of(own, own_key, members);
    let nodes: usize = domains.values().map(Vec::len).sum();
    let peers_per_side = if nodes <= SMALL_FLEET_NODES { 2 } else { 1 };
    let own_domain = own.info.failure_domain.as_str();
    let ring = &domains[own_domain];
    let mut peers = successors(ring, own_key, peers_per_side);
    // A node with too few others in its domain selects more peers outside instead.
    let outside_count = 2 * peers_per_side - peers.len();
    let outside = outside_peers(own_key, own_domain, &domains, rotation, outside_count);
    peers.extend(outside);
    peers
}

fn domains_of<'a>(
    own: &'a MemberRecord,
    own_key: NodeKey,
    members: &'a MemberTable,
) -> Domains<'a> {
    let mut domains = Domains::new();
    let usable = members.iter().filter(|&(key, record)| key != own_key && record.is_usable());
    let all = usable.chain(std::iter::once((own_key, own)));
    for (key, record) in all {
        domains.entry(&record.info.failure_domain).or_default().push(key);
    }
    for ring in domains.values_mut() {
        ring.sort_unstable();
    }
    domains
}

fn successors(ring: &[NodeKey], own: NodeKey, count: usize) -> Vec<NodeKey> {
    let position = ring.binary_search(&own).unwrap_or_else(|position| position);
    let others = ring.len().saturating_sub(1);
    (1..=count.min(others)).map(|step| ring[(position + step) % ring.len()]).collect()
}

fn outside_peers(
    own: NodeKey,
    own_domain: &str,
    domains: &Domains<'_>,
    rotation: u32,
    count: usize,
) -> Vec<NodeKey> {
    let mut peers = Vec::new();
    let is_gateway = domains[own_domain].iter().take(DOMAIN_GATEWAYS).any(|&key| key == own);
    if is_gateway && let Some(next) = next_domain(own_domain, domains) {
        peers.extend(highest_scored(own.0, domains[next].iter().copied(), 1));
    }
    let outside = domains.iter().filter(|&(&domain, _)| domain != own_domain);
    let candidates = outside.flat_map(|(_, ring)| ring).copied();
    let candidates = candidates.filter(|key| !peers.contains(key));
    let subject = own.0.wrapping_add(u64::from(rotation));
    let chosen = highest_scored(subject, candidates, count.saturating_sub(peers.len()));
    peers.extend(chosen);
    peers
}

fn next_domain<'a>(own_domain: &str, domains: &Domains<'a>) -> Option<&'a str> {
    let after = (Bound::Excluded(own_domain), Bound::Unbounded);
    let mut following = domains.range::<str, _>(after);
    let next = following.next().or_else(|| domains.iter().next())?;
    (*next.0 != own_domain).then_some(*next.0)
}
