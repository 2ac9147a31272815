//! Parts of prompts that crash engines: replay of the load over many nodes, and failures that must
//! not quarantine anything.

mod support;

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::MODEL;
use support::SERVICE;
use support::prompt;

use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::Upstream;
use redwingrill_scheduling::fleet::DIGEST_PERIOD_MS;
use redwingrill_scheduling::fleet::NODES_PER_DIGEST_PERIOD;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::quarantine::BrokenAttempt;
use redwingrill_scheduling::quarantine::CompletedAttempt;
use redwingrill_scheduling::quarantine::Generations;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::quarantine::Quarantine;
use redwingrill_scheduling::quarantine::QuarantineDigest;
use redwingrill_scheduling::quarantine::RequestTag;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::WaitQueue;

const CRASH_PART: u64 = 0xbad;
const STEP_MS: u64 = 5;
const WARM_UP_MS: u64 = 3_000;
const DOWN_MS: u64 = 4_000;
const CRASH_AFTER_MS: u64 = 150;

/// After the fifth crash, the time within which all nodes must refuse the part.
const KNOWN_AFTER_MS: u64 = 3_000;

/// What is wrong beside the sound requests.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Fault {
    /// Requests with the part, this many a second.
    CrashPart { per_s: f64 },
    /// A share of all engines ends at one moment.
    MassEnd { percent: usize },
    /// Some engines end again and again.
    Flapping { engines: usize },
    /// This percentage of the answers is broken off alone.
    Garbled { percent: u32 },
}

#[derive(Clone, Copy, Debug)]
struct Replay {
    name: &'static str,
    nodes: usize,
    engines: usize,
    sound_per_s: f64,
    /// The documents that sound requests share, the first ones often.
    documents: u64,
    /// The document of the requests that crash engines; zero for any.
    crash_document: u64,
    warm_up_ms: u64,
    fault: Fault,
}

#[derive(Clone, Debug)]
struct Request {
    node: usize,
    prompt: DeclaredPrompt,
    is_crashing: bool,
    attempts: u32,
}

#[derive(Clone, Debug)]
struct Run {
    request: Request,
    sent_ms: u64,
    ends_ms: u64,
    is_garbled: bool,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    starts: u32,
    down_until_ms: u64,
    runs: Vec<Run>,
}

#[derive(Debug, Default)]
struct Outcome {
    crashes_ms: Vec<u64>,
    // The times at which attempts with the part were sent.
    crashing_sends_ms: Vec<u64>,
    sound: u32,
    sound_refused: u32,
    held: Vec<u64>,
}

impl Outcome {
    /// Attempts with the part that were sent later than the bound after the fifth crash.
    fn late_sends(&self) -> usize {
        let Some(fifth_ms) = self.crashes_ms.get(4) else { return 0 };
        let late = self.crashing_sends_ms.iter();
        late.filter(|at_ms| **at_ms > fifth_ms + KNOWN_AFTER_MS).count()
    }

    /// How long after the fifth crash the last attempt with the part was sent.
    fn last_send_ms(&self) -> u64 {
        let fifth_ms = self.crashes_ms.get(4).copied().unwrap_or(u64::MAX);
        self.crashing_sends_ms.last().map_or(0, |at_ms| at_ms.saturating_sub(fifth_ms))
    }
}

struct Simulation {
    replay: Replay,
    rng: SmallRng,
    nodes: Vec<Quarantine>,
    engines: Vec<Engine>,
    // Digests on their way, by the time of arrival: from, to, digest.
    transit: BTreeMap<u64, Vec<(usize, usize, QuarantineDigest)>>,
    next_own: u64,
    outcome: Outcome,
}

