//! The items that nodes write to the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The key prefix of members, followed by the node's name.
pub const MEMBER_PREFIX: &str = "members/";

/// The key of the roll-out's leader.
pub const ROLLOUT_LEADER_KEY: &str = "rollout/holder";

/// The key prefix of quarantined parts, followed by the part.
pub const QUARANTINE_PREFIX: &str = "quarantine/";

/// A live node.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The name of the node.
    pub name: String,
    /// The TCP address for calls from peers.
    pub address: SocketAddr,
    /// The UDP address for datagrams from peers.
    pub gossip: SocketAddr,
    /// The failure domain of the node.
    pub failure_domain: String,
    /// The rate of its network link in megabits per second.
    pub link_mbps: u64,
}

/// The node that leads the roll-out.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RolloutLeader {
    /// The name of the node.
    pub name: String,
    /// Distinguishes successive leaderships of the same node.
    #[serde(rename = "tenure")]
    pub leadership_id: u64,
    /// The identities of the engines that are commanded to load new weights.
    pub loading: Vec<String>,
}
