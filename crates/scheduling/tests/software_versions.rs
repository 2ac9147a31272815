//! Tests of requests that continue a stream while upstreams of several software versions serve.

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use support::MODEL;
use support::SLOTS;
use support::engine;
use support::expect_sent;
use support::long_prompt;
use support::request;
use support::scheduler;
use support::short_prompt;

use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::SoftwareVersion;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::coordination::Coordination;
use redwingrill_scheduling::coordination::CoordinationMessage;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::coordination::RequestOptions;
use redwingrill_scheduling::coordination::Resolution;
use redwingrill_scheduling::fleet::LoadDigest;
use redwingrill_scheduling::fleet::Misdirection;
use redwingrill_scheduling::fleet::UpstreamIndex;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::RefusalCause;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::WaitQueue;

const FIRST: RequestOptions = RequestOptions { may_wait: true, is_first: true };

fn version(name: &str) -> Option<SoftwareVersion> {
    Some(SoftwareVersion(name.to_owned()))
}

/// Returns an engine at an address of its own.
fn engine_of(number: usize, software: Option<&str>) -> Arc<Upstream> {
    let engine = engine(&format!("engine-{number}"), 1);
    let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80));
    let software = software.and_then(version);
    Arc::new(Upstream { address, software, ..Upstream::clone(&engine) })
}

fn engines_of(software: &[Option<&str>]) -> Vec<Arc<Upstream>> {
    software.iter().enumerate().map(|(number, known)| engine_of(number, *known)).collect()
}

fn fleet_of(engines: Vec<Arc<Upstream>>) -> Scheduler {
    let mut scheduler = scheduler(1);
    scheduler.observe_target_version(MODEL, WeightsVersion(1), 0);
    scheduler.set_upstreams(engines, 0);
    scheduler
}

fn continuation(prompt: Option<DeclaredPrompt>, software: &str, now_ms: u64) -> ScheduleRequest {
    ScheduleRequest { software: version(software), ..request(prompt, now_ms) }
}

fn index_of(scheduler: &Scheduler, id: &str) -> UpstreamIndex {
    scheduler.fleet().by_tag(UpstreamTag::of(id)).expect("the engine is listed")
}

fn release(scheduler: &mut Scheduler, assignment: &Assignment) {
    scheduler.release_assignment(assignment);
}

/// Takes all slots of the engines of one version.
fn fill(scheduler: &mut Scheduler, software: &str) -> Vec<Assignment> {
    let others = scheduler.fleet().iter().filter(|(_, e)| e.upstream.software != version(software));
    let others: Vec<UpstreamIndex> = others.map(|(index, _)| index).collect();
    let filler = ScheduleRequest { tried: others, ..request(Some(short_prompt(0)), 0) };
    let mut running = Vec::new();
    while let Choice::Send(assignment) = scheduler.choose(&filler, 0) {
        scheduler.record_prefill_done(&assignment, 0);
        running.push(*assignment);
    }
    running
}

fn is_no_upstream(choice: &Choice) -> bool {
    matches!(choice, Choice::Refuse { cause: RefusalCause::NoUpstream, .. })
}

struct ChoiceCase {
    name: &'static str,
    listed: &'static [Option<&'static str>],
    wanted: &'static str,
    /// How many of the first engines have it were tried before.
    tried: usize,
    /// The engines that may continue the stream; the request is refused if there is none.
    allowed: &'static [usize],
}

