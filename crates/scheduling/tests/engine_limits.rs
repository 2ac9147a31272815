//! Tests of the learned limits of concurrent work.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::VERSION_LIMIT_MS;
use support::request;

use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_scheduling::engine_model::ConcurrencyLimit;
use redwingrill_scheduling::engine_model::StepStatistics;
use redwingrill_scheduling::fleet::NODES_PER_DIGEST_PERIOD;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::retry_budget::RetryBudgetSpec;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::SchedulerOptions;

/// An engine whose step takes `alone_ms` and `per_request_ms` for each request in its batch.
#[derive(Clone, Copy)]
struct Steps {
    slots: u32,
    alone_ms: f64,
    per_request_ms: f64,
}

/// An engine at which a step takes 8 ms at 48 requests, and 3.8 ms alone.
const BATCHING: Steps = Steps { slots: 48, alone_ms: 3.71, per_request_ms: 0.0893 };

const UPDATE_MS: u64 = 200;

/// Lets a limit learn for a while from noisy samples at loads up to its own limit.
fn learn(limit: &mut ConcurrencyLimit, steps: Steps, span_ms: std::ops::Range<u64>, per_s: u64) {
    let mut rng = SmallRng::seed_from_u64(span_ms.start);
    for now_ms in span_ms.step_by(20) {
        // The load swings within two seconds, as arrivals do.
        let swing = 0.6 + 0.4 * (now_ms as f64 / 300.0).sin();
        let most = f64::from(limit.get(steps.slots)) * swing;
        if rng.random_bool(per_s as f64 * 0.02) {
            let load = rng.random_range(1..=(most as u32).max(1));
            let time_ms = steps.alone_ms + steps.per_request_ms * f64::from(load);
            limit.observe_stream(load, time_ms * rng.random_range(0.7..1.4), now_ms);
        }
        if now_ms.is_multiple_of(UPDATE_MS) {
            limit.update(steps.slots, now_ms);
        }
    }
}

struct Case {
    name: &'static str,
    steps: Steps,
    expected: std::ops::RangeInclusive<u32>,
}

/// Guards against limits that cut the batches of engines whose steps hardly grow with them.
#[test]
fn limit_is_where_a_step_takes_twice_as_long_as_alone() {
    let cases = [
        Case { name: "batches of 48", steps: BATCHING, expected: 34..=48 },
        Case {
            name: "steps that hardly grow",
            steps: Steps { slots: 12, alone_ms: 3.7, per_request_ms: 0.0193 },
            expected: 12..=12,
        },
        Case {
            name: "slow long before it is full",
            steps: Steps { slots: 48, alone_ms: 4.0, per_request_ms: 0.5 },
            expected: 7..=10,
        },
    ];
    for Case { name, steps, expected } in cases {
        let mut limit = ConcurrencyLimit::default();
        learn(&mut limit, steps, 0..20_000, 20);
        let learned = limit.get(steps.slots);
        assert!(expected.contains(&learned), "{name}: {learned}, expected {expected:?}");
    }
}

/// Guards against limits that outlive their cause, and against idle engines that count as slow.
#[test]
fn limit_follows_a_change_within_seconds_and_stays_while_idle() {
    let slow = Steps { per_request_ms: 0.5, ..BATCHING };
    let mut limit = ConcurrencyLimit::default();
    learn(&mut limit, BATCHING, 0..20_000, 20);
    learn(&mut limit, slow, 20_000..32_000, 20);
    let slowed = limit.get(BATCHING.slots);
    assert!((5..=12).contains(&slowed), "{slowed} after it became slow");
    // An idle engine gives no samples, which does not make it slow or fast.
    for now_ms in (32_000..92_000).step_by(UPDATE_MS as usize) {
        limit.update(BATCHING.slots, now_ms);
    }
    assert_eq!(limit.get(BATCHING.slots), slowed, "changed while idle");
    learn(&mut limit, BATCHING, 92_000..107_000, 20);
    let recovered = limit.get(BATCHING.slots);
    assert!(recovered >= 30, "{recovered} after it became fast again");
}

