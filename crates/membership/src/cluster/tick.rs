//! Time-driven steps of the state machine.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::links::Inbound;
use super::links::Outbound;
use super::links::find_link;
use super::options::Action;
use super::state::Cluster;
use crate::ItemKind;
use crate::Link;
use crate::LinkId;
use crate::MemberState;
use crate::NodeKey;
use crate::Pacing;
use crate::overlay;

/// Minimum interval between exchanges of urgent changes on a link.
const URGENT_MIN_INTERVAL_MS: u64 = 200;

/// Interval between changes of the peers that rendezvous hashing selects in other failure domains.
const ROTATION_PERIOD_MS: u64 = 1_800_000;

/// Interval between attempts to reach a dead or leaving member, or a seed that is not a member.
const UNREACHABLE_RETRY_MS: u64 = 20_000;

/// Exchange periods after which an inbound link without an exchange is dropped.
const INBOUND_TIMEOUT_PERIODS: u64 = 5;

impl Cluster {
    /// Performs all due work and returns the actions for the driver. Must be called at least every
    /// 200 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire_members(now_ms);
        self.rotate(now_ms);
        if std::mem::take(&mut self.is_plan_stale) {
            self.recompute_plan(now_ms);
        }
        self.update_watches(now_ms);
        self.publish_due_items(now_ms);
        self.drop_inactive_inbound(now_ms);
        self.close_unneeded(&mut actions);
        self.open_needed(now_ms);
        self.retry_unreachable(now_ms);
        self.start_due_exchanges(now_ms, &mut actions);
        self.send_due_nudges(now_ms, &mut actions);
        actions
    }

    fn expire_members(&mut self, now_ms: u64) {
        let newly_dead = self.members.expire_suspects(now_ms, self.key);
        if !newly_dead.is_empty() {
            self.mark_members_changed();
        }
        for key in self.members.remove_expired(now_ms) {
            self.digest.remove_origin(key);
            self.refutations.remove(&key);
            self.is_plan_stale = true;
        }
    }

    fn rotate(&mut self, now_ms: u64) {
        if now_ms < self.next_rotation_ms {
            return;
        }
        self.next_rotation_ms = now_ms + self.jittered_ms(ROTATION_PERIOD_MS);
        self.rotation = self.rotation.wrapping_add(1);
        self.is_plan_stale = true;
    }

    fn recompute_plan(&mut self, now_ms: u64) {
        self.peers = overlay::choose_peers(&self.own_record, &self.members, self.rotation);
        let nodes = self.usable_members().count();
        self.pacing = Pacing::for_fleet(nodes, self.watches.engine_count());
        self.plan_watches(now_ms);
    }

    fn drop_inactive_inbound(&mut self, now_ms: u64) {
        let limit_ms = self.pacing.exchange_period_ms * INBOUND_TIMEOUT_PERIODS;
        let is_inactive = |link: &Inbound| now_ms.saturating_sub(link.received_ms) > limit_ms;
        let inactive: Vec<NodeKey> =
            self.inbound.values().filter(|link| is_inactive(link)).map(|link| link.peer).collect();
        if inactive.is_empty() {
            return;
        }
        self.inbound.retain(|_, link| !is_inactive(link));
        for peer in inactive {
            self.suspect_leaving(now_ms, peer);
        }
    }

    /// Suspects a leaving member whose inbound link timed out. No node opens links to a leaving
    /// member, so its death cannot be detected by a failed exchange.
    fn suspect_leaving(&mut self, now_ms: u64, peer: NodeKey) {
        let state = self.members.get(peer).map(|record| record.state);
        if state == Some(MemberState::Leaving) && self.members.suspect(now_ms, peer) {
            self.mark_members_changed();
        }
    }

    fn has_inbound_from(&self, peer: NodeKey) -> bool {
        self.inbound.values().any(|link| link.peer == peer)
    }

    /// Returns whether this node uses the inbound link of a peer instead of opening its own, if
    /// both nodes selected each other.
    fn yields_to(&self, peer: NodeKey) -> bool {
        self.key > peer && self.has_inbound_from(peer)
    }

    fn close_unneeded(&mut self, actions: &mut Vec<Action>) {
        let is_needed = |link: &Outbound| match link.peer {
            Some(peer) => self.peers.contains(&peer) && !self.yields_to(peer),
            None => link.in_flight || link.started_ms == 0,
        };
        let unneeded = self.outbound.iter().filter(|(_, link)| !link.in_flight && !is_needed(link));
        let unneeded: Vec<LinkId> = unneeded.map(|(&id, _)| id).collect();
        for id in unneeded {
            self.outbound.remove(&id);
            actions.push(Action::Close { link: id });
        }
    }

    fn open_needed(&mut self, now_ms: u64) {
        for peer in self.peers.clone() {
            let Some(record) = self.members.get(peer) else { continue };
            let address = record.info.address;
            // An inbound link from the peer replaces an outbound one.
            if !self.has_inbound_from(peer) {
                self.open_link(now_ms, address, Some(peer));
            }
        }
        let has_no_links = self.outbound.is_empty() && self.inbound.is_empty();
        if has_no_links && let Some(&seed) = self.seeds.choose(&mut self.rng) {
            self.open_link(now_ms, seed, None);
        }
    }

    fn open_link(&mut self, now_ms: u64, address: SocketAddr, peer: Option<NodeKey>) {
        let is_backed_off = self
            .retry_states
            .get(&address)
            .is_some_and(|retry_state| now_ms < retry_state.retry_at_ms);
        if is_backed_off || find_link(self.outbound.iter(), address).is_some() {
            return;
        }
        let outbound = Outbound {
            address,
            peer,
            link: Link::new(),
            in_flight: false,
            due_ms: now_ms,
            started_ms: 0,
            urgent_changes: 0,
        };
        self.outbound.insert(LinkId(self.rng.random()), outbound);
    }

    /// Periodically tries one unreachable node, so that the fleet merges after a network partition.
    fn retry_unreachable(&mut self, now_ms: u64) {
        if now_ms < self.next_unreachable_retry_ms {
            return;
        }
        self.next_unreachable_retry_ms = now_ms + self.jittered_ms(UNREACHABLE_RETRY_MS);
        let unusable = self.members.iter().filter(|(_, record)| !record.is_usable());
        let unusable = unusable.filter(|&(key, _)| key != self.key);
        let mut candidates: Vec<(SocketAddr, Option<NodeKey>)> =
            unusable.map(|(key, record)| (record.info.address, Some(key))).collect();
        let usable: Vec<SocketAddr> = self.usable_members().map(|(_, info)| info.address).collect();
        let seeds = self.seeds.iter().filter(|&seed| !usable.contains(seed));
        candidates.extend(seeds.map(|&seed| (seed, None)));
        if let Some(&(address, peer)) = candidates.choose(&mut self.rng) {
            self.open_link(now_ms, address, peer);
        }
    }

    fn start_due_exchanges(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let ids: Vec<LinkId> = self.outbound.keys().copied().collect();
        for id in ids {
            if self.is_exchange_due(now_ms, id) {
                let frame = self.start_exchange(now_ms, id);
                let address = self.outbound[&id].address;
                actions.push(Action::Exchange { link: id, address, frame });
            }
        }
    }

    fn is_exchange_due(&mut self, now_ms: u64, id: LinkId) -> bool {
        let link = &self.outbound[&id];
        if link.in_flight {
            return false;
        }
        if now_ms >= link.due_ms {
            return true;
        }
        let is_interval_over = now_ms >= link.started_ms + URGENT_MIN_INTERVAL_MS;
        if !is_interval_over || link.urgent_changes >= self.urgent_changes {
            return false;
        }
        let mut link = self.outbound.remove(&id).expect("the id was taken from the map");
        let is_pending = self.has_urgent(now_ms, &mut link.link);
        if !is_pending {
            link.urgent_changes = self.urgent_changes;
        }
        self.outbound.insert(id, link);
        is_pending
    }

    fn send_due_nudges(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let ids: Vec<LinkId> = self.inbound.keys().copied().collect();
        for id in ids {
            let link = &self.inbound[&id];
            let is_interval_over =
                now_ms >= link.nudged_ms.max(link.received_ms) + URGENT_MIN_INTERVAL_MS;
            if !is_interval_over || link.urgent_changes >= self.urgent_changes {
                continue;
            }
            let mut link = self.inbound.remove(&id).expect("the id was taken from the map");
            if self.has_urgent(now_ms, &mut link.link) {
                link.nudged_ms = now_ms;
                actions.push(Action::Nudge { link: id });
            } else {
                link.urgent_changes = self.urgent_changes;
            }
            self.inbound.insert(id, link);
        }
    }

    fn has_urgent(&self, now_ms: u64, link: &mut Link) -> bool {
        link.has_pending(now_ms, self.local_state(), |origin, kind| match kind {
            ItemKind::LeavingUpstreams => true,
            ItemKind::InForce => self.newest_origins.contains(&origin),
            _ => false,
        })
    }
}
