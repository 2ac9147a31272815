//! Replays of load patterns: each fails without the decision that answers it.
//!
//! The engines are a few lines of arithmetic from their data sheet: prompts are read one after the
//! other, answers run beside them. Seven schedulers stand for seven nodes.

mod support;

use std::collections::HashMap;
use std::collections::VecDeque;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::MODEL;
use support::ask;
use support::engines;
use support::long_prompt;
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
const BOOKS: u64 = 132;
const READ_TOKENS_PER_MS: f64 = 56.1;
const FIRST_MS: f64 = 93.0;
/// What a fetch of a book takes, and the time of the answer after its first event.
const FETCH_MS: f64 = 30.0;
const ANSWER_MS: u64 = 250;
const DIGEST_MS: u64 = 100;
/// From the sending of a book to the event of the cache store.
const SAVE_MS: u64 = 600;

/// Arrivals a second, and what of them may differ in a burst.
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
    read_again: u32,
}

impl Outcome {
    fn share(counts: [u32; 2]) -> f64 {
        f64::from(counts[0]) / f64::from(counts[0] + counts[1]).max(1.0)
    }
}

#[derive(Default)]
struct Engine {
    free_at_ms: f64,
    books: VecDeque<u64>,
}

struct Fleet {
    nodes: Vec<(Scheduler, WaitQueue<Job>)>,
    engines: HashMap<String, Engine>,
    // Time, node, and what ends then.
    events: Vec<(u64, usize, Step)>,
    // Books on their way to the cache store, with the time of their event.
    saves: Vec<(u64, u64)>,
    outcome: Outcome,
}

#[derive(Clone, Copy)]
struct Job {
    is_long: bool,
    book: u64,
    arrived_ms: u64,
}

enum Step {
    FirstEvent(Box<Assignment>, Job),
    Ended(Box<Assignment>),
}

