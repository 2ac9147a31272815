//! Per-link tables: the state of the other side, and the numbers of origins.

use std::collections::HashMap;

use crate::ItemKind;
use crate::NodeKey;
use crate::Version;
use crate::members::RecordStamp;

/// State of the other side for one origin.
#[derive(Clone, Debug, Default)]
pub struct KnownOrigin {
    /// The number of the origin on the wire, once assigned.
    pub number: Option<u32>,
    /// The greatest versions that the other side is known to have.
    pub versions: [Version; ItemKind::COUNT],
    /// The versions last sent, the base of delta-encoded versions.
    pub last_sent: [Version; ItemKind::COUNT],
    /// The greatest member record that the other side is known to have.
    pub member: Option<RecordStamp>,
}

/// Table for the sending direction of a link.
#[derive(Clone, Debug, Default)]
pub struct Outgoing {
    known: HashMap<NodeKey, KnownOrigin>,
    next_number: u32,
}

impl Outgoing {
    /// Returns the state of the other side for an origin.
    pub fn known(&mut self, origin: NodeKey) -> &mut KnownOrigin {
        self.known.entry(origin).or_default()
    }

    /// Iterates over the state of the other side, by origin.
    pub fn iter(&self) -> impl Iterator<Item = (NodeKey, &KnownOrigin)> {
        self.known.iter().map(|(&origin, known)| (origin, known))
    }

    /// Returns the number of an origin, and whether this call assigned it.
    pub fn assign_number(&mut self, origin: NodeKey) -> (u32, bool) {
        let next = self.next_number;
        let known = self.known.entry(origin).or_default();
        if let Some(number) = known.number {
            return (number, false);
        }
        known.number = Some(next);
        self.next_number += 1;
        (next, true)
    }
}

/// Table for the receiving direction of a link.
#[derive(Clone, Debug, Default)]
pub struct Incoming {
    origins: Vec<(NodeKey, [Version; ItemKind::COUNT])>,
}

impl Incoming {
    /// Assigns the next number to an origin.
    pub fn add_origin(&mut self, origin: NodeKey) {
        self.origins.push((origin, Default::default()));
    }

    /// Returns the origin with a number, and the last received version of a kind.
    pub fn entry(&mut self, number: usize, kind: ItemKind) -> Option<(NodeKey, &mut Version)> {
        let (origin, versions) = self.origins.get_mut(number)?;
        Some((*origin, &mut versions[kind.index()]))
    }
}