#[test]
fn continuation_is_sent_to_another_software_version() {
    const V1: Option<&str> = Some("v1");
    const V2: Option<&str> = Some("v2");
    let cases = [
        ChoiceCase {
            name: "three versions",
            listed: &[V1, V2, Some("v3"), V1, V2],
            wanted: "v1",
            tried: 0,
            allowed: &[0, 3],
        },
        ChoiceCase {
            name: "the first one failed",
            listed: &[V1, V2, V1],
            wanted: "v1",
            tried: 1,
            allowed: &[2],
        },
        ChoiceCase {
            name: "the only one failed",
            listed: &[V1, V2, V2],
            wanted: "v1",
            tried: 1,
            allowed: &[],
        },
        ChoiceCase {
            name: "the version has gone",
            listed: &[V2, V2],
            wanted: "v1",
            tried: 0,
            allowed: &[],
        },
        ChoiceCase {
            name: "no version is stated",
            listed: &[None, None],
            wanted: "v1",
            tried: 0,
            allowed: &[],
        },
        ChoiceCase {
            name: "versions that begin alike",
            listed: &[Some("v1.1"), Some("v1"), Some("V1"), Some("")],
            wanted: "v1",
            tried: 0,
            allowed: &[1],
        },
    ];
    for case in cases {
        for prompt in [Some(short_prompt(1)), Some(long_prompt(1, 1)), None] {
            let mut scheduler = fleet_of(engines_of(case.listed));
            let tried = (0..case.tried).map(|n| index_of(&scheduler, &format!("engine-{n}")));
            let tried = tried.collect();
            let request = ScheduleRequest { tried, ..continuation(prompt, case.wanted, 0) };
            for _ in 0..20 {
                let choice = scheduler.choose(&request, 0);
                if case.allowed.is_empty() {
                    assert!(is_no_upstream(&choice), "{}: {choice:?}", case.name);
                    assert!(!scheduler.has_capacity_now(&request, 0), "{}", case.name);
                    continue;
                }
                let assignment = expect_sent(choice);
                let allowed = case.allowed.iter().map(|number| format!("engine-{number}"));
                let is_allowed = allowed.clone().any(|id| id == assignment.upstream.id);
                assert!(is_allowed, "{}: {}", case.name, assignment.upstream.id);
                release(&mut scheduler, &assignment);
            }
        }
    }
}

/// The sizes of docs/DEVELOPERS.md; digests of the other nodes are old, so that engines are sampled
/// and requests are paced.
#[test]
fn continuation_is_sent_to_another_software_version_in_a_large_fleet() {
    const ENGINES: usize = 850;
    const VERSIONS: [&str; 3] = ["v1", "v2", "v3"];
    let listed = (0..ENGINES).map(|n| engine_of(n, Some(VERSIONS[n % VERSIONS.len()])));
    let mut scheduler = fleet_of(listed.collect());
    scheduler.set_members(320);
    for node in 1..320 {
        let digest = LoadDigest {
            node,
            sequence: 1,
            short_per_s: 20,
            long_per_s: 4,
            ..LoadDigest::default()
        };
        scheduler.observe_peer(digest, 0);
    }
    let now_ms = 500;
    let mut sent = HashMap::new();
    for number in 0..600 {
        let wanted = VERSIONS[number % VERSIONS.len()];
        let prompt = match number % 2 {
            0 => short_prompt(number as u64),
            _ => long_prompt(number as u64 % 40, number as u64),
        };
        let request = continuation(Some(prompt), wanted, now_ms);
        match scheduler.choose(&request, now_ms) {
            Choice::Send(assignment) => {
                assert_eq!(assignment.upstream.software, version(wanted), "request {number}");
                *sent.entry(wanted).or_insert(0) += 1;
                release(&mut scheduler, &assignment);
            }
            Choice::Wait => {}
            Choice::Refuse { cause, .. } => panic!("request {number} is refused: {cause:?}"),
        }
    }
    assert!(VERSIONS.iter().all(|name| sent.contains_key(name)), "{sent:?}");
}

/// Returns how many of a node's prompts are sent while its digests are old, beside continuations of
/// a version with one engine or of none.
fn sent_beside_continuations(has_continuations: bool) -> usize {
    let listed = (0..60).map(|n| engine_of(n, Some(if n == 0 { "v1" } else { "v2" })));
    let mut scheduler = fleet_of(listed.collect());
    scheduler.set_members(20);
    for node in 1..20 {
        let digest = LoadDigest { node, sequence: 1, short_per_s: 20, ..LoadDigest::default() };
        scheduler.observe_peer(digest, 0);
    }
    let mut sent = 0;
    for number in 0..400 {
        let now_ms = 500 + number;
        if has_continuations {
            let request = continuation(Some(short_prompt(number)), "v1", now_ms);
            if let Choice::Send(assignment) = scheduler.choose(&request, now_ms) {
                release(&mut scheduler, &assignment);
            }
        }
        let request = request(Some(short_prompt(1_000 + number)), now_ms);
        if let Choice::Send(assignment) = scheduler.choose(&request, now_ms) {
            release(&mut scheduler, &assignment);
            sent += 1;
        }
    }
    sent
}

