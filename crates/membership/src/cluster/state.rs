//! The state of the cluster, and read access to it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::links::Inbound;
use super::links::Outbound;
use super::links::Refutation;
use super::links::RetryState;
use super::options::Changes;
use super::options::ClusterOptions;
use super::publish::OwnItems;
use super::watches::Watches;
use crate::Digest;
use crate::InForce;
use crate::LinkId;
use crate::MemberInfo;
use crate::MemberRecord;
use crate::MemberState;
use crate::MemberTable;
use crate::NodeKey;
use crate::Pacing;
use crate::link::LocalState;

/// One node's view of the fleet.
#[derive(Debug)]
pub struct Cluster {
    pub(super) key: NodeKey,
    pub(super) own_record: MemberRecord,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) members: MemberTable,
    pub(super) digest: Digest,
    pub(super) own_items: OwnItems,
    pub(super) watches: Watches,
    pub(super) outbound: BTreeMap<LinkId, Outbound>,
    pub(super) inbound: BTreeMap<LinkId, Inbound>,
    pub(super) retry_states: BTreeMap<SocketAddr, RetryState>,
    pub(super) refutations: BTreeMap<NodeKey, Refutation>,
    pub(super) peers: Vec<NodeKey>,
    pub(super) pacing: Pacing,
    /// Whether peers and watch assignments must be recomputed.
    pub(super) is_plan_stale: bool,
    pub(super) rotation: u32,
    pub(super) next_rotation_ms: u64,
    pub(super) next_unreachable_retry_ms: u64,
    pub(super) newest: InForce,
    /// Origins that have the newest generation in force.
    pub(super) newest_origins: BTreeSet<NodeKey>,
    /// Counter of urgent changes, which are sent without waiting for the exchange period.
    pub(super) urgent_changes: u64,
    pub(super) changes: Changes,
    pub(super) rng: SmallRng,
}

impl Cluster {
    /// Creates the state of a node that knows no other member.
    pub fn new(now_ms: u64, options: ClusterOptions) -> Self {
        let ClusterOptions { info, seeds, boot } = options;
        let mut rng = SmallRng::seed_from_u64(boot);
        let own_record =
            MemberRecord { incarnation: 1, state: MemberState::Live, boot: rng.random(), info };
        let mut members = MemberTable::new();
        members.merge(now_ms, own_record.clone());
        let own_address = own_record.info.address;
        Self {
            key: own_record.info.key(),
            own_record,
            seeds: seeds.into_iter().filter(|&seed| seed != own_address).collect(),
            members,
            digest: Digest::new(),
            own_items: OwnItems::default(),
            watches: Watches::default(),
            outbound: BTreeMap::new(),
            inbound: BTreeMap::new(),
            retry_states: BTreeMap::new(),
            refutations: BTreeMap::new(),
            peers: Vec::new(),
            pacing: Pacing::for_fleet(1, 0),
            is_plan_stale: true,
            rotation: 0,
            next_rotation_ms: now_ms,
            next_unreachable_retry_ms: now_ms,
            newest: InForce::default(),
            newest_origins: BTreeSet::new(),
            urgent_changes: 0,
            changes: Changes::default(),
            rng,
        }
    }

    /// Returns the key of this node.
    pub fn key(&self) -> NodeKey {
        self.key
    }

    /// Returns the record of this node.
    pub fn own_record(&self) -> &MemberRecord {
        &self.own_record
    }

    /// Returns the member table.
    pub fn members(&self) -> &MemberTable {
        &self.members
    }

    /// Returns the digest with all known items.
    pub fn digest(&self) -> &Digest {
        &self.digest
    }

    /// Returns the current periods.
    pub fn pacing(&self) -> Pacing {
        self.pacing
    }

    /// Returns the newest configuration that any node is known to have in force.
    pub fn newest_in_force(&self) -> InForce {
        self.newest
    }

    /// Returns the live and suspect members, including this node.
    pub fn usable_members(&self) -> impl Iterator<Item = (NodeKey, &MemberInfo)> {
        let usable = self.members.iter().filter(|(_, record)| record.is_usable());
        usable.map(|(key, record)| (key, &record.info))
    }

    /// Returns the addresses of peers that responded on outbound links.
    pub fn outbound_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let responsive = self.outbound.values().filter(|link| link.peer.is_some());
        responsive.map(|link| link.address)
    }

    /// Returns and resets the changes since the last call.
    pub fn take_changes(&mut self) -> Changes {
        std::mem::take(&mut self.changes)
    }

    /// Returns whether this node reads the platform's instance list on behalf of the fleet.
    pub fn reads_instance_list(&self) -> bool {
        self.watches.reads_instance_list
    }

    pub(super) fn local_state(&self) -> LocalState<'_> {
        LocalState { own_key: self.key, members: &self.members, digest: &self.digest }
    }

    /// Returns the period, shortened by a random amount of up to a quarter.
    pub(super) fn jittered_ms(&mut self, period_ms: u64) -> u64 {
        let spread_ms = period_ms / 4;
        period_ms - self.rng.random_range(0..=spread_ms)
    }

    /// Counts an urgent change, which is sent without waiting for the exchange period.
    pub(super) fn mark_urgent(&mut self) {
        self.urgent_changes += 1;
    }
}
