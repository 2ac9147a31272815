//! Summary of the state for debug dumps.

use std::collections::BTreeMap;

use serde::Serialize;

use super::state::Cluster;
use crate::InForce;

/// A member in a [`Summary`].
#[derive(Clone, Debug, Serialize)]
pub struct MemberSummary {
    /// The name.
    pub name: String,
    /// The address for peers.
    pub address: String,
    /// The failure domain.
    pub failure_domain: String,
    /// The state in lower case.
    pub state: String,
    /// The incarnation.
    pub incarnation: u32,
    /// The configuration generation in force at the member; zero for none.
    pub generation: u64,
}

/// A node's view of the fleet, for its dump. Field names are part of the dump's JSON format.
#[derive(Clone, Debug, Serialize)]
pub struct Summary {
    /// The name of this node.
    pub name: String,
    /// The members.
    pub members: Vec<MemberSummary>,
    /// Names of the peers that this node opens links to.
    pub chosen_peers: Vec<String>,
    /// Number of links opened by this node.
    pub outbound_links: usize,
    /// Number of links opened by peers.
    pub inbound_links: usize,
    /// Number of items in the digest.
    pub items: usize,
    /// Number of engines that this node watches.
    pub watched_engines: usize,
    /// Number of engines with a known load.
    pub known_engines: usize,
    /// Whether this node reads the platform's instance list.
    pub reads_instance_list: bool,
    /// The newest known configuration generation.
    pub newest_generation: u64,
    /// Interval between polls and publications of loads.
    pub load_period_ms: u64,
    /// Interval between exchanges on a link.
    pub exchange_period_ms: u64,
    /// Consecutive failures, by address.
    pub failures: BTreeMap<String, u32>,
}

impl Cluster {
    /// Summarises the state for a dump.
    pub fn summary(&self, now_ms: u64) -> Summary {
        let retry_states = self.retry_states.iter();
        let names = self.peers.iter().filter_map(|&peer| self.members.get(peer));
        Summary {
            name: self.own_record.info.name.clone(),
            members: self.member_summaries(),
            chosen_peers: names.map(|record| record.info.name.clone()).collect(),
            outbound_links: self.outbound.len(),
            inbound_links: self.inbound.len(),
            items: self.digest.iter().count(),
            watched_engines: self.watched_engines().count(),
            known_engines: self.engine_loads(now_ms).len(),
            reads_instance_list: self.reads_instance_list(),
            newest_generation: self.newest.generation,
            load_period_ms: self.pacing.load_period_ms,
            exchange_period_ms: self.pacing.exchange_period_ms,
            failures: retry_states
                .map(|(address, retry_state)| (address.to_string(), retry_state.failures))
                .collect(),
        }
    }

    fn member_summaries(&self) -> Vec<MemberSummary> {
        let members = self.members.iter();
        members
            .map(|(key, record)| MemberSummary {
                name: record.info.name.clone(),
                address: record.info.address.to_string(),
                failure_domain: record.info.failure_domain.clone(),
                state: format!("{:?}", record.state).to_lowercase(),
                incarnation: record.incarnation,
                generation: self
                    .digest
                    .payload::<InForce>(key)
                    .map_or(0, |in_force| in_force.generation),
            })
            .collect()
    }
}