impl Fleet {
    fn new(pattern: &Pattern) -> Self {
        let listed = engines(pattern.engines, 1);
        let nodes = (0..NODES).map(|seed| {
            let mut scheduler = scheduler(seed as u64);
            scheduler.set_upstreams(listed.clone(), 0);
            scheduler.set_target_version(MODEL, WeightsVersion(1), 0);
            scheduler.set_members(NODES);
            scheduler.set_cache_store(Some(std::net::SocketAddr::from(([10, 1, 0, 1], 80))));
            scheduler.set_cache_store_subscription(Some(1));
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
                    // Some books are asked for more than others.
                    let book = (rng.random::<f64>().powi(2) * BOOKS as f64) as u64;
                    let job = Job { is_long, book, arrived_ms: now_ms };
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
            true => long_prompt(job.book, now_ms),
            false => short_prompt(now_ms),
        };
        let (scheduler, waiting) = &mut self.nodes[node];
        scheduler.count_prompt(&prompt, now_ms);
        let answers = waiting.enqueue(scheduler, ask(Some(prompt), now_ms), job, now_ms);
        self.give(node, answers, now_ms);
    }

    fn give(&mut self, node: usize, answers: Vec<(Job, Choice)>, now_ms: u64) {
        for (job, choice) in answers {
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
            self.saves.push((now_ms + SAVE_MS, job.book));
        }
        let engine = self.engines.get_mut(&assignment.upstream.id).expect("listed");
        let read_ms = match job.is_long {
            false => 380.0 / READ_TOKENS_PER_MS,
            true => {
                let holds = engine.books.contains(&job.book);
                engine.books.retain(|book| *book != job.book);
                engine.books.push_back(job.book);
                // A dozen books fit beside the running requests.
                if engine.books.len() > 12 {
                    engine.books.pop_front();
                }
                let own_ms = 3_720.0 / READ_TOKENS_PER_MS;
                match (holds, assignment.fetch_from.is_some()) {
                    (true, _) => own_ms,
                    (false, true) => own_ms + FETCH_MS,
                    (false, false) => {
                        self.outcome.read_again += 1;
                        own_ms + 13_300.0 / READ_TOKENS_PER_MS
                    }
                }
            }
        };
        let begins_ms = engine.free_at_ms.max(now_ms as f64);
        engine.free_at_ms = begins_ms + read_ms;
        let first_ms = (engine.free_at_ms + FIRST_MS) as u64;
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
                    let outcome =
                        AttemptOutcome { verdict: Verdict::Served, is_misdirected: false };
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
        self.saves.retain(|&(at_ms, book)| {
            if at_ms > now_ms {
                return true;
            }
            let change = CacheChange { scope: "w1".to_owned(), part: PartId(book), tokens: 13_300 };
            for (scheduler, _) in &mut self.nodes {
                scheduler.apply_cache_store_changes(vec![change.clone()], now_ms);
            }
            false
        });
        if now_ms.is_multiple_of(DIGEST_MS) {
            self.tell(now_ms);
        }
        if now_ms.is_multiple_of(20) {
            for node in 0..NODES {
                let (scheduler, waiting) = &mut self.nodes[node];
                let answers = waiting.dispatch(scheduler, now_ms, |_| false);
                self.give(node, answers, now_ms);
            }
        }
    }

    fn tell(&mut self, now_ms: u64) {
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

/// The quiet mix of a site with 18 engines.
const QUIET: Pattern = Pattern {
    short_per_s: 204.0,
    long_per_s: 23.5,
    burst: 0..0,
    long_factor: 1.0,
    span_ms: 12_000,
    engines: 18,
};

#[test]
fn short_prompts_are_not_held_up_by_long_ones() {
    let outcome = Fleet::new(&QUIET).run(&QUIET);
    let (short, long) = (Outcome::share(outcome.short), Outcome::share(outcome.long));
    assert!(short > 0.99, "short prompts in time: {short:.3}");
    assert!(long > 0.97, "long prompts in time: {long:.3}");
}

#[test]
fn a_long_prefix_is_read_by_few_engines() {
    let outcome = Fleet::new(&QUIET).run(&QUIET);
    // Each book once or twice: the requests of all nodes find or fetch it.
    let asked = outcome.long[0] + outcome.long[1];
    assert!(asked > 200);
    assert!(f64::from(outcome.read_again) < 1.5 * BOOKS as f64, "read {}", outcome.read_again);
}

#[test]
fn a_burst_of_long_prompts_leaves_the_short_ones_in_time() {
    // Half of the engines are gone, and 2.6 times the long prompts come for five seconds.
    let pattern = Pattern { burst: 2_000..7_000, long_factor: 2.6, engines: 9, ..QUIET };
    let outcome = Fleet::new(&pattern).run(&pattern);
    let (short, long) = (Outcome::share(outcome.short), Outcome::share(outcome.long));
    assert!(short > 0.97, "short prompts in time: {short:.3}");
    assert!(long > 0.6, "long prompts in time: {long:.3}");
}

#[test]
fn far_too_much_load_still_serves_what_fits() {
    // Three engines for the load of 18: they read some 60 cold or 180 warm long prompts in 6 s.
    let pattern = Pattern { engines: 3, short_per_s: 60.0, ..QUIET };
    let outcome = Fleet::new(&pattern).run(&pattern);
    let short = Outcome::share(outcome.short);
    assert!(short > 0.9, "short prompts in time: {short:.3}");
    assert!(outcome.long[0] > 60, "long prompts in time: {}", outcome.long[0]);
}

struct PauseCase {
    name: &'static str,
    left_ms: u64,
}

#[test]
fn refusals_spread_the_return_within_a_third_of_the_time() {
    let cases =
        [PauseCase { name: "long", left_ms: 9_000 }, PauseCase { name: "short", left_ms: 900 }];
    for case in cases {
        let mut scheduler = scheduler(3);
        scheduler.set_upstreams(engines(1, 1), 0);
        let mut waiting = WaitQueue::default();
        let mut pauses_ms = Vec::new();
        for request in 0..400_u64 {
            let mut ask = ask(Some(long_prompt(request, request)), 0);
            ask.deadline_ms = case.left_ms;
            for (_, choice) in waiting.enqueue(&mut scheduler, ask, request, 0) {
                if let Choice::Refuse { retry_after_ms, .. } = choice {
                    pauses_ms.push(retry_after_ms);
                }
            }
        }
        assert!(pauses_ms.len() > 200, "{}: {} refused at once", case.name, pauses_ms.len());
        let longest_ms = pauses_ms.iter().max().copied().unwrap_or(0);
        let least_ms = pauses_ms.iter().min().copied().unwrap_or(0);
        assert!(longest_ms <= case.left_ms / 3, "{}: {longest_ms}", case.name);
        assert!(longest_ms > least_ms + longest_ms / 3, "{}: not spread", case.name);
    }
}
