//! Simulations of many nodes that receive each other's load late.
//!
//! Each node sends its digest to twelve others every 100 ms, as the gateway does, so digests are
//! about 400 ms old. An engine that becomes attractive to all nodes must not get all their
//! requests.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::MODEL;
use support::count_prompt;
use support::engine;
use support::long_prompt;
use support::request;
use support::scheduler;
use support::short_prompt;

use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::WaitQueue;

const NODES: usize = 88;
const ENGINES: usize = 89;
const PEERS_PER_ROUND: usize = 12;
const DIGEST_MS: u64 = 100;
const DISPATCH_MS: u64 = 20;
const SHORT_PER_S: f64 = 790.0;
const LONG_PER_S: f64 = 123.0;
const DOCUMENTS: u64 = 500;
/// When prefill and response of short and long prompts end.
const PREFILL_END_MS: [u64; 2] = [120, 400];
const RESPONSE_END_MS: [u64; 2] = [250, 900];
/// The window in which the sends to one engine are counted: shorter than the age of the digests.
const WINDOW_MS: u64 = 300;
const RUN_MS: u64 = 5_000;
const SLOTS: u32 = 16;

/// Lists the engines, the first `updated` of them with the second version of the weights.
fn fleet(count: usize, updated: usize) -> Vec<Arc<Upstream>> {
    let listed = (0..count).map(|index| {
        let version = if index < updated { 2 } else { 1 };
        let upstream = engine(&format!("engine-{index}"), version);
        Arc::new(Upstream { slots: SLOTS, ..Upstream::clone(&upstream) })
    });
    listed.collect()
}

#[derive(Clone, Copy)]
struct Job {
    is_long: bool,
}

struct Sent {
    at_ms: u64,
    node: usize,
    is_long: bool,
    assignment: Assignment,
    is_prefilled: bool,
}

struct Simulation {
    nodes: Vec<Scheduler>,
    queues: Vec<WaitQueue<Job>>,
    in_progress: Vec<Sent>,
    // The times of the sends to each engine, for short and long prompts.
    sends_ms: HashMap<(String, bool), Vec<u64>>,
}

impl Simulation {
    fn new() -> Self {
        let nodes = (0..NODES).map(|seed| {
            let mut scheduler = scheduler(seed as u64);
            scheduler.set_upstreams(fleet(ENGINES, 0), 0);
            scheduler.observe_target_version(MODEL, WeightsVersion(1), 0);
            scheduler.set_members(NODES);
            scheduler
        });
        Self {
            nodes: nodes.collect(),
            queues: (0..NODES).map(|_| WaitQueue::default()).collect(),
            in_progress: Vec::new(),
            sends_ms: HashMap::new(),
        }
    }

    /// Runs the load; `change` may modify the state of the nodes at any millisecond.
    fn run(mut self, mut change: impl FnMut(&mut [Scheduler], u64)) -> Self {
        let mut rng = SmallRng::seed_from_u64(11);
        for now_ms in 0..RUN_MS {
            change(&mut self.nodes, now_ms);
            for (is_long, per_s) in [(false, SHORT_PER_S), (true, LONG_PER_S)] {
                if rng.random_bool(per_s / 1_000.0) {
                    let node = rng.random_range(0..NODES);
                    let document = rng.random_range(0..DOCUMENTS);
                    self.arrive(node, is_long, document, now_ms);
                }
            }
            self.end(now_ms);
            if now_ms.is_multiple_of(DIGEST_MS) {
                self.exchange_digests(now_ms);
            }
            if now_ms.is_multiple_of(DISPATCH_MS) {
                self.dispatch(now_ms);
            }
        }
        self
    }

    fn arrive(&mut self, node: usize, is_long: bool, document: u64, now_ms: u64) {
        let prompt = if is_long { long_prompt(document, now_ms) } else { short_prompt(now_ms) };
        let scheduler = &mut self.nodes[node];
        let request = request(Some(prompt), now_ms);
        count_prompt(scheduler, &request, now_ms);
        let job = Job { is_long };
        let decisions = self.queues[node].enqueue(scheduler, request, job, now_ms);
        self.apply_decisions(node, decisions, now_ms);
    }

    fn dispatch(&mut self, now_ms: u64) {
        for node in 0..NODES {
            let decisions = self.queues[node].dispatch(&mut self.nodes[node], now_ms, |_| false);
            self.apply_decisions(node, decisions, now_ms);
        }
    }

    fn apply_decisions(&mut self, node: usize, decisions: Vec<(Job, Choice)>, now_ms: u64) {
        for (Job { is_long }, choice) in decisions {
            let Choice::Send(assignment) = choice else { continue };
            let id = assignment.upstream.id.clone();
            self.sends_ms.entry((id, is_long)).or_default().push(now_ms);
            let assignment = *assignment;
            self.in_progress.push(Sent {
                at_ms: now_ms,
                node,
                is_long,
                assignment,
                is_prefilled: false,
            });
        }
    }

