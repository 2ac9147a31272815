//! The steps that time brings about.

use std::net::SocketAddr;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::links::Inbound;
use super::links::Outbound;
use super::links::link_to;
use super::options::Action;
use super::state::Cluster;
use crate::ItemKind;
use crate::Link;
use crate::LinkId;
use crate::MemberState;
use crate::NodeKey;
use crate::Pacing;
use crate::overlay;

/// The least time between exchanges on a link, for urgent changes.
const URGENT_SPACING_MS: u64 = 200;

/// Between changes of the outside peers that rendezvous chooses.
const ROTATION_MS: u64 = 1_800_000;

/// Between attempts at a member that is dead or leaving, or at a seed that is no member.
const HEAL_MS: u64 = 20_000;

/// An inbound link without an exchange for so many periods is dropped.
const SILENT_PERIODS: u64 = 5;

impl Cluster {
    /// Does what is due. To be called at least each 200 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.age_members(now_ms);
        self.rotate(now_ms);
        if std::mem::take(&mut self.is_plan_stale) {
            self.plan(now_ms);
        }
        self.settle_watches(now_ms);
        self.publish_due(now_ms);
        self.drop_silent_inbound(now_ms);
        self.close_unwanted(&mut actions);
        self.open_wanted(now_ms);
        self.heal(now_ms);
        self.exchange_due(now_ms, &mut actions);
        self.nudge_due(now_ms, &mut actions);
        actions
    }

    fn age_members(&mut self, now_ms: u64) {
        let buried = self.members.expire_suspects(now_ms, self.key);
        if !buried.is_empty() {
            self.note_members_changed();
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
        self.next_rotation_ms = now_ms + self.jittered_ms(ROTATION_MS);
        self.rotation = self.rotation.wrapping_add(1);
        self.is_plan_stale = true;
    }

    fn plan(&mut self, now_ms: u64) {
        self.peers = overlay::choose_peers(&self.own, &self.members, self.rotation);
        let nodes = self.usable_members().count();
        self.pacing = Pacing::for_fleet(nodes, self.watches.engine_count());
        self.plan_watches(now_ms);
    }

    fn drop_silent_inbound(&mut self, now_ms: u64) {
        let limit_ms = self.pacing.exchange_period_ms * SILENT_PERIODS;
        let is_silent = |link: &Inbound| now_ms.saturating_sub(link.heard_ms) > limit_ms;
        let silent: Vec<NodeKey> =
            self.inbound.values().filter(|link| is_silent(link)).map(|link| link.peer).collect();
        if silent.is_empty() {
            return;
        }
        self.inbound.retain(|_, link| !is_silent(link));
        for peer in silent {
            self.doubt_leaving(now_ms, peer);
        }
    }

    /// Suspects a leaving member that fell silent: nobody opens links to it, so no exchange fails.
    fn doubt_leaving(&mut self, now_ms: u64, peer: NodeKey) {
        let state = self.members.get(peer).map(|record| record.state);
        if state == Some(MemberState::Leaving) && self.members.suspect(now_ms, peer) {
            self.note_members_changed();
        }
    }

    fn has_inbound_from(&self, peer: NodeKey) -> bool {
        self.inbound.values().any(|link| link.peer == peer)
    }

    /// Returns whether this node, of two that chose each other, leaves the link to the other.
    fn yields_to(&self, peer: NodeKey) -> bool {
        self.key > peer && self.has_inbound_from(peer)
    }

    fn close_unwanted(&mut self, actions: &mut Vec<Action>) {
        let is_wanted = |link: &Outbound| match link.peer {
            Some(peer) => self.peers.contains(&peer) && !self.yields_to(peer),
            None => link.in_flight || link.began_ms == 0,
        };
        let unwanted = self.outbound.iter().filter(|(_, link)| !link.in_flight && !is_wanted(link));
        let unwanted: Vec<LinkId> = unwanted.map(|(&id, _)| id).collect();
        for id in unwanted {
            self.outbound.remove(&id);
            actions.push(Action::Close { link: id });
        }
    }

    fn open_wanted(&mut self, now_ms: u64) {
        for peer in self.peers.clone() {
            let Some(record) = self.members.get(peer) else { continue };
            let address = record.info.address;
            // A peer that opened a link already serves as well as one opened from here.
            if !self.has_inbound_from(peer) {
                self.open(now_ms, address, Some(peer));
            }
        }
        let is_alone = self.outbound.is_empty() && self.inbound.is_empty();
        if is_alone && let Some(&seed) = self.seeds.choose(&mut self.rng) {
            self.open(now_ms, seed, None);
        }
    }

    fn open(&mut self, now_ms: u64, address: SocketAddr, peer: Option<NodeKey>) {
        let is_backed_off =
            self.contacts.get(&address).is_some_and(|contact| now_ms < contact.retry_ms);
        if is_backed_off || link_to(self.outbound.iter(), address).is_some() {
            return;
        }
        let outbound = Outbound {
            address,
            peer,
            link: Link::new(),
            in_flight: false,
            due_ms: now_ms,
            began_ms: 0,
            urgency: 0,
        };
        self.outbound.insert(LinkId(self.rng.random()), outbound);
    }

    /// Tries one unreachable node now and then, so that two parts of the fleet find each other.
    fn heal(&mut self, now_ms: u64) {
        if now_ms < self.next_heal_ms {
            return;
        }
        self.next_heal_ms = now_ms + self.jittered_ms(HEAL_MS);
        let unusable = self.members.iter().filter(|(_, record)| !record.is_usable());
        let unusable = unusable.filter(|&(key, _)| key != self.key);
        let mut candidates: Vec<(SocketAddr, Option<NodeKey>)> =
            unusable.map(|(key, record)| (record.info.address, Some(key))).collect();
        let usable: Vec<SocketAddr> = self.usable_members().map(|(_, info)| info.address).collect();
        let seeds = self.seeds.iter().filter(|&seed| !usable.contains(seed));
        candidates.extend(seeds.map(|&seed| (seed, None)));
        if let Some(&(address, peer)) = candidates.choose(&mut self.rng) {
            self.open(now_ms, address, peer);
        }
    }

    fn exchange_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let ids: Vec<LinkId> = self.outbound.keys().copied().collect();
        for id in ids {
            if self.is_exchange_due(now_ms, id) {
                let frame = self.begin_exchange(now_ms, id);
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
        let is_spaced = now_ms >= link.began_ms + URGENT_SPACING_MS;
        if !is_spaced || link.urgency >= self.urgency {
            return false;
        }
        let mut link = self.outbound.remove(&id).expect("the link is open");
        let is_pending = self.has_urgent(now_ms, &mut link.link);
        if !is_pending {
            link.urgency = self.urgency;
        }
        self.outbound.insert(id, link);
        is_pending
    }

    fn nudge_due(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let ids: Vec<LinkId> = self.inbound.keys().copied().collect();
        for id in ids {
            let link = &self.inbound[&id];
            let is_spaced = now_ms >= link.nudged_ms.max(link.heard_ms) + URGENT_SPACING_MS;
            if !is_spaced || link.urgency >= self.urgency {
                continue;
            }
            let mut link = self.inbound.remove(&id).expect("the link is open");
            if self.has_urgent(now_ms, &mut link.link) {
                link.nudged_ms = now_ms;
                actions.push(Action::Nudge { link: id });
            } else {
                link.urgency = self.urgency;
            }
            self.inbound.insert(id, link);
        }
    }

    fn has_urgent(&self, now_ms: u64, link: &mut Link) -> bool {
        link.has_pending(now_ms, self.shared(), |origin, kind| match kind {
            ItemKind::LeavingUpstreams => true,
            ItemKind::InForce => self.newest_origins.contains(&origin),
            _ => false,
        })
    }
}
