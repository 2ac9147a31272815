//! Simulated fleet: state machines connected by message queues, with fault injection. Simulated
//! time advances in steps of 100 ms by default.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use redwingrill_membership::Action;
use redwingrill_membership::Cluster;
use redwingrill_membership::ClusterOptions;
use redwingrill_membership::ExchangeResponse;
use redwingrill_membership::Frame;
use redwingrill_membership::LinkId;
use redwingrill_membership::MemberInfo;
use redwingrill_membership::NodeKey;

/// The default step.
pub const STEP_MS: u64 = 100;
const TIMEOUT_MS: u64 = 1_500;

/// Bytes of an exchange in addition to its two frames: the IP, UDP and QUIC headers of three
/// packets, and the call headers.
pub const EXCHANGE_OVERHEAD_BYTES: u64 = 260;

/// The content of a message.
#[derive(Clone)]
enum Message {
    Request(Frame),
    Response(ExchangeResponse),
    Nudge,
    Timeout,
}

#[derive(Clone)]
struct Envelope {
    from: usize,
    to: usize,
    link: LinkId,
    message: Message,
}

/// One node of the fleet.
pub struct Node {
    pub info: MemberInfo,
    /// None while the node is down.
    pub cluster: Option<Cluster>,
    pub is_paused: bool,
    /// The network partition of the node; nodes of different partitions cannot communicate.
    pub partition: u32,
    pub sent_bytes: u64,
    pub received_bytes: u64,
    start_count: u64,
    in_flight: BTreeMap<LinkId, u64>,
}

/// The nodes and the simulated network.
pub struct Fleet {
    pub now_ms: u64,
    pub step_ms: u64,
    pub nodes: Vec<Node>,
    /// Duplicate and delayed messages, in thousandths of all messages.
    pub duplicate_permille: u32,
    pub delay_permille: u32,
    pub exchanges: u64,
    by_address: BTreeMap<SocketAddr, usize>,
    link_openers: BTreeMap<LinkId, usize>,
    queue: BTreeMap<(u64, u64), Envelope>,
    sequence: u64,
    rng: SmallRng,
    seed: u64,
}

