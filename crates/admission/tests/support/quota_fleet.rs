//! A fleet of nodes with quotas on a simulated network.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_admission::limits::LimitSpec;
use redwingrill_admission::limits::fleet::FleetQuotas;
use redwingrill_admission::limits::fleet::QuotaCharge;
use redwingrill_admission::limits::fleet::QuotaDecision;
use redwingrill_admission::limits::fleet::QuotaMember;
use redwingrill_admission::limits::fleet::QuotaMessage;
use redwingrill_admission::limits::fleet::QuotaOptions;
use redwingrill_routing::AccountTag;

const TICK_PERIOD_MS: u64 = 20;
const CONTACT_PERIOD_MS: u64 = 1_000;

/// The outcome of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Outcome {
    Pending,
    Admitted {
        at_ms: u64,
    },
    Exceeded {
        at_ms: u64,
        retry_after_ms: u64,
    },
    Unreachable,
    /// Admitted, but not run, and refunded.
    Refunded,
}

impl Outcome {
    pub fn name(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Admitted { .. } => "admitted",
            Self::Exceeded { .. } => "exceeded",
            Self::Unreachable => "unreachable",
            Self::Refunded => "refunded",
        }
    }
}

/// The share of datagrams that are lost, and that arrive twice.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
}

/// How long after its admission a request that does not run is refunded.
const REFUND_DELAY_MS: u64 = 50;

/// A request that was made.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub account: AccountTag,
    pub tokens: u64,
    pub at_ms: u64,
    pub node: usize,
    pub outcome: Outcome,
}

/// A stream of requests of one size.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub account: AccountTag,
    pub tokens: u64,
    pub per_s: f64,
}

/// The fleet.
pub struct Fleet {
    pub now_ms: u64,
    pub requests: Vec<Request>,
    pub messages: usize,
    pub network: Network,
    /// The share of admitted requests that do not run.
    pub refunds: f64,
    /// Nodes with different numbers do not reach each other.
    pub groups: Vec<usize>,
    pub has_store: Vec<bool>,
    pub members: Vec<QuotaMember>,
    options: QuotaOptions,
    limits: BTreeMap<AccountTag, LimitSpec>,
    nodes: Vec<Option<FleetQuotas<usize>>>,
    in_transit: BTreeMap<(u64, u64), (usize, SocketAddr, QuotaMessage)>,
    // With the node and the time.
    due_refunds: VecDeque<(u64, usize, QuotaCharge)>,
    sequence: u64,
    rng: SmallRng,
}

pub fn member(index: usize) -> QuotaMember {
    let port = 1_000 + index as u16;
    QuotaMember {
        name: format!("node-{index}"),
        failure_domain: format!("domain-{}", index % 3),
        link_mbps: if index < 6 { 200 } else { 10 },
        address: SocketAddr::from(([127, 0, 0, 1], port)),
    }
}