/// Guards against one node that lowers the limits of all for good.
#[test]
fn false_report_is_bounded_and_forgotten() {
    let mut false_steps = StepStatistics::default();
    (0..5_000).for_each(|n| false_steps.observe(f64::from(n % 8), 1.0 + 400.0 * f64::from(n % 8)));
    let reported: [f32; 6] = (&false_steps).into();
    let mut limit = ConcurrencyLimit::default();
    learn(&mut limit, BATCHING, 0..20_000, 20);
    limit.set_peers(reported.into());
    learn(&mut limit, BATCHING, 20_000..22_000, 20);
    limit.set_peers(StepStatistics::default());
    learn(&mut limit, BATCHING, 22_000..37_000, 20);
    let learned = limit.get(BATCHING.slots);
    assert!(learned >= 30, "{learned} after the false report ended");
    for impossible in [[f32::NAN; 6], [-1.0; 6], [1.0, 1e9, 1.0, 1.0, 1.0, 1.0]] {
        assert_eq!(StepStatistics::from(impossible), StepStatistics::default(), "{impossible:?}");
    }
}

const NODES: usize = 79;
const INSTANCES: usize = 3;
const SLOTS: u32 = 6;
const PLAIN: &str = "plain";
const DIGEST_MS: u64 = 100;

struct Call {
    node: usize,
    assignment: Box<Assignment>,
    remaining_ms: f64,
}

/// A plain service with a few instances that many nodes use.
struct PlainFleet {
    nodes: Vec<Scheduler>,
    /// The calls that each instance runs at full speed; more of them share its time.
    capacities: [f64; INSTANCES],
    running: Vec<Vec<Call>>,
    waiting: Vec<(usize, ScheduleRequest)>,
    refused: u32,
    rng: SmallRng,
}

