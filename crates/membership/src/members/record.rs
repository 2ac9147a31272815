//! Records about members.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::NodeKey;

/// The state of a member. Of two records with the same incarnation, the later state in this order
/// wins.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum MemberState {
    /// The member is running.
    Live,
    /// The member is about to stop and accepts no new work.
    Leaving,
    /// A peer could not reach the member.
    Suspect,
    /// The member was suspect and did not refute the suspicion in time.
    Dead,
}

/// The properties that a member announces about itself.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The name, unique in the fleet.
    pub name: String,
    /// The address for peers.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
}

impl MemberInfo {
    /// Returns the key of the member.
    pub fn key(&self) -> NodeKey {
        NodeKey::of(&self.name)
    }
}

/// A record about one member. Of two records, the greater in the derived order, field by field,
/// wins.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation, which only the member itself raises.
    pub incarnation: u32,
    /// The state.
    pub state: MemberState,
    /// A random number that identifies the member's process.
    pub boot: u32,
    /// The properties that the member announces about itself.
    pub info: MemberInfo,
}

/// The part of a record that orders it, without the announced properties.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub struct RecordStamp {
    incarnation: u32,
    state: MemberState,
    boot: u32,
}

impl MemberRecord {
    /// Returns the stamp of this record.
    pub fn stamp(&self) -> RecordStamp {
        RecordStamp { incarnation: self.incarnation, state: self.state, boot: self.boot }
    }

    /// Returns whether the member may be selected as a peer or watcher.
    pub fn is_usable(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect)
    }
}