impl Fleet {
    pub fn new(
        nodes: usize,
        options: QuotaOptions,
        limits: &[(AccountTag, LimitSpec)],
        seed: u64,
    ) -> Self {
        let mut fleet = Self {
            now_ms: 1_000,
            requests: Vec::new(),
            messages: 0,
            network: Network::default(),
            refunds: 0.0,
            groups: vec![0; nodes],
            has_store: vec![true; nodes],
            members: (0..nodes).map(member).collect(),
            options,
            limits: limits.iter().copied().collect(),
            nodes: (0..nodes).map(|_| None).collect(),
            in_transit: BTreeMap::new(),
            due_refunds: VecDeque::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        (0..nodes).for_each(|index| fleet.start(index));
        fleet
    }

    /// Starts a node, or starts it again without its state.
    pub fn start(&mut self, index: usize) {
        self.stop(index);
        let (run, seed) = (self.rng.random(), self.rng.random());
        let mut node = FleetQuotas::new(self.options, member(index).address, run, seed);
        node.set_limits(self.limits.clone(), self.now_ms);
        node.set_members(self.members.clone(), self.now_ms);
        node.observe_store_contact(self.now_ms);
        self.nodes[index] = Some(node);
    }

    /// Stops a node; its requests end with it.
    pub fn stop(&mut self, index: usize) {
        self.nodes[index] = None;
        let ended = self
            .requests
            .iter_mut()
            .filter(|request| request.node == index && request.outcome == Outcome::Pending);
        ended.for_each(|request| request.outcome = Outcome::Unreachable);
    }

    /// Gives a list of nodes to those for which `sees` returns true.
    pub fn set_members(&mut self, is_listed: impl Fn(usize) -> bool, sees: impl Fn(usize) -> bool) {
        let listed = (0..self.nodes.len()).filter(|index| is_listed(*index));
        let members: Vec<QuotaMember> = listed.map(member).collect();
        for index in (0..self.nodes.len()).filter(|index| sees(*index)) {
            if let Some(node) = &mut self.nodes[index] {
                node.set_members(members.clone(), self.now_ms);
                self.pass_on(index);
            }
        }
    }

    /// Gives new quotas to all nodes.
    pub fn set_limits(&mut self, limits: &[(AccountTag, LimitSpec)]) {
        self.limits = limits.iter().copied().collect();
        for index in 0..self.nodes.len() {
            if let Some(node) = &mut self.nodes[index] {
                node.set_limits(self.limits.clone(), self.now_ms);
                self.pass_on(index);
            }
        }
    }

    /// Makes a request at a node.
    pub fn request(&mut self, node: usize, account: AccountTag, tokens: u64) -> usize {
        let id = self.requests.len();
        let (at_ms, outcome) = (self.now_ms, Outcome::Pending);
        self.requests.push(Request { account, tokens, at_ms, node, outcome });
        match &mut self.nodes[node] {
            Some(quotas) => quotas.request(account, tokens, id, at_ms),
            None => self.requests[id].outcome = Outcome::Unreachable,
        }
        self.pass_on(node);
        id
    }

    /// Runs for a time with requests at random nodes that run.
    pub fn run(&mut self, duration_ms: u64, loads: &[Load]) {
        let until_ms = self.now_ms + duration_ms;
        while self.now_ms < until_ms {
            self.now_ms += 1;
            for load in loads {
                let mut expected = load.per_s / 1_000.0;
                while self.rng.random::<f64>() < expected {
                    expected -= 1.0;
                    let running: Vec<usize> =
                        (0..self.nodes.len()).filter(|n| self.nodes[*n].is_some()).collect();
                    let node = running[self.rng.random_range(0..running.len())];
                    self.request(node, load.account, load.tokens);
                }
            }
            self.step();
        }
    }

    fn step(&mut self) {
        let now_ms = self.now_ms;
        while let Some(entry) = self.in_transit.first_entry()
            && entry.key().0 <= now_ms
        {
            let (to, from, message) = entry.remove();
            if let Some(node) = &mut self.nodes[to] {
                node.receive(from, message, now_ms);
                self.pass_on(to);
            }
        }
        while self.due_refunds.front().is_some_and(|(at_ms, ..)| *at_ms <= now_ms) {
            let Some((_, index, charge)) = self.due_refunds.pop_front() else { break };
            if let Some(node) = &mut self.nodes[index] {
                node.refund(&charge, now_ms);
                self.pass_on(index);
            }
        }
        for index in 0..self.nodes.len() {
            let Some(node) = &mut self.nodes[index] else { continue };
            let phase_ms = now_ms + 7 * index as u64;
            if phase_ms.is_multiple_of(CONTACT_PERIOD_MS) {
                if self.has_store[index] {
                    node.observe_store_contact(now_ms);
                }
                let group = self.groups[index];
                let reached = (0..self.groups.len())
                    .filter(|other| *other != index && self.groups[*other] == group);
                reached.for_each(|other| node.observe_peer(member(other).address, now_ms));
            }
            if phase_ms.is_multiple_of(TICK_PERIOD_MS) && !node.is_idle() {
                node.tick(now_ms);
                self.pass_on(index);
            }
        }
    }

    /// Sends the messages of a node, and records its decisions.
    fn pass_on(&mut self, index: usize) {
        let Some(node) = &mut self.nodes[index] else { return };
        let at_ms = self.now_ms;
        for decided in node.take_decided() {
            self.requests[decided.handle].outcome = match decided.decision {
                QuotaDecision::Admitted(charge) => {
                    let is_paid = charge.tokens() == self.requests[decided.handle].tokens;
                    assert!(is_paid || !self.limits.contains_key(&charge.account()));
                    if self.rng.random::<f64>() < self.refunds {
                        self.due_refunds.push_back((at_ms + REFUND_DELAY_MS, index, charge));
                        Outcome::Refunded
                    } else {
                        Outcome::Admitted { at_ms }
                    }
                }
                QuotaDecision::Exceeded { retry_after_ms, .. } => {
                    Outcome::Exceeded { at_ms, retry_after_ms }
                }
                QuotaDecision::Unreachable { .. } => Outcome::Unreachable,
            };
        }
        let from = member(index).address;
        for (address, message) in node.take_outgoing() {
            self.messages += 1;
            let to = usize::from(address.port() - 1_000);
            let copies = 1 + usize::from(self.rng.random::<f64>() < self.network.duplication);
            for _ in 0..copies {
                let is_lost = self.rng.random::<f64>() < self.network.loss;
                if self.groups[to] == self.groups[index] && !is_lost {
                    self.sequence += 1;
                    // A duplicate may come much later than the original.
                    let limit_ms = if copies > 1 { 3_000 } else { 4 };
                    let delay_ms = self.rng.random_range(1..=limit_ms);
                    let key = (at_ms + delay_ms, self.sequence);
                    self.in_transit.insert(key, (to, from, message));
                }
            }
        }
    }

    /// Returns the times and tokens of the admitted requests of an account, in order.
    fn admitted(&self, account: AccountTag) -> Vec<(u64, u64)> {
        let requests = self.requests.iter().filter(|request| request.account == account);
        let admitted = requests.filter_map(|request| match request.outcome {
            Outcome::Admitted { at_ms } => Some((at_ms, request.tokens)),
            _ => None,
        });
        let mut admitted: Vec<_> = admitted.collect();
        admitted.sort_unstable();
        admitted
    }

    /// Returns the tokens of an account that were admitted from a time on, as a share of those that
    /// were offered and the quota allows.
    pub fn admitted_share(&self, account: AccountTag, limit: LimitSpec, from_ms: u64) -> f64 {
        let admitted = self.admitted(account).into_iter().filter(|(at_ms, _)| *at_ms >= from_ms);
        let offered = self.requests.iter().filter(|r| r.account == account && r.at_ms >= from_ms);
        let allowed = limit.tokens_per_s as f64 * (self.now_ms - from_ms) as f64 / 1_000.0;
        let offered = offered.map(|request| request.tokens).sum::<u64>() as f64;
        admitted.map(|(_, tokens)| tokens).sum::<u64>() as f64 / offered.min(allowed)
    }

    /// Returns the largest sum of admitted tokens of an account in any window from a time on, as a
    /// share of the bound.
    pub fn largest_window(&self, account: AccountTag, limit: LimitSpec, from_ms: u64) -> f64 {
        let mut admitted = self.admitted(account);
        admitted.retain(|(at_ms, _)| *at_ms >= from_ms);
        let (mut start, mut sum, mut largest) = (0, 0, 0);
        for &(at_ms, tokens) in &admitted {
            sum += tokens;
            while at_ms - admitted[start].0 >= self.options.window_ms {
                sum -= admitted[start].1;
                start += 1;
            }
            largest = largest.max(sum);
        }
        let window_tokens = limit.tokens_per_s as f64 * self.options.window_ms as f64 / 1_000.0;
        let bound = (window_tokens + limit.burst_tokens as f64) * (1.0 + self.options.overshoot)
            + self.options.slack_tokens as f64;
        largest as f64 / bound
    }
}