/// A continuation sees the engines of its version only; what these allow is no bound for the others.
#[test]
fn continuations_cap_the_share_of_other_requests() {
    let (alone, beside) = (sent_beside_continuations(false), sent_beside_continuations(true));
    assert!(alone < 400, "the node is not paced");
    assert!(beside * 10 >= alone * 8, "{beside} sent beside continuations, {alone} without");
}

struct GoneCase {
    name: &'static str,
    change: fn(&mut Scheduler),
}

#[test]
fn continuation_waits_for_a_version_that_has_gone() {
    let cases = [
        GoneCase {
            name: "the entry is removed",
            change: |scheduler| scheduler.set_upstreams(vec![engine_of(1, Some("v2"))], 20),
        },
        GoneCase {
            name: "it is listed as leaving",
            change: |scheduler| {
                let leaving = Upstream::clone(&engine_of(0, Some("v1")));
                let leaving = Upstream { state: UpstreamState::Leaving, ..leaving };
                let listed = vec![Arc::new(leaving), engine_of(1, Some("v2"))];
                scheduler.set_upstreams(listed, 20);
            },
        },
        GoneCase {
            name: "it says that it leaves",
            change: |scheduler| {
                let index = index_of(scheduler, "engine-0");
                scheduler.record_leaving(index, 20);
            },
        },
        GoneCase {
            name: "its process has ended",
            change: |scheduler| {
                let index = index_of(scheduler, "engine-0");
                let misdirection = Some(Misdirection::Ended);
                let outcome = AttemptOutcome { verdict: Verdict::Unknown, misdirection };
                scheduler.record_attempt_end(index, 0, 0, &outcome, 20);
            },
        },
        GoneCase {
            name: "it restarted with another version",
            change: |scheduler| {
                let listed = vec![engine_of(0, Some("v2")), engine_of(1, Some("v2"))];
                scheduler.set_upstreams(listed, 20);
            },
        },
    ];
    for GoneCase { name, change } in cases {
        for prompt in [Some(short_prompt(1)), Some(long_prompt(1, 1)), None] {
            let mut scheduler = fleet_of(engines_of(&[Some("v1"), Some("v2")]));
            fill(&mut scheduler, "v1");
            fill(&mut scheduler, "v2");
            if prompt.is_none() {
                // A plain service has room for as many again.
                fill_plain(&mut scheduler);
            }
            let mut queue: WaitQueue<&str> = WaitQueue::default();
            for handle in ["first", "second"] {
                let request = continuation(prompt.clone(), "v1", 10);
                let decided = queue.enqueue(&mut scheduler, request, handle, 10);
                assert!(decided.is_empty(), "{name}: {decided:?}");
            }
            change(&mut scheduler);
            let decided = queue.dispatch(&mut scheduler, 21, |_| false);
            assert_eq!(decided.len(), 2, "{name}: {decided:?}");
            assert!(
                decided.iter().all(|(_, choice)| is_no_upstream(choice)),
                "{name}: {decided:?}"
            );
            assert!(queue.is_empty(), "{name}");
        }
    }
}

fn fill_plain(scheduler: &mut Scheduler) {
    while let Choice::Send(_) = scheduler.choose(&request(None, 0), 0) {}
}

/// The queue of a class is not one for continuations whose engines are busy and for the others.
#[test]
fn continuation_holds_up_requests_that_other_engines_can_serve() {
    let mut scheduler = fleet_of(engines_of(&[Some("v1"), Some("v2")]));
    fill(&mut scheduler, "v1");
    let mut queue: WaitQueue<&str> = WaitQueue::default();
    let waiting = continuation(Some(short_prompt(1)), "v1", 10);
    assert!(queue.enqueue(&mut scheduler, waiting, "continuation", 10).is_empty());
    let other = request(Some(short_prompt(2)), 11);
    let decided = queue.enqueue(&mut scheduler, other.clone(), "other", 11);
    assert!(matches!(decided[..], [("other", Choice::Send(_))]), "{decided:?}");
    let of_v2 = continuation(Some(short_prompt(3)), "v2", 12);
    let decided = queue.enqueue(&mut scheduler, of_v2, "of v2", 12);
    assert!(matches!(decided[..], [("of v2", Choice::Send(_))]), "{decided:?}");
    let moved = queue.choose_now(&mut scheduler, &other, 13);
    assert!(matches!(moved, Choice::Send(_)), "{moved:?}");
    assert_eq!(queue.len(), 1);
}

