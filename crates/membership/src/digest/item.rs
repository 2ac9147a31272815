//! Items and their versions.

use serde::Deserialize;
use serde::Serialize;

/// The kind of an item. The discriminant is the kind's number on the wire.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ItemKind {
    /// The configuration in force at the origin.
    InForce,
    /// The engines that the origin watches.
    WatchList,
    /// The loads of the engines in the watch list.
    EngineLevels,
    /// The client accounts with the highest token usage at the origin.
    HeavyHitters,
    /// The most requested prefixes at the origin.
    HotPrefixes,
    /// The upstreams that the origin knows to be leaving.
    LeavingUpstreams,
}

impl ItemKind {
    /// All kinds; the index in the array is the number on the wire.
    pub const ALL: [Self; 6] = [
        Self::InForce,
        Self::WatchList,
        Self::EngineLevels,
        Self::HeavyHitters,
        Self::HotPrefixes,
        Self::LeavingUpstreams,
    ];

    /// The number of kinds.
    pub const COUNT: usize = Self::ALL.len();

    /// Returns the number on the wire.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the kind with this number on the wire, if there is one.
    pub fn from_index(index: usize) -> Option<Self> {
        Self::ALL.get(index).copied()
    }
}

/// The version of an item. The default (zero) means that there is no item.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Version {
    /// Incremented when the origin receives items of an earlier process with its name.
    pub epoch: u32,
    /// Incremented with each publication in an epoch.
    pub sequence: u32,
}

/// One item. Of two items with the same origin and kind, the greater in the derived order wins.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Item {
    /// The version.
    pub version: Version,
    /// The encoded payload.
    pub payload: Box<[u8]>,
}
