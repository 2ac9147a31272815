//! Both sides of a node: its own requests, and the parts of quotas that it owns.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;

use super::holder::Decided;
use super::holder::LeaseHolder;
use super::holder::QuotaCharge;
use super::messages::QuotaMessage;
use super::owner::QuotaOwner;
use super::owner::QuotaPart;
use super::owners::QuotaMember;
use super::owners::owners_limit;
use super::owners::owners_of;
use crate::limits::BucketSpec;
use crate::limits::LimitSpec;
use redwingrill_routing::AccountTag;

/// How long a node that hears nothing may assume that the list of nodes is unchanged: half of the
/// lease of a node's entry in the list.
const CONTACT_MS: u64 = 10_000;

/// How long a node that is no longer listed keeps its parts. An entry that lapsed while the store was
/// unavailable is written again with the next renewal, within 6 s, and a node that restarts is listed
/// again; the owners do not change for either.
const REMOVAL_DELAY_MS: u64 = 8_000;

/// The share of the tolerance that the allowances of all nodes amount to in a window.
const ALLOWANCE_SHARE: f64 = 0.25;

/// The tolerances of quotas.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct QuotaOptions {
    /// The period for which the bound of a quota is stated.
    pub window_ms: u64,
    /// The share by which the tokens of a window may exceed the quota.
    pub overshoot: f64,
    /// The tokens by which the tokens of a window may exceed it besides.
    pub slack_tokens: u64,
}

impl Default for QuotaOptions {
    fn default() -> Self {
        Self { window_ms: 8_000, overshoot: 0.1, slack_tokens: 0 }
    }
}

impl QuotaOptions {
    /// Returns the bucket of a node that reaches no owner of an account.
    fn allowance(&self, limit: LimitSpec, members: usize) -> BucketSpec {
        if members == 0 {
            return BucketSpec::default();
        }
        let window_tokens = limit.tokens_per_s as f64 * self.window_ms as f64 / 1_000.0;
        let tolerance = self.slack_tokens as f64 + self.overshoot * window_tokens;
        let burst_tokens = ALLOWANCE_SHARE * tolerance / members as f64;
        let rate_per_ms = burst_tokens / self.window_ms.max(1) as f64;
        BucketSpec { rate_per_ms, burst_tokens, debt_limit_tokens: 0.0 }
    }
}

/// The quotas of a node's accounts over the fleet.
#[derive(Debug)]
pub struct FleetQuotas<T> {
    options: QuotaOptions,
    own_address: SocketAddr,
    // The listed nodes and those in `removals`, by name.
    members: Vec<QuotaMember>,
    listed: Vec<QuotaMember>,
    // When the nodes that are no longer listed lose their parts.
    removals: HashMap<String, u64>,
    // Sorted, so that a replay does not depend on the order of a hash map.
    limits: BTreeMap<AccountTag, LimitSpec>,
    owner: QuotaOwner,
    holder: LeaseHolder<T>,
    store_contact_ms: Option<u64>,
    heard_ms: HashMap<SocketAddr, u64>,
    outgoing: Vec<(SocketAddr, QuotaMessage)>,
}

impl<T> FleetQuotas<T> {
    /// Creates the quotas of a run of a node, which `run` identifies. `own_address` is the address
    /// of the node for messages of the others.
    pub fn new(options: QuotaOptions, own_address: SocketAddr, run: u64, seed: u64) -> Self {
        Self {
            options,
            own_address,
            members: Vec::new(),
            listed: Vec::new(),
            removals: HashMap::new(),
            limits: BTreeMap::new(),
            owner: QuotaOwner::default(),
            holder: LeaseHolder::new(run, seed),
            store_contact_ms: None,
            heard_ms: HashMap::new(),
            outgoing: Vec::new(),
        }
    }

    /// Returns the parts that the node owns.
    pub fn owner(&self) -> &QuotaOwner {
        &self.owner
    }

    /// Returns the leases and the waiting requests of the node.
    pub fn holder(&self) -> &LeaseHolder<T> {
        &self.holder
    }

    /// Returns the number of accounts with quotas.
    pub fn len(&self) -> usize {
        self.limits.len()
    }

    /// Returns whether no account has a quota.
    pub fn is_empty(&self) -> bool {
        self.limits.is_empty()
    }

    /// Returns whether nothing is due with time.
    pub fn is_idle(&self) -> bool {
        self.holder.is_idle() && self.removals.is_empty()
    }

    /// Replaces the list of nodes. Those that are no longer listed keep their parts for a while.
    pub fn set_members(&mut self, mut listed: Vec<QuotaMember>, now_ms: u64) {
        listed.sort_by(|one, other| one.name.cmp(&other.name));
        if self.listed == listed {
            return;
        }
        let is_listed =
            |name: &str| listed.binary_search_by(|member| member.name.as_str().cmp(name)).is_ok();
        let mut removals = HashMap::new();
        let mut members = listed.clone();
        for member in &self.members {
            if !is_listed(&member.name) {
                let at_ms = self.removals.get(&member.name).copied();
                removals.insert(member.name.clone(), at_ms.unwrap_or(now_ms + REMOVAL_DELAY_MS));
                members.push(member.clone());
            }
        }
        self.listed = listed;
        self.removals = removals;
        self.use_members(members, now_ms);
    }

    /// Replaces the quotas of all accounts.
    pub fn set_limits(&mut self, limits: BTreeMap<AccountTag, LimitSpec>, now_ms: u64) {
        if self.limits == limits {
            return;
        }
        self.limits = limits;
        // Nobody owned a part of an account without a quota.
        self.assign(false, now_ms);
    }