    fn end(&mut self, now_ms: u64) {
        for sent in &mut self.in_progress {
            let class = usize::from(sent.is_long);
            let scheduler = &mut self.nodes[sent.node];
            if !sent.is_prefilled && now_ms >= sent.at_ms + PREFILL_END_MS[class] {
                scheduler.record_prefill_done(&sent.assignment, now_ms);
                sent.is_prefilled = true;
            }
            if now_ms >= sent.at_ms + RESPONSE_END_MS[class] {
                let outcome = AttemptOutcome { verdict: Verdict::Served, misdirection: None };
                let reserved_tokens = sent.assignment.reserved_tokens;
                scheduler.record_attempt_end(
                    sent.assignment.index,
                    0,
                    reserved_tokens,
                    &outcome,
                    now_ms,
                );
            }
        }
        self.in_progress
            .retain(|sent| now_ms < sent.at_ms + RESPONSE_END_MS[usize::from(sent.is_long)]);
    }

    fn exchange_digests(&mut self, now_ms: u64) {
        let offset = (now_ms / DIGEST_MS) as usize * PEERS_PER_ROUND;
        for sender in 0..NODES {
            let digest = self.nodes[sender].digest(sender as u64, now_ms);
            for step in 0..PEERS_PER_ROUND {
                let other = (sender + 1 + (offset + step) % (NODES - 1)) % NODES;
                self.nodes[other].observe_peer(digest.clone(), now_ms);
            }
        }
    }

    /// Returns the maximum number of sends to one engine within the window.
    fn max_sends_in_window(&self, is_long: bool) -> usize {
        let of_class = self.sends_ms.iter().filter(|((_, class), _)| *class == is_long);
        let max_sends = of_class.map(|(_, times_ms)| {
            let from = |(first, at_ms): (usize, &u64)| {
                times_ms[first..].iter().take_while(|other| **other < at_ms + WINDOW_MS).count()
            };
            times_ms.iter().enumerate().map(from).max().unwrap_or(0)
        });
        max_sends.max().unwrap_or(0)
    }
}

/// Updates the weights of some of the engines, one more every 40 ms.
fn roll_out_weights(nodes: &mut [Scheduler], now_ms: u64) {
    const TARGET_SET_MS: u64 = 1_000;
    const FIRST_MS: u64 = 3_000;
    const INTERVAL_MS: u64 = 40;
    const MAX_UPDATED: u64 = 60;
    if now_ms == TARGET_SET_MS {
        for node in nodes.iter_mut() {
            node.observe_target_version(MODEL, WeightsVersion(2), now_ms);
        }
    }
    if now_ms >= FIRST_MS && (now_ms - FIRST_MS).is_multiple_of(INTERVAL_MS) {
        let updated = ((now_ms - FIRST_MS) / INTERVAL_MS + 1).min(MAX_UPDATED) as usize;
        let listed = fleet(ENGINES, updated);
        nodes.iter_mut().for_each(|node| node.set_upstreams(listed.clone(), now_ms));
    }
}

#[test]
fn first_updated_engines_are_not_flooded_with_short_prompts() {
    let simulation = Simulation::new().run(roll_out_weights);
    let max_sends = simulation.max_sends_in_window(false);
    // Twice its 16 slots: generating a short response takes half of the window.
    assert!(max_sends <= 32, "{max_sends} short prompts to one engine within {WINDOW_MS} ms");
}

#[test]
fn first_updated_engines_are_not_flooded_with_long_prompts() {
    let simulation = Simulation::new().run(roll_out_weights);
    let max_sends = simulation.max_sends_in_window(true);
    // The number that fits into its memory of 162,000 tokens.
    assert!(max_sends <= 9, "{max_sends} long prompts to one engine within {WINDOW_MS} ms");
}

#[test]
fn returning_idle_engines_are_not_flooded_with_short_prompts() {
    let simulation = Simulation::new().run(|nodes, now_ms| {
        const REMOVED_MS: u64 = 1_000;
        const RETURNED_MS: u64 = 3_000;
        let listed = if now_ms == REMOVED_MS { ENGINES - 8 } else { ENGINES };
        if now_ms == REMOVED_MS || now_ms == RETURNED_MS {
            nodes.iter_mut().for_each(|node| node.set_upstreams(fleet(listed, 0), now_ms));
        }
    });
    let max_sends = simulation.max_sends_in_window(false);
    assert!(max_sends <= 32, "{max_sends} short prompts to one engine within {WINDOW_MS} ms");
}

#[test]
fn queued_prompts_of_all_nodes_do_not_flood_the_first_free_engine() {
    // For two seconds there are too few engines for the load; then one more is added every half
    // second.
    let simulation = Simulation::new().run(|nodes, now_ms| {
        const REMOVED_MS: u64 = 500;
        const REMAINING: u64 = 12;
        const RETURNED_MS: u64 = 2_500;
        const INTERVAL_MS: u64 = 500;
        let listed = match now_ms {
            REMOVED_MS => REMAINING,
            _ if now_ms >= RETURNED_MS => REMAINING + 1 + (now_ms - RETURNED_MS) / INTERVAL_MS,
            _ => return,
        };
        if now_ms == REMOVED_MS || (now_ms - RETURNED_MS).is_multiple_of(INTERVAL_MS) {
            nodes.iter_mut().for_each(|node| node.set_upstreams(fleet(listed as usize, 0), now_ms));
        }
    });
    let (long, short) =
        (simulation.max_sends_in_window(true), simulation.max_sends_in_window(false));
    // Nine long prompts fit into its memory of 162,000 tokens. At 14 ms of engine time each, the
    // last of 48 short prompts is still in time: 500 ms after its arrival, including 120 ms of its
    // own.
    assert!(long <= 9, "{long} long prompts to one engine within {WINDOW_MS} ms");
    assert!(short <= 48, "{short} short prompts to one engine within {WINDOW_MS} ms");
}
