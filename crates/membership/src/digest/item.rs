//! One item and its version.

use serde::Deserialize;
use serde::Serialize;

/// What an item tells.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum ItemKind {
    /// The configuration in force at the origin.
    InForce,
    /// The engines that the origin watches.
    WatchList,
    /// The loads of these engines.
    EngineLevels,
    /// The client accounts that use the most tokens at the origin.
    HeavyHitters,
    /// The prefixes that are asked for most at the origin.
    HotPrefixes,
    /// The upstreams that the origin knows to be leaving.
    LeavingUpstreams,
}

impl ItemKind {
    /// All kinds; the place in the list is the number on the wire.
    pub const ALL: [Self; 6] = [
        Self::InForce,
        Self::WatchList,
        Self::EngineLevels,
        Self::HeavyHitters,
        Self::HotPrefixes,
        Self::LeavingUpstreams,
    ];

    /// How many kinds there are.
    pub const COUNT: usize = Self::ALL.len();

    /// Returns the number on the wire.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the kind with a number.
    pub fn from_index(index: usize) -> Option<Self> {
        Self::ALL.get(index).copied()
    }
}

/// The version of an item. Zero stands for "none".
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default, Serialize, Deserialize,
)]
pub struct Version {
    /// Grows when the origin meets items of an earlier process of its name.
    pub epoch: u32,
    /// Grows with each publication in an epoch.
    pub sequence: u32,
}

/// One item. The derived order decides between two of one origin and kind.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Item {
    /// The version.
    pub version: Version,
    /// The encoded payload.
    pub payload: Box<[u8]>,
}
