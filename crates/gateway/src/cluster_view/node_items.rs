//! The items that the nodes themselves keep in the store.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The beginning of the keys of members; the rest is the node's name.
pub const MEMBER_PREFIX: &str = "members/";

/// The key of the roll-out's holder.
pub const ROLLOUT_LEADER_KEY: &str = "rollout/holder";

/// A node that is there.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Its address for peers' questions.
    pub address: SocketAddr,
    /// Its address for peers' datagrams.
    pub gossip: SocketAddr,
    /// Its failure domain.
    pub failure_domain: String,
    /// The rate of its network link in megabits a second.
    pub link_mbps: u64,
}

/// The node that holds the roll-out.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RolloutLeader {
    /// Its name.
    pub name: String,
    /// Tells one tenure of a node from another.
    #[serde(rename = "tenure")]
    pub leadership_id: u64,
    /// The engines that take new weights now.
    pub loading: Vec<String>,
}