impl Simulation {
    fn new(replay: Replay, seed: u64) -> Self {
        let mut nodes = vec![Quarantine::default(); replay.nodes];
        nodes.iter_mut().for_each(|node| node.set_members(replay.nodes));
        Self {
            replay,
            rng: SmallRng::seed_from_u64(seed),
            nodes,
            engines: vec![Engine::default(); replay.engines],
            transit: BTreeMap::new(),
            next_own: 1 << 32,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, until_ms: u64) -> Outcome {
        for now_ms in (STEP_MS..until_ms).step_by(STEP_MS as usize) {
            self.deliver_digests(now_ms);
            self.end_runs(now_ms);
            self.strike(now_ms);
            let arrivals = self.arrivals(self.replay.sound_per_s);
            (0..arrivals).for_each(|_| self.arrive(false, now_ms));
            if let Fault::CrashPart { per_s } = self.replay.fault
                && now_ms > self.replay.warm_up_ms
            {
                let arrivals = self.arrivals(per_s);
                (0..arrivals).for_each(|_| self.arrive(true, now_ms));
            }
            self.send_digests(now_ms);
        }
        for node in &self.nodes {
            node.verify().expect("the tables are within their bounds");
            self.outcome.held.extend(node.held().map(|key| key.part));
        }
        self.outcome.held.sort_unstable();
        self.outcome.held.dedup();
        self.outcome
    }

    fn arrivals(&mut self, per_s: f64) -> u32 {
        let expected = per_s * STEP_MS as f64 / 1_000.0;
        expected as u32 + u32::from(self.rng.random_bool(expected.fract()))
    }

    fn arrive(&mut self, is_crashing: bool, now_ms: u64) {
        self.next_own += 1;
        // The square makes the first documents hot and the last ones rare.
        let rank = self.rng.random::<f64>().powi(2);
        let document = 1 + (rank * self.replay.documents as f64) as u64;
        let crash_document = match self.replay.crash_document {
            0 => document,
            crash_document => crash_document,
        };
        let prompt = match is_crashing {
            true => prompt(&[(crash_document, 13_300), (CRASH_PART, 400), (self.next_own, 300)]),
            false => prompt(&[(document, 13_300), (self.next_own, 300)]),
        };
        let node = self.rng.random_range(0..self.nodes.len());
        if !is_crashing {
            self.outcome.sound += 1;
        }
        self.send(Request { node, prompt, is_crashing, attempts: 0 }, now_ms);
    }

    fn send(&mut self, mut request: Request, now_ms: u64) {
        if self.nodes[request.node].block(SERVICE, &request.prompt, now_ms).is_some() {
            self.outcome.sound_refused += u32::from(!request.is_crashing);
            return;
        }
        let live: Vec<usize> =
            (0..self.engines.len()).filter(|e| self.engines[*e].down_until_ms <= now_ms).collect();
        if live.is_empty() || request.attempts == 2 {
            return;
        }
        request.attempts += 1;
        if request.is_crashing {
            self.outcome.crashing_sends_ms.push(now_ms);
        }
        let engine = live[self.rng.random_range(0..live.len())];
        let takes_ms = match request.is_crashing {
            true => CRASH_AFTER_MS,
            false => self.rng.random_range(300..1_500),
        };
        let is_garbled = match self.replay.fault {
            Fault::Garbled { percent } => self.rng.random_ratio(percent, 100),
            _ => false,
        };
        let run = Run { request, sent_ms: now_ms, ends_ms: now_ms + takes_ms, is_garbled };
        self.engines[engine].runs.push(run);
    }

    fn end_runs(&mut self, now_ms: u64) {
        for index in 0..self.engines.len() {
            let tag = self.tag(index);
            let runs = std::mem::take(&mut self.engines[index].runs);
            let (ended, running): (Vec<Run>, Vec<Run>) =
                runs.into_iter().partition(|run| run.ends_ms <= now_ms);
            self.engines[index].runs = running;
            let is_crash = ended.iter().any(|run| run.request.is_crashing);
            for run in ended {
                if run.request.is_crashing || run.is_garbled {
                    self.break_run(tag, run, now_ms);
                    continue;
                }
                let parts = PartKey::shared_parts(SERVICE, &run.request.prompt);
                let completed =
                    CompletedAttempt { engine: tag, parts: &parts, sent_ms: run.sent_ms };
                self.nodes[run.request.node].record_completed(&completed, now_ms);
            }
            if is_crash {
                self.outcome.crashes_ms.push(now_ms);
                self.end_engine(index, now_ms);
            }
        }
    }

    fn end_engine(&mut self, index: usize, now_ms: u64) {
        let tag = self.tag(index);
        let engine = &mut self.engines[index];
        engine.starts += 1;
        engine.down_until_ms = now_ms + DOWN_MS;
        for run in std::mem::take(&mut engine.runs) {
            self.break_run(tag, run, now_ms);
        }
    }

    fn break_run(&mut self, engine: UpstreamTag, run: Run, now_ms: u64) {
        let parts = PartKey::shared_parts(SERVICE, &run.request.prompt);
        let request = RequestTag::of(&run.request.prompt);
        let broken = BrokenAttempt { engine, request, parts: &parts, sent_ms: run.sent_ms };
        self.nodes[run.request.node].record_broken((SERVICE, MODEL), &broken, now_ms);
        self.send(run.request, now_ms);
    }

    /// Ends engines for other reasons than a part.
    fn strike(&mut self, now_ms: u64) {
        match self.replay.fault {
            Fault::MassEnd { percent } if now_ms == self.replay.warm_up_ms => {
                let count = self.engines.len() * percent / 100;
                (0..count).for_each(|index| self.end_engine(index, now_ms));
            }
            Fault::Flapping { engines } if now_ms >= self.replay.warm_up_ms => {
                for index in 0..engines {
                    let is_up = self.engines[index].down_until_ms + 500 <= now_ms;
                    if is_up && self.rng.random_ratio(1, 100) {
                        self.end_engine(index, now_ms);
                    }
                }
            }
            _ => {}
        }
    }

    fn send_digests(&mut self, now_ms: u64) {
        let nodes = self.nodes.len();
        for from in 0..nodes {
            // Each node sends at a time of its own.
            if !(now_ms + 7 * from as u64 / STEP_MS * STEP_MS).is_multiple_of(DIGEST_PERIOD_MS) {
                continue;
            }
            let digest = self.nodes[from].digest(now_ms);
            let recipients = NODES_PER_DIGEST_PERIOD.min(nodes - 1);
            let turn = (now_ms / DIGEST_PERIOD_MS) as usize * recipients;
            for offset in 0..recipients {
                let to = (from + 1 + (turn + offset) % (nodes - 1)) % nodes;
                if self.rng.random_ratio(2, 100) {
                    continue;
                }
                let arrives_ms = now_ms + self.rng.random_range(5..60);
                self.transit.entry(arrives_ms).or_default().push((from, to, digest.clone()));
            }
        }
    }

    fn deliver_digests(&mut self, now_ms: u64) {
        let later = self.transit.split_off(&(now_ms + 1));
        for (from, to, digest) in
            std::mem::replace(&mut self.transit, later).into_values().flatten()
        {
            self.nodes[to].merge(from as u64, &digest, now_ms);
        }
    }

    fn tag(&self, index: usize) -> UpstreamTag {
        UpstreamTag::of(&format!("engine-{index}.{}", self.engines[index].starts))
    }
}

const SITE: Replay = Replay {
    name: "site",
    nodes: 7,
    engines: 18,
    sound_per_s: 200.0,
    documents: 60,
    crash_document: 1,
    warm_up_ms: WARM_UP_MS,
    fault: Fault::CrashPart { per_s: 5.0 },
};

const LARGE: Replay =
    Replay { name: "large", nodes: 88, engines: 230, sound_per_s: 1_500.0, documents: 300, ..SITE };

const SEEDS: u64 = 6;

#[test]
fn part_that_crashes_engines_is_sent_again_and_again() {
    let replays = [
        SITE,
        Replay { name: "site, 2/s", fault: Fault::CrashPart { per_s: 2.0 }, ..SITE },
        Replay { name: "site, a rare document", crash_document: 60, ..SITE },
        Replay { name: "site, a document of its own", crash_document: 61, ..SITE },
        Replay { name: "site, any document", crash_document: 0, ..SITE },
        Replay { name: "site, at the begin of the load", warm_up_ms: 0, ..SITE },
        LARGE,
    ];
    for replay in replays {
        let (seeds, lasts_ms) = if replay.nodes > 20 { (1, 6_000) } else { (SEEDS, 12_000) };
        let (mut crashes, mut last_sends_ms) = (Vec::new(), Vec::new());
        for seed in 0..seeds {
            let outcome = Simulation::new(replay, seed).run(replay.warm_up_ms + lasts_ms);
            let name = replay.name;
            crashes.push(outcome.crashes_ms.len());
            last_sends_ms.push(outcome.last_send_ms());
            assert!(outcome.late_sends() <= 3, "{name}, seed {seed}: {:?}", outcome.late_sends());
            assert!(!outcome.held.is_empty(), "{name}, seed {seed}");
            // Only the part, alone or together with a document that comes with it.
            let documents = match replay.crash_document {
                0 => 1..=replay.documents,
                document => document..=document,
            };
            let joint = |document: u64| key(document).joint(key(CRASH_PART)).part;
            let expected: Vec<u64> = documents.map(joint).chain([CRASH_PART]).collect();
            let others = outcome.held.iter().filter(|part| !expected.contains(part));
            assert_eq!(others.count(), 0, "{name}, seed {seed}: {:?}", outcome.held);
            assert_eq!(outcome.sound_refused, 0, "{name}, seed {seed}");
        }
        let name = replay.name;
        println!("{name}: crashes {crashes:?}, last sent after the fifth, ms: {last_sends_ms:?}");
    }
}

#[test]
fn failures_of_engines_quarantine_sound_parts() {
    let faults = [
        ("a quarter ends at once", Fault::MassEnd { percent: 25 }),
        ("all end at once", Fault::MassEnd { percent: 100 }),
        ("four engines flap", Fault::Flapping { engines: 4 }),
        ("twelve engines flap", Fault::Flapping { engines: 12 }),
        ("all engines flap", Fault::Flapping { engines: 18 }),
        ("5 in 100 answers are garbled", Fault::Garbled { percent: 5 }),
    ];
    for (name, fault) in faults {
        for seed in 0..SEEDS {
            let replay = Replay { name, fault, ..SITE };
            let outcome = Simulation::new(replay, seed).run(WARM_UP_MS + 15_000);
            assert!(outcome.held.is_empty(), "{name}, seed {seed}: {:?}", outcome.held);
            assert_eq!(outcome.sound_refused, 0, "{name}, seed {seed}");
        }
    }
}

fn key(part: u64) -> PartKey {
    let prompt = prompt(&[(part, 1), (0, 1)]);
    PartKey::shared_parts(SERVICE, &prompt)[0]
}

/// Records an attempt of request `n` at an engine of its own that breaks at `now_ms`.
fn break_attempt(quarantine: &mut Quarantine, n: u64, now_ms: u64) {
    let engine = UpstreamTag::of(&format!("e{n}"));
    let request = RequestTag::of(&prompt(&[(7, 1), (n, 1)]));
    let broken =
        BrokenAttempt { engine, request, parts: &[key(7)], sent_ms: now_ms.saturating_sub(100) };
    quarantine.record_broken((SERVICE, MODEL), &broken, now_ms);
}

fn is_blocked(quarantine: &mut Quarantine, now_ms: u64) -> bool {
    quarantine.block(SERVICE, &prompt(&[(7, 1), (1, 1)]), now_ms).is_some()
}

quickcheck! {
    /// A part with a completed answer between each two breaks is never quarantined.
    fn part_that_also_succeeds_is_quarantined(gaps_ms: Vec<u16>) -> bool {
        let mut quarantine = Quarantine::default();
        let mut now_ms = 1_000;
        for (n, gap_ms) in (0..).zip(gaps_ms) {
            now_ms += 300 + u64::from(gap_ms);
            break_attempt(&mut quarantine, n, now_ms);
            let engine = UpstreamTag::of("sound");
            let completed = CompletedAttempt { engine, parts: &[key(7)], sent_ms: now_ms };
            now_ms += 1 + u64::from(gap_ms) / 2;
            quarantine.record_completed(&completed, now_ms);
            if is_blocked(&mut quarantine, now_ms + 1_000) {
                return false;
            }
        }
        true
    }

    /// Attempts that all break within the gap of generations are one generation.
    fn mass_failure_counts_as_generations(sent_ms: Vec<u16>) -> bool {
        let mut generations = Generations::default();
        for (n, sent_ms) in sent_ms.iter().enumerate() {
            let broken_ms = 100_000 + n as u64 % 100;
            generations.add(UpstreamTag(n as u32), u64::from(*sent_ms), broken_ms);
        }
        generations.count() == usize::from(!sent_ms.is_empty())
    }
}

/// Records the break of a request with two parts at an engine of its own.
fn break_pair(quarantine: &mut Quarantine, parts: [u64; 2], n: u64) {
    let now_ms = 1_000 + n * 400;
    let engine = UpstreamTag::of(&format!("e{n}"));
    let request = RequestTag::of(&prompt(&[(parts[0], 1), (parts[1], 1), (n, 1)]));
    let parts = &parts.map(key);
    let broken = BrokenAttempt { engine, request, parts, sent_ms: now_ms - 100 };
    quarantine.record_broken((SERVICE, MODEL), &broken, now_ms);
}

/// Two parts that always came together: either may be the cause.
#[test]
fn sound_part_is_refused_for_the_one_that_came_with_it() {
    let mut quarantine = Quarantine::default();
    let is_refused = |quarantine: &mut Quarantine, parts: &[u64], now_ms| {
        let parts: Vec<(u64, u32)> = parts.iter().chain([&1]).map(|part| (*part, 1)).collect();
        quarantine.block(SERVICE, &prompt(&parts), now_ms).is_some()
    };
    (0..3).for_each(|n| break_pair(&mut quarantine, [7, 8], n));
    assert!(is_refused(&mut quarantine, &[7, 8], 4_000));
    assert!(is_refused(&mut quarantine, &[8, 7], 4_000));
    assert!(!is_refused(&mut quarantine, &[7], 4_000));
    assert!(!is_refused(&mut quarantine, &[8], 4_000));
    // Beside other parts the cause shows.
    (10..14).for_each(|n| break_pair(&mut quarantine, [20 + n, 8], n));
    assert!(is_refused(&mut quarantine, &[8], 9_000));
    assert!(!is_refused(&mut quarantine, &[7], 9_000));
}

/// An engine may start again under the identity that it had.
#[test]
fn starts_of_an_engine_under_one_identity_count_as_one_engine() {
    let upstream = |started_unix_ms| {
        let listed = support::engine("e", 1);
        Upstream { started_unix_ms, ..(*listed).clone() }
    };
    let mut quarantine = Quarantine::default();
    for n in 0..4 {
        let now_ms = 1_000 + n * 2_000;
        let engine = UpstreamTag::of_start(&upstream(Some(now_ms)));
        let request = RequestTag::of(&prompt(&[(7, 1), (n, 1)]));
        let sent_ms = now_ms - 100;
        let broken = BrokenAttempt { engine, request, parts: &[key(7)], sent_ms };
        quarantine.record_broken((SERVICE, MODEL), &broken, now_ms);
    }
    assert!(is_blocked(&mut quarantine, 10_000));
    assert_eq!(UpstreamTag::of_start(&upstream(None)), UpstreamTag::of_start(&upstream(None)));
}

/// A digest has room for some of the parts that were answered; the others have their turn.
#[test]
fn answers_beyond_the_limit_of_a_digest_never_reach_other_nodes() {
    const PARTS: u64 = 100;
    let (mut node, mut other) = (Quarantine::default(), Quarantine::default());
    let engine = UpstreamTag::of("e");
    let parts: Vec<PartKey> = (0..PARTS).map(key).collect();
    for part in &parts {
        let request = RequestTag::of(&prompt(&[(part.part, 1), (1, 1)]));
        let parts = std::slice::from_ref(part);
        let broken = BrokenAttempt { engine, request, parts, sent_ms: 900 };
        node.record_broken((SERVICE, MODEL), &broken, 1_000);
    }
    node.record_completed(&CompletedAttempt { engine, parts: &parts, sent_ms: 950 }, 1_100);
    let mut reported = std::collections::BTreeSet::new();
    for n in 0..5 {
        let digest = node.digest(1_200 + n * DIGEST_PERIOD_MS);
        other.merge(1, &digest, 1_210 + n * DIGEST_PERIOD_MS);
        reported.extend(digest.completed.iter().map(|(part, _)| part.part));
    }
    assert_eq!(reported.len() as u64, PARTS);
}

/// Victims of each crash fill the table of evidence within seconds.
#[test]
fn victims_of_a_large_fleet_displace_the_part_that_crashes_engines() {
    const CRASH_PERIOD_MS: u64 = 66;
    let mut quarantine = Quarantine::default();
    quarantine.set_members(195);
    for n in 0..150 {
        let now_ms = 1_000 + n * CRASH_PERIOD_MS;
        let engine = UpstreamTag::of(&format!("e{n}"));
        for victim in 0..26 {
            let part = if victim == 0 { 7 } else { 1_000 + n * 100 + victim };
            let request = RequestTag::of(&prompt(&[(part, 1), (n * 100 + victim, 1)]));
            let parts = &[key(part)];
            let broken = BrokenAttempt { engine, request, parts, sent_ms: now_ms - 100 };
            quarantine.record_broken((SERVICE, MODEL), &broken, now_ms);
        }
        is_blocked(&mut quarantine, now_ms);
    }
    assert!(is_blocked(&mut quarantine, 1_000 + 150 * CRASH_PERIOD_MS));
    assert_eq!(quarantine.verify(), Ok(()));
}

#[test]
fn one_request_and_its_repeats_quarantine_a_part() {
    let mut quarantine = Quarantine::default();
    for n in 0..8 {
        let now_ms = 1_000 + n * 400;
        let engine = UpstreamTag::of(&format!("e{n}"));
        let request = RequestTag::of(&prompt(&[(7, 1), (1, 1)]));
        let sent_ms = now_ms - 100;
        let broken = BrokenAttempt { engine, request, parts: &[key(7)], sent_ms };
        quarantine.record_broken((SERVICE, MODEL), &broken, now_ms);
    }
    assert!(!is_blocked(&mut quarantine, 10_000));
}

/// Two parts break together each time; one of them was answered before.
#[test]
fn part_with_a_completed_answer_is_quarantined_with_the_one_beside_it() {
    let mut quarantine = Quarantine::default();
    let engine = UpstreamTag::of("sound");
    let completed = CompletedAttempt { engine, parts: &[key(7)], sent_ms: 0 };
    quarantine.record_completed(&completed, 500);
    for n in 0..10 {
        let now_ms = 1_000 + n * 400;
        let engine = UpstreamTag::of(&format!("e{n}"));
        let request = RequestTag::of(&prompt(&[(7, 1), (8, 1), (n, 1)]));
        let parts = &[key(7), key(8)];
        let broken = BrokenAttempt { engine, request, parts, sent_ms: now_ms - 100 };
        quarantine.record_broken((SERVICE, MODEL), &broken, now_ms);
        let later_ms = now_ms + 200;
        assert_eq!(quarantine.block(SERVICE, &prompt(&[(7, 1), (1, 1)]), later_ms), None);
    }
    assert!(quarantine.block(SERVICE, &prompt(&[(8, 1), (1, 1)]), 9_000).is_some());
}

/// A part that was answered before breaks at more engines than the one beside it that crashes them.
#[test]
fn hot_part_is_quarantined_for_breaks_of_other_causes() {
    let mut quarantine = Quarantine::default();
    let engine = UpstreamTag::of("sound");
    let completed = CompletedAttempt { engine, parts: &[key(7)], sent_ms: 0 };
    quarantine.record_completed(&completed, 500);
    let mut break_parts = |engine: &str, n: u64, parts: &[PartKey], now_ms: u64| {
        let request = RequestTag::of(&prompt(&[(7, 1), (n, 1)]));
        let (engine, sent_ms) = (UpstreamTag::of(engine), now_ms - 100);
        let broken = BrokenAttempt { engine, request, parts, sent_ms };
        quarantine.record_broken((SERVICE, MODEL), &broken, now_ms);
        quarantine.block(SERVICE, &prompt(&[(7, 1), (1, 1)]), now_ms + 200)
    };
    for n in 0..4 {
        assert_eq!(break_parts(&format!("other-{n}"), 100 + n, &[key(7)], 900), None);
    }
    for n in 0..10 {
        let is_refused = break_parts(&format!("e{n}"), n, &[key(7), key(8)], 1_000 + n * 400);
        assert_eq!(is_refused, None, "after {n} engines");
    }
    assert!(quarantine.block(SERVICE, &prompt(&[(8, 1), (1, 1)]), 9_000).is_some());
}

#[test]
fn quarantine_does_not_end() {
    let mut quarantine = Quarantine::default();
    (0..3).for_each(|n| break_attempt(&mut quarantine, n, 1_000 + n * 400));
    assert!(!is_blocked(&mut quarantine, 1_850));
    assert!(is_blocked(&mut quarantine, 3_000));
    let other_model = DeclaredPrompt { model: "other".to_owned(), ..prompt(&[(7, 1), (1, 1)]) };
    assert_eq!(quarantine.block(SERVICE, &other_model, 3_000), None);
    assert!(is_blocked(&mut quarantine, 602_000));
    assert!(!is_blocked(&mut quarantine, 604_000));
}

#[test]
fn part_that_the_store_lifted_is_refused_for_a_report_of_a_peer() {
    let mut quarantine = Quarantine::default();
    quarantine.set_listed(&[key(7)], 1_000);
    assert!(is_blocked(&mut quarantine, 2_000));
    let digest = quarantine.digest(2_000);
    assert_eq!(digest.quarantined.len(), 1);
    quarantine.set_listed(&[], 3_000);
    assert!(!is_blocked(&mut quarantine, 3_100));
    quarantine.merge(1, &digest, 3_200);
    assert!(!is_blocked(&mut quarantine, 3_300));
    let mut restarted = Quarantine::default();
    restarted.merge(1, &digest, 3_200);
    assert!(is_blocked(&mut restarted, 3_300));
}

#[test]
fn request_that_waits_is_sent_after_its_part_is_quarantined() {
    let mut scheduler = support::scheduler(1);
    scheduler.set_upstreams(support::engines(1, 1), 0);
    let mut queue = WaitQueue::default();
    let mut waiting = Vec::new();
    for own in 0..200 {
        let request = support::request(Some(prompt(&[(7, 9_000), (1_000 + own, 300)])), 0);
        let decisions = queue.enqueue(&mut scheduler, request, own, 0);
        if decisions.is_empty() {
            waiting.push(own);
        }
        if waiting.len() == 3 {
            break;
        }
    }
    assert_eq!(queue.len(), 3);
    scheduler.quarantine_mut().set_listed(&[key(7)], 10);
    let decisions = queue.dispatch(&mut scheduler, 20, |_| false);
    let refused = decisions.iter().filter(|(_, choice)| {
        let is_quarantined = |cause: &RefusalCause| *cause == RefusalCause::Quarantined(key(7));
        matches!(choice, Choice::Refuse { cause, .. } if is_quarantined(cause))
    });
    assert_eq!(refused.count(), 3);
    assert!(queue.is_empty());
}
