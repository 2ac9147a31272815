//! The ranking of the nodes that own the parts of an account's quota.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use redwingrill_routing::AccountTag;

/// The maximum number of owners of an account: one that fails leaves four fifths of the quota, and a
/// request is denied after at most five answers.
pub const OWNERS_LIMIT: usize = 5;

/// The smallest burst of one part. A part that holds less than one request would never admit one.
const MIN_PART_TOKENS: u64 = 2;

/// How many nodes of one failure domain come before a node of another one.
const OWNERS_PER_DOMAIN: usize = 2;

/// A node that may own parts of quotas.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct QuotaMember {
    /// The name.
    pub name: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The rate of the network link in megabits per second.
    pub link_mbps: u64,
    /// The address for datagrams.
    pub address: SocketAddr,
}

/// Returns how many owners a quota with this burst has at most.
pub fn owners_limit(burst_tokens: u64) -> usize {
    (burst_tokens / MIN_PART_TOKENS).clamp(1, OWNERS_LIMIT as u64) as usize
}

/// Returns at most `limit` owners of an account: the nodes with the fastest links first, among equal ones two of
/// each failure domain before more of any, then by a hash of account and node.
pub fn owners_of(account: AccountTag, members: &[QuotaMember], limit: usize) -> Vec<SocketAddr> {
    let mut ranked: Vec<(Reverse<u64>, Reverse<u64>, usize)> = members
        .iter()
        .enumerate()
        .map(|(index, member)| {
            let score = xxh3_64_with_seed(member.name.as_bytes(), account.0);
            (Reverse(member.link_mbps), Reverse(score), index)
        })
        .collect();
    ranked.sort_unstable();
    let mut owners = Vec::with_capacity(limit);
    for class in ranked.chunk_by(|one, other| one.0 == other.0) {
        let mut is_taken = vec![false; class.len()];
        let mut domain_limit = OWNERS_PER_DOMAIN;
        while owners.len() < limit && is_taken.contains(&false) {
            for position in 0..class.len() {
                let member = &members[class[position].2];
                let is_same_domain =
                    |other: usize| members[class[other].2].failure_domain == member.failure_domain;
                let of_domain =
                    (0..class.len()).filter(|&other| is_taken[other] && is_same_domain(other));
                if owners.len() < limit && !is_taken[position] && of_domain.count() < domain_limit {
                    is_taken[position] = true;
                    owners.push(member.address);
                }
            }
            domain_limit += OWNERS_PER_DOMAIN;
        }
    }
    owners
}