/// What is freed goes to the request that waits longest, whether or not others could use more.
#[test]
fn continuation_overtakes_requests_that_wait_longer() {
    for is_continuation_first in [true, false] {
        let mut scheduler = fleet_of(engines_of(&[Some("v1"), Some("v2")]));
        let running = fill(&mut scheduler, "v1");
        fill(&mut scheduler, "v2");
        let mut queue: WaitQueue<&str> = WaitQueue::default();
        let requests = [
            ("continuation", continuation(Some(short_prompt(1)), "v1", 10)),
            ("other", request(Some(short_prompt(2)), 10)),
        ];
        let [continuation, other] = requests;
        let (first, second) = match is_continuation_first {
            true => (continuation, other),
            false => (other, continuation),
        };
        assert!(queue.enqueue(&mut scheduler, first.1, first.0, 10).is_empty());
        // A slot is free before the queue hears of it.
        release(&mut scheduler, &running[0]);
        let decided = queue.enqueue(&mut scheduler, second.1, second.0, 11);
        let sent: Vec<&str> = decided.iter().map(|(name, _)| *name).collect();
        assert_eq!(sent, [first.0]);
        assert_eq!(queue.len(), 1);
    }
}

/// Roles divide the whole fleet; a version may have no engine for long prompts.
#[test]
fn long_continuation_waits_for_the_role_of_another_version() {
    let mut scheduler = fleet_of(engines_of(&[Some("v2"); 8]));
    let explanation = scheduler.explain(&request(Some(long_prompt(1, 1)), 0), false, 0);
    let is_short = |id: &str| explanation.upstreams.iter().any(|e| e.id == id && e.is_for_short);
    let listed = engines_of(&[Some("v2"); 8]).into_iter().map(|engine| {
        let software = version(if is_short(&engine.id) { "v1" } else { "v2" });
        Arc::new(Upstream { software, ..Upstream::clone(&engine) })
    });
    scheduler.set_upstreams(listed.collect(), 0);
    // The engine is at work, but far from full.
    for number in 0..u64::from(SLOTS) / 2 {
        let short = continuation(Some(short_prompt(number)), "v1", 0);
        let assignment = expect_sent(scheduler.choose(&short, 0));
        scheduler.record_prefill_done(&assignment, 0);
    }
    let long = continuation(Some(long_prompt(1, 1)), "v1", 0);
    for number in 0..4 {
        let assignment = expect_sent(scheduler.choose(&long, 0));
        assert_eq!(assignment.upstream.software, version("v1"), "request {number}");
        release(&mut scheduler, &assignment);
    }
}

/// Guards against a resumption at an entry whose process is another one by now.
#[test]
fn stream_is_resumed_at_an_entry_that_a_later_start_supersedes() {
    let earlier = Upstream::clone(&engine_of(0, Some("v1")));
    let earlier = Upstream { started_unix_ms: Some(1_000), ..earlier };
    let later = Upstream {
        id: "later".to_owned(),
        software: version("v2"),
        started_unix_ms: Some(2_000),
        ..earlier.clone()
    };
    let mut scheduler = fleet_of(vec![Arc::new(earlier), Arc::new(later)]);
    let choice = scheduler.choose(&continuation(Some(short_prompt(1)), "v1", 0), 0);
    assert!(is_no_upstream(&choice), "{choice:?}");
}

struct Node {
    address: SocketAddr,
    scheduler: Scheduler,
    coordination: Coordination<u32>,
}

impl Node {
    fn begin(&mut self, request: ScheduleRequest, handle: u32, now_ms: u64) {
        self.coordination.begin(&mut self.scheduler, request, handle, FIRST, now_ms);
    }

    fn tick(&mut self, now_ms: u64) {
        self.coordination.tick(&mut self.scheduler, now_ms, |_| false);
    }

