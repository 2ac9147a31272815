//! Store of the newest item of each origin and kind.

use std::collections::BTreeMap;

use crate::Item;
use crate::ItemKind;
use crate::NodeKey;
use crate::Payload;

#[derive(Clone, Debug, Default)]
struct Origin {
    items: [Option<Item>; ItemKind::COUNT],
    received_ms: [u64; ItemKind::COUNT],
}

/// The items known to a node. Merging keeps the greater of two items, so it is commutative,
/// associative and idempotent.
#[derive(Clone, Debug, Default)]
pub struct Digest {
    origins: BTreeMap<NodeKey, Origin>,
}

impl Digest {
    /// Creates an empty digest.
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges an item. Returns whether it was newer than the stored one.
    pub fn merge(&mut self, now_ms: u64, origin: NodeKey, kind: ItemKind, item: Item) -> bool {
        let slot = self.origins.entry(origin).or_default();
        let stored = &mut slot.items[kind.index()];
        if stored.as_ref().is_some_and(|stored| *stored >= item) {
            return false;
        }
        *stored = Some(item);
        slot.received_ms[kind.index()] = now_ms;
        true
    }

    /// Returns the stored item of an origin and kind.
    pub fn get(&self, origin: NodeKey, kind: ItemKind) -> Option<&Item> {
        self.origins.get(&origin)?.items[kind.index()].as_ref()
    }

    /// Returns when the stored item was received, in milliseconds.
    pub fn received_ms(&self, origin: NodeKey, kind: ItemKind) -> Option<u64> {
        let origin = self.origins.get(&origin)?;
        origin.items[kind.index()].as_ref()?;
        Some(origin.received_ms[kind.index()])
    }

    /// Decodes the payload of an origin's item. Returns none for an absent or malformed item.
    pub fn payload<P: Payload>(&self, origin: NodeKey) -> Option<P> {
        P::decode(&self.get(origin, P::KIND)?.payload).ok()
    }

    /// Iterates over all items, ordered by origin and kind.
    pub fn iter(&self) -> impl Iterator<Item = (NodeKey, ItemKind, &Item)> {
        self.origins.iter().flat_map(|(&origin, slot)| {
            let items = ItemKind::ALL.iter().zip(&slot.items);
            items.filter_map(move |(&kind, item)| Some((origin, kind, item.as_ref()?)))
        })
    }

    /// Iterates over the origins.
    pub fn origins(&self) -> impl Iterator<Item = NodeKey> {
        self.origins.keys().copied()
    }

    /// Removes all items of an origin.
    pub fn remove_origin(&mut self, origin: NodeKey) {
        self.origins.remove(&origin);
    }
}
