//! What is known of one member.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::NodeKey;

/// Whether a member runs. Of two records with one incarnation, the later state here wins.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub enum MemberState {
    /// The member runs.
    Live,
    /// The member is about to stop and takes no new work.
    Leaving,
    /// A peer could not reach the member.
    Suspect,
    /// The member was suspect and did not refute it in time.
    Dead,
}

/// What a member says of itself.
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

/// A statement on one member. The derived order, field by field, decides between two statements.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The incarnation, which only the member itself raises.
    pub incarnation: u32,
    /// The state.
    pub state: MemberState,
    /// A random number of the member's process.
    pub boot: u32,
    /// What the member says of itself.
    pub info: MemberInfo,
}

/// The part of a record that decides between two, without what the member says of itself.
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

    /// Returns whether the member may be a peer and a watcher.
    pub fn is_usable(&self) -> bool {
        matches!(self.state, MemberState::Live | MemberState::Suspect)
    }
}