    fn resolutions(&mut self) -> Vec<Resolution> {
        let resolved = self.coordination.take_resolved().into_iter();
        resolved.map(|resolved| resolved.resolution).collect()
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, index as u8], 1))
}

/// Returns nodes with the engines that each knows; the first node coordinates them.
fn nodes(known: &[&[Option<&str>]]) -> Vec<Node> {
    let members = (0..known.len()).map(|index| GroupNode {
        name: format!("node-{index}"),
        failure_domain: "a".to_owned(),
        link_mbps: 1_000 - index as u64,
        address: address(index),
    });
    let members: Vec<GroupNode> = members.collect();
    let nodes = known.iter().enumerate().map(|(index, software)| {
        let mut scheduler = fleet_of(engines_of(software));
        scheduler.set_members(known.len());
        let mut coordination = Coordination::new(index as u64, "a".to_owned(), index as u64);
        coordination.set_nodes(members.clone(), Some(address(index)));
        coordination.follow(&scheduler, 0);
        Node { address: address(index), scheduler, coordination }
    });
    nodes.collect()
}

/// Delivers the messages that `reaches` lets pass, until there are none.
fn deliver(
    nodes: &mut [Node],
    now_ms: u64,
    mut reaches: impl FnMut(SocketAddr, &CoordinationMessage) -> bool,
) {
    loop {
        let sent = nodes.iter_mut().flat_map(|node| {
            let from = node.address;
            let messages = node.coordination.take_outgoing().into_iter();
            messages.map(move |(to, message)| (from, to, message))
        });
        let sent: Vec<_> = sent.collect();
        if sent.is_empty() {
            return;
        }
        for (from, to, message) in sent {
            if let Some(node) = nodes.iter_mut().find(|node| node.address == to)
                && reaches(to, &message)
            {
                node.coordination.receive(&mut node.scheduler, from, message, now_ms);
            }
        }
    }
}

#[test]
fn coordinator_assigns_another_software_version() {
    const LISTED: &[Option<&str>] = &[Some("v1"), Some("v2"), Some("v2"), Some("v2")];
    let mut nodes = nodes(&[LISTED, LISTED]);
    for number in 0..40u64 {
        let now_ms = 10 + number;
        let request = continuation(Some(long_prompt(number, number)), "v1", now_ms);
        nodes[1].begin(request, number as u32, now_ms);
        deliver(&mut nodes, now_ms, |_, _| true);
        let resolutions = nodes[1].resolutions();
        let [Resolution::Assigned(assignment)] = &resolutions[..] else {
            panic!("request {number}: {resolutions:?}")
        };
        assert_eq!(assignment.upstream.software, version("v1"), "request {number}");
        assert_eq!(assignment.coordinator, Some(address(0)), "request {number}");
        release(&mut nodes[1].scheduler, assignment);
        nodes[1].coordination.record_change(UpstreamTag::of(&assignment.upstream.id));
        nodes[1].tick(now_ms);
        deliver(&mut nodes, now_ms, |_, _| true);
    }
}

/// A coordinator may know another version of an engine, as its list is older or newer.
#[test]
fn grant_of_another_version_is_used() {
    let mut nodes = nodes(&[&[Some("v1"); 4], &[Some("v2"), Some("v2"), Some("v2"), Some("v1")]]);
    let mut undecided = 0;
    // More than the engines have slots for, so that grants which are not given back fill them.
    for number in 0..4 * u64::from(SLOTS) {
        let now_ms = 10 + 20 * number;
        let request = continuation(Some(short_prompt(number)), "v1", now_ms);
        nodes[1].begin(request, number as u32, now_ms);
        deliver(&mut nodes, now_ms, |_, _| true);
        let resolutions = nodes[1].resolutions();
        match &resolutions[..] {
            [Resolution::Assigned(assignment)] => {
                assert_eq!(assignment.upstream.software, version("v1"), "request {number}");
                release(&mut nodes[1].scheduler, assignment);
                nodes[1].coordination.record_change(UpstreamTag::of(&assignment.upstream.id));
            }
            [Resolution::Undecided] => undecided += 1,
            other => panic!("request {number}: {other:?}"),
        }
        for node in &mut nodes {
            node.coordination.follow(&node.scheduler, now_ms);
            node.tick(now_ms);
        }
        deliver(&mut nodes, now_ms, |_, _| true);
    }
    assert!(undecided > 0, "the coordinator granted no engine of another version");
    let in_flight: u32 = nodes[1].scheduler.fleet().iter().map(|(_, e)| e.in_flight).sum();
    assert_eq!(in_flight, 0);
}

