//! Items published by this node.

use rand::Rng;

use super::state::Cluster;
use crate::HeavyHitters;
use crate::HotPrefixes;
use crate::InForce;
use crate::Item;
use crate::ItemKind;
use crate::LeavingUpstreams;
use crate::Payload;
use crate::Version;

#[derive(Clone, Debug, Default)]
struct OwnItem {
    payload: Vec<u8>,
    sequence: u32,
    published_ms: u64,
    /// Time until the next publication is due, in thousandths of the kind's period.
    delay_permille: u64,
    /// A newer payload, to be published when the kind's period has passed.
    pending: Option<Vec<u8>>,
}

/// The items whose origin is this node.
#[derive(Clone, Debug, Default)]
pub struct OwnItems {
    epoch: u32,
    items: [Option<OwnItem>; ItemKind::COUNT],
}

/// One period, in thousandths.
const PERMILLE: u64 = 1_000;

/// The kinds that are published once per ranking period.
const RANKINGS: [ItemKind; 2] = [ItemKind::HeavyHitters, ItemKind::HotPrefixes];

impl OwnItems {
    fn version(&self, kind: ItemKind) -> Version {
        let sequence = self.items[kind.index()].as_ref().map_or(0, |item| item.sequence);
        Version { epoch: self.epoch, sequence }
    }
}

impl Cluster {
    /// Publishes the configuration in force at this node. Generations that are not newer than the
    /// published one are ignored.
    pub fn publish_in_force(&mut self, now_ms: u64, in_force: InForce) {
        let published: InForce = self.digest.payload(self.key).unwrap_or_default();
        if in_force.generation > published.generation {
            self.publish(now_ms, ItemKind::InForce, in_force.encode());
            self.update_newest_in_force(self.key);
        }
    }

    /// Publishes the upstreams that this node knows to be leaving.
    pub fn publish_leaving(&mut self, now_ms: u64, mut leaving: LeavingUpstreams) {
        leaving.upstreams.sort_unstable();
        leaving.upstreams.dedup();
        let published: LeavingUpstreams = self.digest.payload(self.key).unwrap_or_default();
        if leaving != published {
            self.publish(now_ms, ItemKind::LeavingUpstreams, leaving.encode());
            self.changes.leaving = true;
            self.mark_urgent();
        }
    }

    /// Sets this node's heavy hitters for the next publication.
    pub fn set_heavy_hitters(&mut self, heavy: &HeavyHitters) {
        self.set_pending(ItemKind::HeavyHitters, heavy.encode());
    }

    /// Sets this node's hot prefixes for the next publication.
    pub fn set_hot_prefixes(&mut self, hot: &HotPrefixes) {
        self.set_pending(ItemKind::HotPrefixes, hot.encode());
    }

    fn set_pending(&mut self, kind: ItemKind, payload: Vec<u8>) {
        let item = self.own_items.items[kind.index()].get_or_insert_default();
        item.pending = (item.payload != payload).then_some(payload);
    }

    pub(super) fn publish_due_items(&mut self, now_ms: u64) {
        self.publish_due_loads(now_ms);
        for kind in RANKINGS {
            let period_ms = self.pacing.ranking_period_ms;
            let Some(item) = &mut self.own_items.items[kind.index()] else { continue };
            let is_first = item.sequence == 0;
            let due_ms = item.published_ms + period_ms * item.delay_permille / PERMILLE;
            let Some(payload) = item.pending.take_if(|_| is_first || now_ms >= due_ms) else {
                continue;
            };
            // Jitter keeps nodes that start together from publishing at the same time.
            let min_permille = if is_first { 0 } else { PERMILLE * 3 / 4 };
            item.delay_permille = self.rng.random_range(min_permille..=PERMILLE);
            self.publish(now_ms, kind, payload);
        }
    }

    pub(super) fn publish(&mut self, now_ms: u64, kind: ItemKind, payload: Vec<u8>) {
        let own = &mut self.own_items;
        let item = own.items[kind.index()].get_or_insert_default();
        item.sequence += 1;
        item.published_ms = now_ms;
        item.payload = payload;
        let payload = item.payload.clone().into();
        let item = Item { version: own.version(kind), payload };
        self.digest.merge(now_ms, self.key, kind, item);
    }

    /// Supersedes an item under this node's name that an earlier process published. All items are
    /// republished in a later epoch, so that they replace those of the earlier process.
    pub(super) fn supersede_own_item(&mut self, now_ms: u64, kind: ItemKind, item: &Item) {
        let published = self.digest.get(self.key, kind);
        if published.is_some_and(|published| published >= item) {
            return;
        }
        let Some(epoch) = item.version.epoch.checked_add(1) else { return };
        self.own_items.epoch = epoch;
        // The old item must be replaced even if this process has no payload of its kind.
        self.own_items.items[kind.index()].get_or_insert_default();
        for kind in ItemKind::ALL {
            let Some(own) = &self.own_items.items[kind.index()] else { continue };
            let payload = own.payload.clone();
            self.publish(now_ms, kind, payload);
        }
        self.changes.leaving = true;
        self.mark_urgent();
    }
}
