//! Frames exchanged on a link. They are encoded by position: the order of fields must not change.

use serde::Deserialize;
use serde::Serialize;

use crate::ItemKind;
use crate::MemberRecord;
use crate::NodeKey;
use crate::Version;

/// The identifier of a link: a random number chosen by the side that opened it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Serialize, Deserialize)]
pub struct LinkId(pub u64);

/// The identifier of an item on a link: combines the origin's number and the item's kind.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ItemId(u32);

const KINDS_PER_ORIGIN: u32 = 8;

impl ItemId {
    /// Combines an origin's number and a kind.
    pub fn new(number: u32, kind: ItemKind) -> Self {
        Self(number * KINDS_PER_ORIGIN + kind.index() as u32)
    }

    /// Returns the origin's number.
    pub fn number(self) -> usize {
        (self.0 / KINDS_PER_ORIGIN) as usize
    }

    /// Returns the kind, if it is valid.
    pub fn kind(self) -> Option<ItemKind> {
        ItemKind::from_index((self.0 % KINDS_PER_ORIGIN) as usize)
    }
}

/// An item with its full version.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct FullItem {
    /// The identifier on this link, for the origin and kind.
    pub id: ItemId,
    /// The version.
    pub version: Version,
    /// The payload.
    pub payload: Vec<u8>,
}

/// An item whose sequence number is encoded as the difference from the last one sent on the link.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct DeltaItem {
    /// The identifier on this link, for the origin and kind.
    pub id: ItemId,
    /// The increment of the sequence number, within the same epoch.
    pub sequence_delta: u32,
    /// The payload.
    pub payload: Vec<u8>,
}

/// The message of one side of an exchange.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Frame {
    /// The sender, set in the first frame of each side.
    pub from: Option<NodeKey>,
    /// The number of the frame on this side of the link.
    pub number: u32,
    /// Whether the sender has more items than fit into this frame.
    pub more: bool,
    /// Records of members.
    pub members: Vec<MemberRecord>,
    /// Origins that are assigned the next numbers on this side of the link.
    pub new_origins: Vec<NodeKey>,
    /// Items with full versions.
    pub full_items: Vec<FullItem>,
    /// Items with delta-encoded versions.
    pub delta_items: Vec<DeltaItem>,
}

/// The response to an exchange.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ExchangeResponse {
    /// The frame of the responding side.
    Frame(Frame),
    /// The link is unknown or out of sequence; a new link is required.
    Reset,
}