    /// Records when the node last had contact with the store of the list of nodes.
    pub fn observe_store_contact(&mut self, at_ms: u64) {
        self.store_contact_ms = Some(at_ms);
    }

    /// Records a datagram of another node.
    pub fn observe_peer(&mut self, from: SocketAddr, now_ms: u64) {
        if !self.is_empty() {
            self.heard_ms.insert(from, now_ms);
        }
    }

    /// Decides on a request, as soon as its tokens are there or known to be missing.
    pub fn request(&mut self, account: AccountTag, tokens: u64, handle: T, now_ms: u64) {
        self.holder.request(account, tokens, handle, now_ms);
        self.deliver(now_ms);
    }

    /// Returns the tokens of a request that did not run.
    pub fn refund(&mut self, charge: &QuotaCharge, now_ms: u64) {
        self.holder.refund(charge, now_ms);
        self.deliver(now_ms);
    }

    /// Takes a message of another node.
    pub fn receive(&mut self, from: SocketAddr, message: QuotaMessage, now_ms: u64) {
        self.observe_peer(from, now_ms);
        self.accept(from, message, now_ms);
        self.deliver(now_ms);
    }

    /// Does what is due.
    pub fn tick(&mut self, now_ms: u64) {
        self.remove_unlisted(now_ms);
        self.holder.tick(now_ms);
        self.deliver(now_ms);
    }

    /// Returns whether there are messages to send, or decisions.
    pub fn has_output(&self) -> bool {
        !self.outgoing.is_empty() || self.holder.has_decided()
    }

    /// Returns the messages to send, with their addresses.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, QuotaMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the decisions.
    pub fn take_decided(&mut self) -> Vec<Decided<T>> {
        self.holder.take_decided()
    }

    fn remove_unlisted(&mut self, now_ms: u64) {
        if self.removals.values().all(|at_ms| *at_ms > now_ms) {
            return;
        }
        self.removals.retain(|_, at_ms| *at_ms > now_ms);
        let mut members = self.members.clone();
        let (listed, removals) = (&self.listed, &self.removals);
        members.retain(|member| {
            removals.contains_key(&member.name)
                || listed.binary_search_by(|known| known.name.cmp(&member.name)).is_ok()
        });
        self.use_members(members, now_ms);
    }

    fn use_members(&mut self, mut members: Vec<QuotaMember>, now_ms: u64) {
        members.sort_by(|one, other| one.name.cmp(&other.name));
        if self.members == members {
            return;
        }
        let is_first = self.members.is_empty();
        self.heard_ms.retain(|address, _| members.iter().any(|m| m.address == *address));
        self.members = members;
        self.assign(!is_first, now_ms);
    }

    /// Assigns the parts of all quotas to owners.
    fn assign(&mut self, has_predecessor: bool, now_ms: u64) {
        let limits = &self.limits;
        self.holder.retain(|account| limits.contains_key(&account));
        let mut owned = Vec::new();
        for (&account, &limit) in &self.limits {
            let owners = owners_of(account, &self.members, owners_limit(limit.burst_tokens));
            let slack_tokens = self.options.slack_tokens;
            let part = QuotaPart { limit, owners: owners.len(), slack_tokens };
            if owners.contains(&self.own_address) {
                owned.push(account);
                self.owner.own(account, &part, has_predecessor, now_ms);
            }
            let allowance = self.options.allowance(limit, self.members.len());
            self.holder.set_account(account, part, owners, allowance, now_ms);
        }
        self.owner.retain(|account| owned.binary_search(&account).is_ok());
        self.deliver(now_ms);
    }

    /// Returns whether the node can know that it still is in the list. Contact with a minority of
    /// the nodes is not enough: the others may be with the store and have replaced this node.
    pub fn is_connected(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms: u64| now_ms.saturating_sub(at_ms) < CONTACT_MS;
        let others = self.members.len().saturating_sub(1);
        if others == 0 || self.store_contact_ms.is_some_and(is_recent) {
            return true;
        }
        let heard = self.heard_ms.values().filter(|at_ms| is_recent(**at_ms)).count();
        2 * heard > others
    }

    fn accept(&mut self, from: SocketAddr, message: QuotaMessage, now_ms: u64) {
        match message {
            QuotaMessage::Ask(ask) => {
                let is_known = self.limits.contains_key(&ask.account);
                let is_connected = self.is_connected(now_ms);
                let answer = self.owner.handle_ask(&ask, is_known, is_connected, now_ms);
                if let Some(answer) = answer {
                    let (id, account) = (ask.id, ask.account);
                    self.outgoing.push((from, QuotaMessage::Answer { id, account, answer }));
                }
            }
            QuotaMessage::Answer { id, account, answer } => {
                self.holder.handle_answer(from, id, answer, account, now_ms);
            }
            QuotaMessage::Return { id, account, tokens, is_refund } => {
                self.owner.handle_return(id, account, tokens, is_refund, now_ms);
            }
        }
    }

    /// Delivers the messages to this node itself; the others stay to be sent.
    fn deliver(&mut self, now_ms: u64) {
        loop {
            self.outgoing.append(&mut self.holder.take_outgoing());
            let own_address = self.own_address;
            let own: Vec<_> = self.outgoing.extract_if(.., |(to, _)| *to == own_address).collect();
            if own.is_empty() {
                return;
            }
            for (_, message) in own {
                self.accept(own_address, message, now_ms);
            }
        }
    }
}
