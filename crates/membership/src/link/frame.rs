//! What one side of an exchange sends.

use serde::Deserialize;
use serde::Serialize;

use crate::ItemKind;
use crate::MemberRecord;
use crate::NodeKey;
use crate::Version;

/// The identifier of a link: a random number of the side that opened it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct LinkId(pub u64);

/// A number that holds an origin's number on a link and a kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ItemId(u32);

const KINDS_PER_ORIGIN: u32 = 8;

impl ItemId {
    /// Joins an origin's number and a kind.
    pub fn new(number: u32, kind: ItemKind) -> Self {
        Self(number * KINDS_PER_ORIGIN + kind.index() as u32)
    }

    /// Returns the origin's number.
    pub fn number(self) -> usize {
        (self.0 / KINDS_PER_ORIGIN) as usize
    }

    /// Returns the kind, if it is one.
    pub fn kind(self) -> Option<ItemKind> {
        ItemKind::from_index((self.0 % KINDS_PER_ORIGIN) as usize)
    }
}

/// An item with its whole version.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FullItem {
    /// The origin and kind.
    pub id: ItemId,
    /// The version.
    pub version: Version,
    /// The payload.
    pub payload: Vec<u8>,
}

/// An item whose sequence number is told by the step from the last one sent on the link.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DeltaItem {
    /// The origin and kind.
    pub id: ItemId,
    /// The step of the sequence number, in the same epoch.
    pub sequence_delta: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// One side of an exchange.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Frame {
    /// The sender, in the first frame of each side.
    pub from: Option<NodeKey>,
    /// The number of the frame on its link and side.
    pub number: u32,
    /// Whether more is pending than fits.
    pub more: bool,
    /// Records of members.
    pub members: Vec<MemberRecord>,
    /// Origins that get the next numbers on this link and side.
    pub new_origins: Vec<NodeKey>,
    /// Items with whole versions.
    pub full_items: Vec<FullItem>,
    /// Items with stepped versions.
    pub delta_items: Vec<DeltaItem>,
}

/// The answer to an exchange.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ExchangeResponse {
    /// The other side of the exchange.
    Frame(Frame),
    /// The link is unknown or out of step; a new one is needed.
    Reset,
}