impl PlainFleet {
    fn new(seed: u64) -> Self {
        let listed = (0..INSTANCES).map(|index| {
            Arc::new(Upstream {
                id: format!("plain-{index}"),
                service: PLAIN.to_owned(),
                address: std::net::SocketAddr::from(([10, 0, 0, index as u8], 80)),
                failure_domain: "a".to_owned(),
                slots: SLOTS,
                state: UpstreamState::Ready,
                warm_up_remaining: Duration::ZERO,
                models: Vec::new(),
                started_unix_ms: None,
                software: None,
            })
        });
        let listed: Vec<_> = listed.collect();
        let nodes = (0..NODES).map(|node| {
            let mut scheduler = Scheduler::new(SchedulerOptions {
                node: format!("node-{node}"),
                failure_domain: "a".to_owned(),
                budget: RetryBudgetSpec { ratio: 0.2, allowance: 54.0, window_ms: 10_000 },
                version_limit_ms: VERSION_LIMIT_MS,
                limits_concurrency: true,
                seed: seed + node as u64,
            });
            scheduler.set_upstreams(listed.clone(), 0);
            scheduler.set_members(NODES);
            scheduler
        });
        Self {
            nodes: nodes.collect(),
            capacities: [f64::from(SLOTS); INSTANCES],
            running: (0..INSTANCES).map(|_| Vec::new()).collect(),
            waiting: Vec::new(),
            refused: 0,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn run(&mut self, span_ms: std::ops::Range<u64>) {
        for now_ms in span_ms {
            // 218 calls a second on average, with swings of several seconds.
            let per_s = 218.0 * (1.0 + 0.5 * (now_ms as f64 / 700.0).sin());
            if self.rng.random_bool(per_s / 1_000.0) {
                let node = self.rng.random_range(0..NODES);
                let service = PLAIN.to_owned();
                let call = ScheduleRequest { service, ..request(None, now_ms) };
                self.waiting.push((node, call));
            }
            for (node, call) in std::mem::take(&mut self.waiting) {
                match self.nodes[node].choose(&call, now_ms) {
                    Choice::Send(assignment) => {
                        let id = &assignment.upstream.id;
                        let instance = (0..INSTANCES).find(|n| *id == format!("plain-{n}"));
                        let remaining_ms = 40.0 * self.rng.random_range(0.5..1.5);
                        let call = Call { node, assignment, remaining_ms };
                        self.running[instance.expect("it is listed")].push(call);
                    }
                    Choice::Wait => self.waiting.push((node, call)),
                    Choice::Refuse { .. } => self.refused += 1,
                }
            }
            self.advance(now_ms);
            if now_ms.is_multiple_of(DIGEST_MS) {
                self.exchange_digests(now_ms);
            }
        }
    }

    fn advance(&mut self, now_ms: u64) {
        for (calls, capacity) in self.running.iter_mut().zip(self.capacities) {
            let speed = (capacity / calls.len().max(1) as f64).min(1.0);
            calls.iter_mut().for_each(|call| call.remaining_ms -= speed);
            let (ended, running) = calls.drain(..).partition(|call| call.remaining_ms <= 0.0);
            *calls = running;
            let ended: Vec<Call> = ended;
            for Call { node, assignment, .. } in ended {
                let scheduler = &mut self.nodes[node];
                scheduler.record_prefill_done(&assignment, now_ms);
                let outcome = AttemptOutcome { verdict: Verdict::Served, misdirection: None };
                scheduler.record_attempt_end(assignment.index, 0, 0, &outcome, now_ms);
            }
        }
    }

    fn exchange_digests(&mut self, now_ms: u64) {
        let nodes = self.nodes.iter_mut().enumerate();
        let digests: Vec<_> =
            nodes.map(|(index, node)| node.digest(index as u64, now_ms)).collect();
        let offset = (now_ms / DIGEST_MS) as usize * NODES_PER_DIGEST_PERIOD;
        for (sender, digest) in digests.into_iter().enumerate() {
            for step in 0..NODES_PER_DIGEST_PERIOD {
                let receiver = (sender + 1 + (offset + step) % (NODES - 1)) % NODES;
                self.nodes[receiver].observe_peer(digest.clone(), now_ms);
            }
        }
    }

    /// Returns the limits of an instance at all nodes, sorted.
    fn limits(&self, instance: usize) -> Vec<u32> {
        let id = format!("plain-{instance}");
        let limits = self.nodes.iter().flat_map(|node| {
            let mut entries = node.fleet().iter();
            let entry = entries.find(|(_, entry)| entry.upstream.id == id);
            entry.map(|(_, entry)| node.concurrency_limit(entry))
        });
        let mut limits: Vec<u32> = limits.collect();
        limits.sort_unstable();
        limits
    }
}

/// Guards against nodes that, with three calls a second each, never learn the limit of an instance,
/// disagree about it, or keep it after its cause has ended.
#[test]
fn many_nodes_follow_the_limit_of_an_instance() {
    for seed in 0..3 {
        let mut fleet = PlainFleet::new(seed * 100);
        let mut end_ms = 0;
        // The calls that the first instance runs at full speed, and its limit at the nodes then.
        for (capacity, span_ms, expected) in
            [(6.0, 10_000, 5..=6), (2.0, 8_000, 1..=4), (6.0, 10_000, 5..=6)]
        {
            fleet.capacities[0] = capacity;
            fleet.run(end_ms..end_ms + span_ms);
            end_ms += span_ms;
            let limits = fleet.limits(0);
            let spread = limits[NODES - 1] - limits[0];
            println!("seed {seed}, {capacity} at once: {} to {}", limits[0], limits[NODES - 1]);
            assert!(expected.contains(&limits[NODES / 2]), "{capacity} at once: {limits:?}");
            assert!(spread <= 2, "{capacity} at once: {limits:?}");
            for other in 1..INSTANCES {
                let limit = fleet.limits(other)[NODES / 2];
                assert!(limit >= 4, "{capacity} at once: {limit} at an instance without change");
            }
        }
        assert_eq!(fleet.refused, 0);
        assert!(fleet.waiting.len() < 10, "{} calls wait", fleet.waiting.len());
    }
}