/// A coordinator of the build before cannot decode the request; it decodes all others.
#[test]
fn coordinator_of_an_earlier_build_assigns_another_software_version() {
    const LISTED: &[Option<&str>] = &[Some("v1"), Some("v2"), Some("v2"), Some("v2")];
    let is_known = |message: &CoordinationMessage| {
        matches!(
            message,
            CoordinationMessage::Request(_)
                | CoordinationMessage::Response(_)
                | CoordinationMessage::Report { .. }
                | CoordinationMessage::Withdrawal { .. }
        )
    };
    let mut nodes = nodes(&[LISTED, LISTED]);
    let request = continuation(Some(long_prompt(1, 1)), "v1", 0);
    nodes[1].begin(request.clone(), 1, 0);
    let mut resolutions = Vec::new();
    let mut decided_ms = 0;
    for now_ms in (0..400).step_by(20) {
        nodes[1].tick(now_ms);
        deliver(&mut nodes, now_ms, |to, message| to != address(0) || is_known(message));
        if resolutions.is_empty() {
            decided_ms = now_ms;
        }
        resolutions.extend(nodes[1].resolutions());
    }
    assert!(matches!(resolutions[..], [Resolution::Undecided]), "{resolutions:?}");
    assert!(decided_ms <= 200, "decided after {decided_ms} ms");
    let alone = expect_sent(nodes[1].scheduler.choose(&request, 400));
    assert_eq!(alone.upstream.software, version("v1"));
}

/// The coordinator is not ill, so other prompts are still requested from it.
#[test]
fn continuation_makes_a_coordinator_of_an_earlier_build_suspect() {
    const LISTED: &[Option<&str>] = &[Some("v1"), Some("v2"), Some("v2"), Some("v2")];
    let mut nodes = nodes(&[LISTED, LISTED, LISTED]);
    nodes[2].begin(continuation(Some(long_prompt(1, 1)), "v1", 0), 1, 0);
    for now_ms in (0..400).step_by(20) {
        nodes[2].tick(now_ms);
        nodes[2].coordination.take_outgoing();
        nodes[2].resolutions();
        assert_eq!(nodes[2].coordination.requester().suspects(), 0, "at {now_ms} ms");
    }
}

#[test]
fn continuation_is_refused_as_a_group_lacks_its_version() {
    // Two failure domains with a group each; the version is only in the second one.
    let listed = |domain: &str, first: usize, software: &str| -> Vec<Arc<Upstream>> {
        let listed = (first..first + 20).map(|number| {
            let engine = Upstream::clone(&engine_of(number, Some(software)));
            Arc::new(Upstream { failure_domain: domain.to_owned(), ..engine })
        });
        listed.collect()
    };
    let all: Vec<Arc<Upstream>> =
        listed("a", 0, "v2").into_iter().chain(listed("b", 20, "v1")).collect();
    let mut nodes = nodes(&[&[], &[]]);
    for node in &mut nodes {
        node.scheduler.set_upstreams(all.clone(), 0);
        node.coordination.follow(&node.scheduler, 0);
    }
    let mut alone = 0;
    for number in 0..20u64 {
        let now_ms = 10 + number;
        let request = continuation(Some(short_prompt(number)), "v1", now_ms);
        nodes[1].begin(request.clone(), number as u32, now_ms);
        deliver(&mut nodes, now_ms, |_, _| true);
        for resolution in nodes[1].resolutions() {
            let assignment = match resolution {
                Resolution::Assigned(assignment) => *assignment,
                Resolution::Undecided => {
                    alone += 1;
                    expect_sent(nodes[1].scheduler.choose(&request, now_ms))
                }
                other => panic!("request {number}: {other:?}"),
            };
            assert_eq!(assignment.upstream.software, version("v1"), "request {number}");
        }
    }
    assert!(alone > 0, "the group without the version was never asked");
}
