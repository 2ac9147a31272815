//! Simulations of load patterns; each fails without the scheduling rule that it covers.
//!
//! The simulated engines follow their data sheet: they prefill prompts one at a time, and responses
//! run concurrently. Seven schedulers simulate seven nodes.

mod support;

use std::collections::HashMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::MODEL;
use support::count_prompt;
use support::engines;
use support::long_prompt;
use support::request;
use support::scheduler;
use support::short_prompt;

use redwingrill_routing::CacheChange;
use redwingrill_routing::PartId;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::WaitQueue;

const NODES: usize = 7;
const DOCUMENTS: u64 = 132;
const PREFILL_TOKENS_PER_MS: f64 = 56.1;
const FIRST_EVENT_BASE_MS: f64 = 93.0;
/// The time to fetch a document, and the time from the first event to the end of the response.
const FETCH_MS: f64 = 30.0;
const ANSWER_MS: u64 = 250;
const DIGEST_MS: u64 = 100;
/// The time from sending a document to the event of the cache store.
const SAVE_MS: u64 = 600;

/// Arrivals per second, with a burst.
struct Pattern {
    short_per_s: f64,
    long_per_s: f64,
    burst: std::ops::Range<u64>,
    long_factor: f64,
    span_ms: u64,
    engines: usize,
}

#[derive(Default)]
struct Outcome {
    short: [u32; 2],
    long: [u32; 2],
    refused: u32,
    cold_prefills: u32,
}

impl Outcome {
    fn share(counts: [u32; 2]) -> f64 {
        f64::from(counts[0]) / f64::from(counts[0] + counts[1]).max(1.0)
    }
}

#[derive(Default)]
struct Engine {
    free_at_ms: f64,
    documents: VecDeque<u64>,
}

struct Simulation {
    nodes: Vec<(Scheduler, WaitQueue<Job>)>,
    engines: HashMap<String, Engine>,
    // Time, node and the step that ends then.
    events: Vec<(u64, usize, Step)>,
    // Documents being saved to the cache store, with the time of their event.
    saves: Vec<(u64, u64)>,
    outcome: Outcome,
}

#[derive(Clone, Copy)]
struct Job {
    is_long: bool,
    document: u64,
    arrived_ms: u64,
}

enum Step {
    FirstEvent(Box<Assignment>, Job),
    Ended(Box<Assignment>),
}

