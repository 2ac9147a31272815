//! Replays of many nodes that hear of each other's requests late.
//!
//! Each node tells twelve others every 100 ms, as the gateway does, so that the words of a node are
//! some 400 ms old. An engine that becomes attractive to all must not get all their requests.

mod support;

use std::collections::HashMap;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::MODEL;
use support::ask;
use support::engine;
use support::long_prompt;
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
const TOLD_AT_ONCE: usize = 12;
const DIGEST_MS: u64 = 100;
const PUMP_MS: u64 = 20;
const SHORT_PER_S: f64 = 790.0;
const LONG_PER_S: f64 = 123.0;
const BOOKS: u64 = 500;
/// When prompts are read and answers end, for short and long ones.
const READ_MS: [u64; 2] = [120, 400];
const ENDED_MS: [u64; 2] = [250, 900];
/// The span in which the sends to one engine are counted: less than the age of words.
const SPAN_MS: u64 = 300;
const SPAN_END_MS: u64 = 5_000;
const SLOTS: u32 = 16;

/// Lists the engines, the first `new` of them with the second version of the weights.
fn fleet(count: usize, new: usize) -> Vec<Arc<Upstream>> {
    let listed = (0..count).map(|index| {
        let version = if index < new { 2 } else { 1 };
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
    is_read: bool,
}

struct Replay {
    nodes: Vec<Scheduler>,
    rooms: Vec<WaitQueue<Job>>,
    under_way: Vec<Sent>,
    // The times of the sends to each engine, of short and of long prompts.
    sends_ms: HashMap<(String, bool), Vec<u64>>,
}

impl Replay {
    fn new() -> Self {
        let nodes = (0..NODES).map(|seed| {
            let mut scheduler = scheduler(seed as u64);
            scheduler.set_upstreams(fleet(ENGINES, 0), 0);
            scheduler.set_target_version(MODEL, WeightsVersion(1), 0);
            scheduler.set_members(NODES);
            scheduler
        });
        Self {
            nodes: nodes.collect(),
            rooms: (0..NODES).map(|_| WaitQueue::default()).collect(),
            under_way: Vec::new(),
            sends_ms: HashMap::new(),
        }
    }

    /// Plays the load; `change` may alter what the nodes know at any millisecond.
    fn run(mut self, mut change: impl FnMut(&mut [Scheduler], u64)) -> Self {
        let mut rng = SmallRng::seed_from_u64(11);
        for now_ms in 0..SPAN_END_MS {
            change(&mut self.nodes, now_ms);
            for (is_long, per_s) in [(false, SHORT_PER_S), (true, LONG_PER_S)] {
                if rng.random_bool(per_s / 1_000.0) {
                    let node = rng.random_range(0..NODES);
                    let book = rng.random_range(0..BOOKS);
                    self.arrive(node, is_long, book, now_ms);
                }
            }
            self.end(now_ms);
            if now_ms.is_multiple_of(DIGEST_MS) {
                self.tell(now_ms);
            }
            if now_ms.is_multiple_of(PUMP_MS) {
                self.dispatch(now_ms);
            }
        }
        self
    }

    fn arrive(&mut self, node: usize, is_long: bool, book: u64, now_ms: u64) {
        let prompt = if is_long { long_prompt(book, now_ms) } else { short_prompt(now_ms) };
        let scheduler = &mut self.nodes[node];
        scheduler.count_prompt(&prompt, now_ms);
        let job = Job { is_long };
        let answers = self.rooms[node].enqueue(scheduler, ask(Some(prompt), now_ms), job, now_ms);
        self.give(node, answers, now_ms);
    }

    fn dispatch(&mut self, now_ms: u64) {
        for node in 0..NODES {
            let answers = self.rooms[node].dispatch(&mut self.nodes[node], now_ms, |_| false);
            self.give(node, answers, now_ms);
        }
    }

    fn give(&mut self, node: usize, answers: Vec<(Job, Choice)>, now_ms: u64) {
        for (Job { is_long }, choice) in answers {
            let Choice::Send(assignment) = choice else { continue };
            let id = assignment.upstream.id.clone();
            self.sends_ms.entry((id, is_long)).or_default().push(now_ms);
            let assignment = *assignment;
            self.under_way.push(Sent { at_ms: now_ms, node, is_long, assignment, is_read: false });
        }
    }

    fn end(&mut self, now_ms: u64) {
        for sent in &mut self.under_way {
            let kind = usize::from(sent.is_long);
            let scheduler = &mut self.nodes[sent.node];
            if !sent.is_read && now_ms >= sent.at_ms + READ_MS[kind] {
                scheduler.record_prefill_done(&sent.assignment, now_ms);
                sent.is_read = true;
            }
            if now_ms >= sent.at_ms + ENDED_MS[kind] {
                let outcome = AttemptOutcome { verdict: Verdict::Served, is_misdirected: false };
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
        self.under_way.retain(|sent| now_ms < sent.at_ms + ENDED_MS[usize::from(sent.is_long)]);
    }

    fn tell(&mut self, now_ms: u64) {
        let turn = (now_ms / DIGEST_MS) as usize * TOLD_AT_ONCE;
        for teller in 0..NODES {
            let digest = self.nodes[teller].digest(teller as u64, now_ms);
            for step in 0..TOLD_AT_ONCE {
                let other = (teller + 1 + (turn + step) % (NODES - 1)) % NODES;
                self.nodes[other].observe_peer(digest.clone(), now_ms);
            }
        }
    }

    /// Returns the most sends to one engine within the span.
    fn most_at_once(&self, is_long: bool) -> usize {
        let of_kind = self.sends_ms.iter().filter(|((_, kind), _)| *kind == is_long);
        let most = of_kind.map(|(_, times_ms)| {
            let from = |(first, at_ms): (usize, &u64)| {
                times_ms[first..].iter().take_while(|other| **other < at_ms + SPAN_MS).count()
            };
            times_ms.iter().enumerate().map(from).max().unwrap_or(0)
        });
        most.max().unwrap_or(0)
    }
}

/// Lists a part of the engines with the new weights, one more every 40 ms.
fn spread_weights(nodes: &mut [Scheduler], now_ms: u64) {
    const NAMED_MS: u64 = 1_000;
    const FIRST_MS: u64 = 3_000;
    const EACH_MS: u64 = 40;
    const MOST: u64 = 60;
    if now_ms == NAMED_MS {
        for node in nodes.iter_mut() {
            node.set_target_version(MODEL, WeightsVersion(2), now_ms);
        }
    }
    if now_ms >= FIRST_MS && (now_ms - FIRST_MS).is_multiple_of(EACH_MS) {
        let new = ((now_ms - FIRST_MS) / EACH_MS + 1).min(MOST) as usize;
        let listed = fleet(ENGINES, new);
        nodes.iter_mut().for_each(|node| node.set_upstreams(listed.clone(), now_ms));
    }
}

#[test]
fn the_first_engines_with_new_weights_do_not_get_all_short_prompts() {
    let replay = Replay::new().run(spread_weights);
    let most = replay.most_at_once(false);
    // Twice its 16 slots: a short answer takes half of the span.
    assert!(most <= 32, "{most} short prompts to one engine within {SPAN_MS} ms");
}

#[test]
fn the_first_engines_with_new_weights_do_not_get_all_long_prompts() {
    let replay = Replay::new().run(spread_weights);
    let most = replay.most_at_once(true);
    // As many as fit its memory of 162,000 tokens.
    assert!(most <= 9, "{most} long prompts to one engine within {SPAN_MS} ms");
}

#[test]
fn engines_that_come_back_idle_do_not_get_all_short_prompts() {
    let replay = Replay::new().run(|nodes, now_ms| {
        const GONE_MS: u64 = 1_000;
        const BACK_MS: u64 = 3_000;
        let listed = if now_ms == GONE_MS { ENGINES - 8 } else { ENGINES };
        if now_ms == GONE_MS || now_ms == BACK_MS {
            nodes.iter_mut().for_each(|node| node.set_upstreams(fleet(listed, 0), now_ms));
        }
    });
    let most = replay.most_at_once(false);
    assert!(most <= 32, "{most} short prompts to one engine within {SPAN_MS} ms");
}

#[test]
fn prompts_that_wait_at_all_nodes_do_not_fill_the_first_engine_with_room() {
    // Too few engines for the load for two seconds; then one more each half second.
    let replay = Replay::new().run(|nodes, now_ms| {
        const GONE_MS: u64 = 500;
        const LEFT: u64 = 12;
        const BACK_MS: u64 = 2_500;
        const EACH_MS: u64 = 500;
        let listed = match now_ms {
            GONE_MS => LEFT,
            _ if now_ms >= BACK_MS => LEFT + 1 + (now_ms - BACK_MS) / EACH_MS,
            _ => return,
        };
        if now_ms == GONE_MS || (now_ms - BACK_MS).is_multiple_of(EACH_MS) {
            nodes.iter_mut().for_each(|node| node.set_upstreams(fleet(listed as usize, 0), now_ms));
        }
    });
    let (long, short) = (replay.most_at_once(true), replay.most_at_once(false));
    // As many long ones as fit its memory of 162,000 tokens. At 14 ms of the engine for each, the
    // last of 48 short ones is still in time: 500 ms after its arrival, 120 ms of them its own.
    assert!(long <= 9, "{long} long prompts to one engine within {SPAN_MS} ms");
    assert!(short <= 48, "{short} short prompts to one engine within {SPAN_MS} ms");
}