impl Fleet {
    pub fn new(nodes: usize, domains: usize, seed: u64) -> Self {
        let infos = (0..nodes).map(|n| MemberInfo {
            name: format!("entry-{n}"),
            address: SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7000)),
            failure_domain: format!("domain-{}", n % domains),
        });
        let nodes: Vec<Node> = infos
            .map(|info| Node {
                info,
                cluster: None,
                is_paused: false,
                partition: 0,
                sent_bytes: 0,
                received_bytes: 0,
                start_count: 0,
                in_flight: BTreeMap::new(),
            })
            .collect();
        let addresses = nodes.iter().enumerate().map(|(n, node)| (node.info.address, n));
        Self {
            now_ms: 1_000,
            step_ms: STEP_MS,
            by_address: addresses.collect(),
            nodes,
            duplicate_permille: 0,
            delay_permille: 0,
            exchanges: 0,
            link_openers: BTreeMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(seed),
            seed,
        }
    }

    /// Starts a node as a new process, without the state of the previous one.
    pub fn start(&mut self, n: usize) {
        let seeds: Vec<SocketAddr> = self.nodes.iter().take(3).map(|s| s.info.address).collect();
        let node = &mut self.nodes[n];
        node.start_count += 1;
        let boot = self.seed ^ (n as u64) << 32 ^ node.start_count;
        let options = ClusterOptions { info: node.info.clone(), seeds, boot };
        node.cluster = Some(Cluster::new(self.now_ms, options));
        node.is_paused = false;
        node.in_flight.clear();
    }

    pub fn start_all(&mut self) {
        (0..self.nodes.len()).for_each(|n| self.start(n));
    }

    pub fn kill(&mut self, n: usize) {
        self.nodes[n].cluster = None;
    }

    pub fn cluster(&mut self, n: usize) -> &mut Cluster {
        self.nodes[n].cluster.as_mut().expect("the node is running")
    }

    pub fn running(&self) -> impl Iterator<Item = &Cluster> {
        self.nodes.iter().filter_map(|node| node.cluster.as_ref())
    }

    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    /// Runs until a condition is true. Returns the time taken, or none after the limit.
    pub fn run_until(&mut self, limit_ms: u64, condition: impl Fn(&Self) -> bool) -> Option<u64> {
        let start_ms = self.now_ms;
        while self.now_ms - start_ms <= limit_ms {
            if condition(self) {
                return Some(self.now_ms - start_ms);
            }
            self.step();
        }
        None
    }

    pub fn step(&mut self) {
        self.now_ms += self.step_ms;
        self.deliver();
        for n in 0..self.nodes.len() {
            let node = &mut self.nodes[n];
            if node.is_paused {
                continue;
            }
            let Some(cluster) = &mut node.cluster else { continue };
            let actions = cluster.tick(self.now_ms);
            for action in actions {
                self.perform(n, action);
            }
        }
    }

    fn perform(&mut self, from: usize, action: Action) {
        match action {
            Action::Exchange { link, address, frame } => {
                self.exchanges += 1;
                self.link_openers.insert(link, from);
                self.nodes[from].in_flight.insert(link, self.now_ms);
                let timeout = Envelope { from, to: from, link, message: Message::Timeout };
                self.push(self.now_ms + TIMEOUT_MS, timeout);
                if let Some(&to) = self.by_address.get(&address) {
                    self.send(Envelope { from, to, link, message: Message::Request(frame) });
                }
            }
            Action::Nudge { link } => {
                if let Some(&to) = self.link_openers.get(&link) {
                    self.send(Envelope { from, to, link, message: Message::Nudge });
                }
            }
            Action::Close { link } => {
                self.link_openers.remove(&link);
            }
        }
    }

    fn send(&mut self, envelope: Envelope) {
        let size_bytes = match &envelope.message {
            Message::Request(frame) => encoded_bytes(frame) + EXCHANGE_OVERHEAD_BYTES / 2,
            Message::Response(response) => encoded_bytes(response) + EXCHANGE_OVERHEAD_BYTES / 2,
            Message::Nudge | Message::Timeout => EXCHANGE_OVERHEAD_BYTES / 2,
        };
        self.nodes[envelope.from].sent_bytes += size_bytes;
        self.nodes[envelope.to].received_bytes += size_bytes;
        if self.chance(self.duplicate_permille) {
            let duplicate_ms = self.now_ms + self.rng.random_range(0..2_000);
            self.push(duplicate_ms, envelope.clone());
        }
        let delay_ms =
            if self.chance(self.delay_permille) { self.rng.random_range(0..3_000) } else { 0 };
        self.push(self.now_ms + delay_ms, envelope);
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_ratio(per_mille, 1_000)
    }

    fn push(&mut self, due_ms: u64, envelope: Envelope) {
        self.sequence += 1;
        self.queue.insert((due_ms, self.sequence), envelope);
    }

    /// Delivers the due messages. Responses without delay arrive in the same step as their request.
    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now_ms {
                return;
            }
            let envelope = entry.remove();
            let (from, to) = (&self.nodes[envelope.from], &self.nodes[envelope.to]);
            let is_unreachable = from.partition != to.partition || to.cluster.is_none();
            if to.is_paused {
                self.push(self.now_ms + self.step_ms, envelope);
            } else if !is_unreachable {
                self.handle(envelope);
            }
        }
    }

    fn handle(&mut self, Envelope { from, to, link, message }: Envelope) {
        let now_ms = self.now_ms;
        let node = &mut self.nodes[to];
        let cluster = node.cluster.as_mut().expect("the node is running");
        match message {
            Message::Request(frame) => {
                let response = cluster.on_exchange(now_ms, link, frame);
                self.send(Envelope {
                    from: to,
                    to: from,
                    link,
                    message: Message::Response(response),
                });
            }
            Message::Response(response) => {
                // A response after the timeout is dropped, since the call has ended.
                if node.in_flight.remove(&link).is_some() {
                    cluster.on_response(now_ms, link, response);
                }
            }
            Message::Nudge => cluster.on_nudge(now_ms, link),
            Message::Timeout => {
                let started_ms = node.in_flight.get(&link);
                if started_ms.is_some_and(|&started_ms| now_ms >= started_ms + TIMEOUT_MS) {
                    node.in_flight.remove(&link);
                    cluster.on_exchange_failure(now_ms, link);
                }
            }
        }
    }
}

pub fn encoded_bytes<T: serde::Serialize>(value: &T) -> u64 {
    postcard::to_allocvec(value).expect("frames are serialisable").len() as u64
}

pub fn key_of(n: usize) -> NodeKey {
    NodeKey::of(&format!("entry-{n}"))
}