impl Simulation {
    fn new(pattern: &Pattern) -> Self {
        let listed = engines(pattern.engines, 1);
        let nodes = (0..NODES).map(|seed| {
            let mut scheduler = scheduler(seed as u64);
            scheduler.set_upstreams(listed.clone(), 0);
            scheduler.observe_target_version(MODEL, WeightsVersion(1), 0);
            scheduler.set_members(NODES);
            scheduler.set_cache_store(Some(std::net::SocketAddr::from(([10, 1, 0, 1], 80))));
            scheduler.set_cache_store_epoch(Some(1));
            (scheduler, WaitQueue::default())
        });
        let engines = listed.iter().map(|engine| (engine.id.clone(), Engine::default()));
        Self {
            nodes: nodes.collect(),
            engines: engines.collect(),
            events: Vec::new(),
            saves: Vec::new(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, pattern: &Pattern) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(7);
        for now_ms in 0..pattern.span_ms {
            let factor = if pattern.burst.contains(&now_ms) { pattern.long_factor } else { 1.0 };
            for (is_long, per_s) in
                [(false, pattern.short_per_s), (true, pattern.long_per_s * factor)]
            {
                if rng.random_bool((per_s / 1_000.0).min(1.0)) {
                    // Some documents are requested more often than others.
                    let document = (rng.random::<f64>().powi(2) * DOCUMENTS as f64) as u64;
                    let job = Job { is_long, document, arrived_ms: now_ms };
                    let node = rng.random_range(0..NODES);
                    self.arrive(node, job, now_ms);
                }
            }
            self.step(now_ms);
        }
        self.outcome
    }

    fn arrive(&mut self, node: usize, job: Job, now_ms: u64) {
        let prompt = match job.is_long {
            true => long_prompt(job.document, now_ms),
            false => short_prompt(now_ms),
        };
        let (scheduler, waiting) = &mut self.nodes[node];
        let request = request(Some(prompt), now_ms);
        count_prompt(scheduler, &request, now_ms);
        let decisions = waiting.enqueue(scheduler, request, job, now_ms);
        self.apply_decisions(node, decisions, now_ms);
    }

    fn apply_decisions(&mut self, node: usize, decisions: Vec<(Job, Choice)>, now_ms: u64) {
        for (job, choice) in decisions {
            match choice {
                Choice::Send(assignment) => self.send(node, *assignment, job, now_ms),
                _ => {
                    self.outcome.refused += 1;
                    self.count(job, u64::MAX);
                }
            }
        }
    }

    fn send(&mut self, node: usize, assignment: Assignment, job: Job, now_ms: u64) {
        if assignment.save_to.is_some() {
            self.saves.push((now_ms + SAVE_MS, job.document));
        }
        let engine = self.engines.get_mut(&assignment.upstream.id).expect("engine is listed");
        let prefill_ms = match job.is_long {
            false => 380.0 / PREFILL_TOKENS_PER_MS,
            true => {
                let is_cached = engine.documents.contains(&job.document);
                engine.documents.retain(|document| *document != job.document);
                engine.documents.push_back(job.document);
                // A dozen documents fit into memory with the running requests.
                if engine.documents.len() > 12 {
                    engine.documents.pop_front();
                }
                let own_ms = 3_720.0 / PREFILL_TOKENS_PER_MS;
                match (is_cached, assignment.fetch_from.is_some()) {
                    (true, _) => own_ms,
                    (false, true) => own_ms + FETCH_MS,
                    (false, false) => {
                        self.outcome.cold_prefills += 1;
                        own_ms + 13_300.0 / PREFILL_TOKENS_PER_MS
                    }
                }
            }
        };
        let start_ms = engine.free_at_ms.max(now_ms as f64);
        engine.free_at_ms = start_ms + prefill_ms;
        let first_ms = (engine.free_at_ms + FIRST_EVENT_BASE_MS) as u64;
        self.events.push((first_ms, node, Step::FirstEvent(Box::new(assignment), job)));
    }

    fn step(&mut self, now_ms: u64) {
        let events = std::mem::take(&mut self.events);
        for (at_ms, node, step) in events {
            if at_ms > now_ms {
                self.events.push((at_ms, node, step));
                continue;
            }
            let scheduler = &mut self.nodes[node].0;
            match step {
                Step::FirstEvent(assignment, job) => {
                    scheduler.record_prefill_done(&assignment, now_ms);
                    self.count(job, at_ms);
                    self.events.push((now_ms + ANSWER_MS, node, Step::Ended(assignment)));
                }
                Step::Ended(assignment) => {
                    let outcome = AttemptOutcome { verdict: Verdict::Served, misdirection: None };
                    let reserved_tokens = assignment.reserved_tokens;
                    scheduler.record_attempt_end(
                        assignment.index,
                        0,
                        reserved_tokens,
                        &outcome,
                        now_ms,
                    );
                }
            }
        }
        self.saves.retain(|&(at_ms, document)| {
            if at_ms > now_ms {
                return true;
            }
            let change =
                CacheChange { scope: "w1".to_owned(), part: PartId(document), tokens: 13_300 };
            for (scheduler, _) in &mut self.nodes {
                scheduler.apply_cache_store_changes(vec![change.clone()], now_ms);
            }
            false
        });
        if now_ms.is_multiple_of(DIGEST_MS) {
            self.exchange_digests(now_ms);
        }
        if now_ms.is_multiple_of(20) {
            for node in 0..NODES {
                let (scheduler, waiting) = &mut self.nodes[node];
                let decisions = waiting.dispatch(scheduler, now_ms, |_| false);
                self.apply_decisions(node, decisions, now_ms);
            }
        }
    }

    fn exchange_digests(&mut self, now_ms: u64) {
        let digests: Vec<_> =
            (0..NODES).map(|n| self.nodes[n].0.digest(n as u64, now_ms)).collect();
        for (node, (scheduler, _)) in self.nodes.iter_mut().enumerate() {
            for (_, digest) in digests.iter().enumerate().filter(|(other, _)| *other != node) {
                scheduler.observe_peer(digest.clone(), now_ms);
            }
        }
    }

    fn count(&mut self, job: Job, first_ms: u64) {
        let target_ms = if job.is_long { 1_500 } else { 500 };
        let is_late = first_ms.saturating_sub(job.arrived_ms) > target_ms;
        let counts = if job.is_long { &mut self.outcome.long } else { &mut self.outcome.short };
        counts[usize::from(is_late)] += 1;
    }
}

/// The normal load of a deployment with 18 engines.
const BASELINE: Pattern = Pattern {
    short_per_s: 204.0,
    long_per_s: 23.5,
    burst: 0..0,
    long_factor: 1.0,
    span_ms: 12_000,
    engines: 18,
};

#[test]
fn short_prompts_are_not_delayed_by_long_prompts() {
    let outcome = Simulation::new(&BASELINE).run(&BASELINE);
    let (short, long) = (Outcome::share(outcome.short), Outcome::share(outcome.long));
    assert!(short > 0.99, "short prompts in time: {short:.3}");
    assert!(long > 0.97, "long prompts in time: {long:.3}");
}

#[test]
fn long_prefix_is_prefilled_by_few_engines() {
    let outcome = Simulation::new(&BASELINE).run(&BASELINE);
    // Each document is prefilled once or twice; the other requests of all nodes find or fetch it.
    let requested = outcome.long[0] + outcome.long[1];
    assert!(requested > 200);
    assert!(
        f64::from(outcome.cold_prefills) < 1.5 * DOCUMENTS as f64,
        "cold prefills: {}",
        outcome.cold_prefills
    );
}

#[test]
fn burst_of_long_prompts_does_not_delay_short_prompts() {
    // Half of the engines are down, and long prompts arrive at 2.6 times the rate for five seconds.
    let pattern = Pattern { burst: 2_000..7_000, long_factor: 2.6, engines: 9, ..BASELINE };
    let outcome = Simulation::new(&pattern).run(&pattern);
    let (short, long) = (Outcome::share(outcome.short), Outcome::share(outcome.long));
    assert!(short > 0.97, "short prompts in time: {short:.3}");
    assert!(long > 0.6, "long prompts in time: {long:.3}");
}

#[test]
fn overload_still_serves_requests_up_to_capacity() {
    // Three engines for the load of 18: they prefill about 60 cold or 180 warm long prompts in 6 s.
    let pattern = Pattern { engines: 3, short_per_s: 60.0, ..BASELINE };
    let outcome = Simulation::new(&pattern).run(&pattern);
    let short = Outcome::share(outcome.short);
    assert!(short > 0.9, "short prompts in time: {short:.3}");
    assert!(outcome.long[0] > 60, "long prompts in time: {}", outcome.long[0]);
}

struct RetryAfterCase {
    name: &'static str,
    remaining_ms: u64,
}

#[test]
fn retry_after_is_spread_within_a_third_of_the_remaining_time() {
    let cases = [
        RetryAfterCase { name: "long", remaining_ms: 9_000 },
        RetryAfterCase { name: "short", remaining_ms: 900 },
    ];
    for case in cases {
        let mut scheduler = scheduler(3);
        scheduler.set_upstreams(engines(1, 1), 0);
        let mut waiting = WaitQueue::default();
        let mut delays_ms = Vec::new();
        for number in 0..400_u64 {
            let mut request = request(Some(long_prompt(number, number)), 0);
            request.deadline_ms = case.remaining_ms;
            for (_, choice) in waiting.enqueue(&mut scheduler, request, number, 0) {
                if let Choice::Refuse { retry_after_ms, .. } = choice {
                    delays_ms.push(retry_after_ms);
                }
            }
        }
        assert!(delays_ms.len() > 200, "{}: {} refused at once", case.name, delays_ms.len());
        let max_ms = delays_ms.iter().max().copied().unwrap_or(0);
        let min_ms = delays_ms.iter().min().copied().unwrap_or(0);
        assert!(max_ms <= case.remaining_ms / 3, "{}: {max_ms}", case.name);
        assert!(max_ms > min_ms + max_ms / 3, "{}: not spread", case.name);
    }
}

#[test]
fn request_is_refused_before_its_caller_leaves() {
    // All slots of the only engine are taken, and the caller of a stream leaves after two seconds.
    let mut scheduler = scheduler(3);
    scheduler.set_upstreams(engines(1, 1), 0);
    let mut waiting = WaitQueue::default();
    let mut arrive = |own: u64, now_ms: u64| {
        let mut request = request(Some(short_prompt(own)), now_ms);
        request.deadline_ms = now_ms + 15_000;
        request.leaves_ms = now_ms + 2_000;
        waiting.enqueue(&mut scheduler, request, own, now_ms)
    };
    let sent = (0..200).flat_map(|own| arrive(own, 0));
    assert!(sent.filter(|(_, choice)| matches!(choice, Choice::Send(_))).count() > 0);
    let refused = waiting.dispatch(&mut scheduler, 1_600, |_| false);
    let refusals = refused.iter().filter_map(|(_, choice)| match choice {
        Choice::Refuse { retry_after_ms, .. } => Some(*retry_after_ms),
        _ => None,
    });
    let delays_ms: Vec<u64> = refusals.collect();
    assert!(delays_ms.len() > 10, "{} refused while their callers still wait", delays_ms.len());
    assert!(delays_ms.iter().all(|delay_ms| *delay_ms <= (15_000 - 1_600) / 3));
}
