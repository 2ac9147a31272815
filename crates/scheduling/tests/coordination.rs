//! Tests of the coordination: groups of engines, lost and repeated messages, unused assignments.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use support::MODEL;
use support::SERVICE;
use support::engines;
use support::long_prompt;
use support::request;
use support::scheduler;
use support::short_prompt;

use redwingrill_routing::ReportedLoad;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::coordination::Coordination;
use redwingrill_scheduling::coordination::CoordinationMessage;
use redwingrill_scheduling::coordination::Decision;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::coordination::RequestOptions;
use redwingrill_scheduling::coordination::Resolution;
use redwingrill_scheduling::coordination::divide;
use redwingrill_scheduling::fleet::Misdirection;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;

const OTHER_SERVICE: &str = "other";

const FIRST: RequestOptions = RequestOptions { may_wait: true, is_first: true };

struct Node {
    address: SocketAddr,
    scheduler: Scheduler,
    coordination: Coordination<u32>,
}

impl Node {
    fn receive(&mut self, from: SocketAddr, message: &CoordinationMessage, now_ms: u64) {
        self.coordination.receive(&mut self.scheduler, from, message.clone(), now_ms);
    }

    fn begin(&mut self, prompt: u64, now_ms: u64) {
        self.begin_for(SERVICE, prompt, now_ms);
    }

    fn begin_for(&mut self, service: &str, prompt: u64, now_ms: u64) {
        let request = request(Some(long_prompt(prompt, prompt)), now_ms);
        let request = ScheduleRequest { service: service.to_owned(), ..request };
        self.coordination.begin(&mut self.scheduler, request, prompt as u32, FIRST, now_ms);
    }

    fn tick(&mut self, now_ms: u64) {
        self.coordination.tick(&mut self.scheduler, now_ms, |_| false);
    }

    fn sent(&mut self) -> Vec<(SocketAddr, CoordinationMessage)> {
        self.coordination.take_outgoing()
    }

    /// Returns the only message that the node wants to send.
    fn only_sent(&mut self) -> (SocketAddr, CoordinationMessage) {
        let mut sent = self.sent();
        assert_eq!(sent.len(), 1, "{sent:?}");
        sent.remove(0)
    }

    fn assigned(&mut self) -> Vec<Assignment> {
        let resolved = self.coordination.take_resolved().into_iter();
        let assigned = resolved.filter_map(|resolved| match resolved.resolution {
            Resolution::Assigned(assignment) => Some(*assignment),
            _ => None,
        });
        assigned.collect()
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, index as u8], 1))
}

fn members(count: usize) -> Vec<GroupNode> {
    let members = (0..count).map(|index| GroupNode {
        name: format!("node-{index}"),
        failure_domain: "a".to_owned(),
        // The fastest link comes first, and so on.
        link_mbps: 1_000 - index as u64,
        address: address(index),
    });
    members.collect()
}

/// Returns nodes with `engine_count` engines of 32 slots; the first one coordinates them.
fn nodes(count: usize, engine_count: usize) -> Vec<Node> {
    let members = members(count);
    let nodes = (0..count).map(|index| {
        let mut scheduler = scheduler(index as u64);
        scheduler.set_upstreams(engines(engine_count, 1), 0);
        scheduler.observe_target_version(MODEL, WeightsVersion(1), 0);
        scheduler.set_members(count);
        let mut coordination = Coordination::new(index as u64, "a".to_owned(), index as u64);
        coordination.set_nodes(members.clone(), Some(address(index)));
        coordination.follow(&scheduler, 0);
        Node { address: address(index), scheduler, coordination }
    });
    nodes.collect()
}

struct DivisionCase {
    name: &'static str,
    /// The number of engines in each failure domain.
    engines: &'static [usize],
    /// The number of groups, and the largest one at most.
    groups: usize,
    largest: usize,
}

#[test]
fn engines_are_divided_by_failure_domain_in_large_services_only() {
    let cases = [
        DivisionCase { name: "none", engines: &[], groups: 0, largest: 0 },
        DivisionCase { name: "small", engines: &[6, 6, 6], groups: 1, largest: 18 },
        DivisionCase {
            name: "five domains",
            engines: &[16, 16, 16, 16, 15],
            groups: 5,
            largest: 16,
        },
        DivisionCase { name: "large domains", engines: &[142; 6], groups: 30, largest: 45 },
    ];
    for DivisionCase { name, engines, groups, largest } in cases {
        let listed = engines.iter().enumerate().flat_map(|(domain, count)| {
            (0..*count).map(move |n| (format!("engine-{domain}-{n}"), format!("domain-{domain}")))
        });
        let listed: Vec<(String, String)> = listed.collect();
        let divided =
            divide(SERVICE, listed.iter().map(|(id, domain)| (id.as_str(), domain.as_str())));
        assert_eq!(divided.len(), groups, "{name}");
        let sizes: Vec<usize> = divided.iter().map(|group| group.engines.len()).collect();
        assert_eq!(sizes.iter().sum::<usize>(), listed.len(), "{name}");
        assert!(sizes.iter().max().copied().unwrap_or(0) <= largest, "{name}: {sizes:?}");
    }
}

#[test]
fn repeated_request_gets_the_same_assignment() {
    let mut nodes = nodes(2, 4);
    nodes[1].begin(1, 10);
    let (to, message) = nodes[1].only_sent();
    assert_eq!(to, nodes[0].address);
    let from = nodes[1].address;
    nodes[0].receive(from, &message, 11);
    let (_, first) = nodes[0].only_sent();
    // The response is lost, and the request comes again.
    nodes[0].receive(from, &message, 15);
    let (_, second) = nodes[0].only_sent();
    assert_eq!(first, second);
    nodes[1].receive(to, &first, 16);
    nodes[1].receive(to, &second, 17);
    assert_eq!(nodes[1].assigned().len(), 1);
}

#[test]
fn silent_coordinator_is_replaced_and_its_late_assignment_is_not_used() {
    let mut nodes = nodes(3, 4);
    nodes[2].begin(1, 10);
    let (first, message) = nodes[2].only_sent();
    (20..110).step_by(20).for_each(|now_ms| nodes[2].tick(now_ms));
    let (second, repeated) = nodes[2].sent().pop().expect("the next coordinator is asked");
    assert_eq!([first, second], [address(0), address(1)]);
    nodes[1].receive(address(2), &repeated, 111);
    let (_, response) = nodes[1].only_sent();
    nodes[2].receive(second, &response, 112);
    assert_eq!(nodes[2].assigned().len(), 1);
    nodes[0].receive(address(2), &message, 113);
    let (_, late) = nodes[0].only_sent();
    nodes[2].receive(first, &late, 114);
    assert!(nodes[2].assigned().is_empty());
}

/// The nodes know the engines of two services.
fn nodes_of_two_services(count: usize) -> Vec<Node> {
    let mut nodes = nodes(count, 4);
    let others = engines(4, 1).into_iter().enumerate().map(|(n, engine)| {
        let (id, service) = (format!("other-{n}"), OTHER_SERVICE.to_owned());
        Arc::new(Upstream { id, service, ..Upstream::clone(&engine) })
    });
    let all: Vec<Arc<Upstream>> = engines(4, 1).into_iter().chain(others).collect();
    for node in &mut nodes {
        node.scheduler.set_upstreams(all.clone(), 0);
        node.coordination.follow(&node.scheduler, 0);
    }
    nodes
}

/// A node's new run has the address of the one before, and its inquiries are numbered from one, too.
#[test]
fn assignment_for_an_earlier_run_is_used_for_another_service() {
    let mut nodes = nodes_of_two_services(3);
    nodes[2].begin(1, 10);
    let (coordinator, message) = nodes[2].only_sent();
    nodes[0].receive(address(2), &message, 11);
    let (_, late) = nodes[0].only_sent();

    let mut restarted = nodes_of_two_services(3).remove(2);
    restarted.coordination = Coordination::new(77, "a".to_owned(), 77);
    restarted.coordination.set_nodes(members(3), Some(address(2)));
    restarted.coordination.follow(&restarted.scheduler, 20);
    restarted.begin_for(OTHER_SERVICE, 2, 20);
    let (_, own_message) = restarted.only_sent();
    restarted.receive(coordinator, &late, 21);
    let used = restarted.assigned();
    assert!(used.is_empty(), "{:?}", used.first().map(|used| &used.upstream));
    // The coordinator learns at once that the engine is free.
    let (to, returned) = restarted.only_sent();
    assert_eq!(to, coordinator);
    assert!(matches!(returned, CoordinationMessage::Withdrawal { .. }), "{returned:?}");
    nodes[0].receive(address(2), &own_message, 22);
    let (_, response) = nodes[0].only_sent();
    restarted.receive(coordinator, &response, 23);
    assert_eq!(restarted.assigned().len(), 1);
}

/// Whatever a coordinator responds, a request is not sent to an engine of another service.
#[test]
fn assignment_names_an_engine_of_another_service() {
    let mut nodes = nodes_of_two_services(2);
    nodes[1].begin_for(OTHER_SERVICE, 1, 10);
    let (_, message) = nodes[1].only_sent();
    nodes[0].receive(address(1), &message, 11);
    let (from, mut response) = nodes[0].only_sent();
    let CoordinationMessage::Response(response_of_other) = &mut response else {
        panic!("no response to {from}")
    };
    let Decision::Assigned(grant) = &mut response_of_other.decision else { panic!("no engine") };
    grant.upstream = UpstreamTag::of_start(&engines(4, 1)[0]);
    nodes[1].receive(address(0), &response, 12);
    let resolved = nodes[1].coordination.take_resolved();
    assert!(matches!(resolved[..], [ref only] if matches!(only.resolution, Resolution::Undecided)));
}

/// Only the node that was asked may respond.
#[test]
fn response_of_another_node_is_taken_for_the_coordinators() {
    let mut nodes = nodes(3, 4);
    nodes[2].begin(1, 10);
    let (coordinator, message) = nodes[2].only_sent();
    nodes[0].receive(address(2), &message, 11);
    let (_, response) = nodes[0].only_sent();
    nodes[2].receive(address(1), &response, 12);
    assert!(nodes[2].assigned().is_empty());
    nodes[2].receive(coordinator, &response, 13);
    assert_eq!(nodes[2].assigned().len(), 1);
}

#[test]
fn lost_request_makes_its_coordinator_suspect() {
    let mut nodes = nodes(3, 4);
    nodes[2].begin(1, 10);
    let (first, _lost) = nodes[2].only_sent();
    nodes[2].tick(30);
    let (second, repeated) = nodes[2].only_sent();
    assert_eq!(first, second);
    nodes[0].receive(address(2), &repeated, 31);
    let (_, response) = nodes[0].only_sent();
    nodes[2].receive(second, &response, 32);
    assert_eq!(nodes[2].assigned().len(), 1);
}

struct LongPromptCase {
    name: &'static str,
    parts: u64,
    model_bytes: usize,
}

/// Such a prompt does not fit into a datagram, so its request would never arrive.
#[test]
fn long_prompt_names_make_a_coordinator_suspect() {
    let cases = [
        LongPromptCase { name: "many parts", parts: 5_000, model_bytes: 1 },
        LongPromptCase { name: "a long model name", parts: 2, model_bytes: 9_000 },
    ];
    for LongPromptCase { name, parts, model_bytes } in cases {
        let mut nodes = nodes(2, 4);
        let parts: Vec<(u64, u32)> = (0..parts).map(|id| (id, 16)).collect();
        let mut prompt = support::prompt(&parts);
        prompt.model = "m".repeat(model_bytes);
        let request = request(Some(prompt), 0);
        let Node { scheduler, coordination, .. } = &mut nodes[1];
        coordination.begin(scheduler, request, 0, FIRST, 0);
        assert!(nodes[1].sent().is_empty(), "{name}");
        let resolved = nodes[1].coordination.take_resolved();
        let is_undecided = |resolution: &Resolution| matches!(resolution, Resolution::Undecided);
        assert!(resolved.iter().all(|r| is_undecided(&r.resolution)), "{name}");
        assert_eq!(resolved.len(), 1, "{name}");
    }
}

#[test]
fn node_decides_by_itself_when_no_coordinator_responds() {
    let mut nodes = nodes(4, 4);
    nodes[3].begin(1, 0);
    let mut resolved = Vec::new();
    for now_ms in (0..400).step_by(20) {
        nodes[3].tick(now_ms);
        resolved.extend(nodes[3].coordination.take_resolved());
    }
    assert!(matches!(resolved[..], [ref only] if matches!(only.resolution, Resolution::Undecided)));
}

#[test]
fn suspended_node_does_not_suspect_its_coordinator() {
    let mut nodes = nodes(3, 4);
    nodes[2].begin(1, 0);
    let (to, message) = nodes[2].only_sent();
    nodes[2].tick(10);
    // The node does nothing for five seconds, while the response waits.
    nodes[0].receive(address(2), &message, 11);
    let (_, response) = nodes[0].only_sent();
    nodes[2].tick(5_010);
    assert!(nodes[2].sent().is_empty());
    nodes[2].receive(to, &response, 5_021);
    assert_eq!(nodes[2].assigned().len(), 1);
}

#[test]
fn suspended_coordinator_ignores_what_was_sent_to_it_meanwhile() {
    let mut nodes = nodes(2, 4);
    let Node { scheduler, coordination, .. } = &mut nodes[0];
    coordination.follow(scheduler, 100);
    nodes[1].begin(1, 110);
    let (_, message) = nodes[1].only_sent();
    nodes[0].receive(address(1), &message, 5_000);
    assert!(nodes[0].sent().is_empty());
}

#[test]
fn unused_assignments_do_not_fill_an_engine() {
    let mut nodes = nodes(2, 1);
    let mut now_ms = 0;
    // Far more than the engine has slots for; each is given up before its assignment arrives.
    for number in 0..200 {
        now_ms += 20;
        let prompt = short_prompt(number);
        let request = request(Some(prompt), now_ms);
        let Node { scheduler, coordination, .. } = &mut nodes[1];
        coordination.begin(scheduler, request, number as u32, FIRST, now_ms);
        let (_, message) = nodes[1].only_sent();
        let Node { scheduler, coordination, .. } = &mut nodes[1];
        coordination.tick(scheduler, now_ms, |_| true);
        nodes[0].receive(address(1), &message, now_ms + 1);
        for (_, response) in nodes[0].sent() {
            if let CoordinationMessage::Response(response) = &response {
                let is_assigned = matches!(response.decision, Decision::Assigned(_));
                assert!(is_assigned, "request {number}: {:?}", response.decision);
            }
            nodes[1].receive(address(0), &response, now_ms + 2);
        }
        for (_, message) in nodes[1].sent() {
            nodes[0].receive(address(1), &message, now_ms + 3);
        }
    }
}

#[test]
fn waiting_request_is_assigned_when_another_node_reports_the_end_of_one() {
    let mut nodes = nodes(3, 1);
    // The engine takes 32 short prompts of the second node.
    let mut assigned = Vec::new();
    for number in 0..32 {
        let request = request(Some(short_prompt(number)), 0);
        let Node { scheduler, coordination, .. } = &mut nodes[1];
        coordination.begin(scheduler, request, 0, FIRST, 0);
        let (_, message) = nodes[1].only_sent();
        nodes[0].receive(address(1), &message, 1);
        for (_, response) in nodes[0].sent() {
            nodes[1].receive(address(0), &response, 2);
        }
        assigned.extend(nodes[1].assigned());
    }
    assert!(!assigned.is_empty());
    let request = request(Some(short_prompt(99)), 3);
    let Node { scheduler, coordination, .. } = &mut nodes[2];
    coordination.begin(scheduler, request, 0, FIRST, 3);
    let (_, message) = nodes[2].only_sent();
    nodes[0].receive(address(2), &message, 4);
    let (_, response) = nodes[0].only_sent();
    let CoordinationMessage::Response(response) = response else { panic!("no response") };
    assert_eq!(response.decision, Decision::Queued);
    // Their prefill is complete, and they end.
    for assignment in &assigned {
        let tag = UpstreamTag::of(&assignment.upstream.id);
        nodes[1].scheduler.release_assignment(assignment);
        nodes[1].coordination.record_change(tag);
    }
    nodes[1].tick(20);
    for (_, report) in nodes[1].sent() {
        nodes[0].receive(address(1), &report, 21);
    }
    let responses = nodes[0].sent();
    let is_assigned = |message: &CoordinationMessage| matches!(message, CoordinationMessage::Response(r) if matches!(r.decision, Decision::Assigned(_)));
    assert!(responses.iter().any(|(to, m)| *to == address(2) && is_assigned(m)), "{responses:?}");
}

struct ExpiryCase {
    name: &'static str,
    /// When the request begins and when its assignment arrives.
    begun_ms: u64,
    assigned_ms: u64,
    is_used: bool,
}

#[test]
fn coordinator_that_missed_new_weights_assigns_expired_ones() {
    let published_ms = 1_000;
    let expired_ms = published_ms + support::VERSION_LIMIT_MS;
    let cases = [
        ExpiryCase { name: "in time", begun_ms: 2_000, assigned_ms: 2_002, is_used: true },
        ExpiryCase {
            name: "assigned too late",
            begun_ms: expired_ms - 2_000,
            assigned_ms: expired_ms - 500,
            is_used: false,
        },
        ExpiryCase {
            name: "begun too late",
            begun_ms: expired_ms - 500,
            assigned_ms: expired_ms - 498,
            is_used: false,
        },
    ];
    for ExpiryCase { name, begun_ms, assigned_ms, is_used } in cases {
        let mut nodes = nodes(2, 4);
        nodes[1].scheduler.observe_target_version(MODEL, WeightsVersion(2), published_ms);
        let Node { scheduler, coordination, .. } = &mut nodes[0];
        coordination.follow(scheduler, begun_ms - 100);
        nodes[1].begin(1, begun_ms);
        let (to, message) = nodes[1].only_sent();
        nodes[0].receive(address(1), &message, begun_ms + 1);
        let (_, response) = nodes[0].only_sent();
        nodes[1].receive(to, &response, assigned_ms);
        assert_eq!(nodes[1].assigned().len(), usize::from(is_used), "{name}");
    }
}

#[test]
fn prompts_that_the_engines_could_run_soon_are_refused() {
    const ENGINES: usize = 20;
    let mut nodes = nodes(1, ENGINES);
    // Half as many again as the engines run at once.
    let count = ENGINES as u64 * u64::from(support::SLOTS) * 3 / 2;
    let Node { scheduler, coordination, .. } = &mut nodes[0];
    for number in 0..count {
        let request = request(Some(short_prompt(number)), 10);
        coordination.begin(scheduler, request, 0, FIRST, 10);
    }
    let resolved = coordination.take_resolved().into_iter();
    let refused = resolved.filter(|r| matches!(r.resolution, Resolution::Refused { .. })).count();
    assert_eq!(refused, 0, "of {count}");
}

/// Returns what the engines of a group get when a node asks for `count` assignments, one every 50 ms.
fn engines_assigned(nodes: &mut [Node], node: usize, begin_ms: u64, count: u64) -> Vec<String> {
    let mut engines = Vec::new();
    for number in 0..count {
        let now_ms = begin_ms + 50 * number;
        nodes[node].begin(number, now_ms);
        deliver_all(nodes, now_ms);
        for assignment in nodes[node].assigned() {
            engines.push(assignment.upstream.id.clone());
            let outcome = AttemptOutcome { verdict: Verdict::Served, misdirection: None };
            let (index, pending) = (assignment.index, assignment.pending_prefill_tokens);
            let reserved = assignment.reserved_tokens;
            let scheduler = &mut nodes[node].scheduler;
            scheduler.record_attempt_end(index, pending, reserved, &outcome, now_ms);
            nodes[node].coordination.record_change(UpstreamTag::of(&assignment.upstream.id));
        }
        nodes.iter_mut().for_each(|node| node.tick(now_ms));
        deliver_all(nodes, now_ms);
    }
    engines
}

fn deliver_all(nodes: &mut [Node], now_ms: u64) {
    loop {
        let sent = nodes.iter_mut().flat_map(|node| {
            let from = node.address;
            node.sent().into_iter().map(move |(to, message)| (from, to, message))
        });
        let sent: Vec<_> = sent.collect();
        if sent.is_empty() {
            return;
        }
        for (from, to, message) in sent {
            if let Some(node) = nodes.iter_mut().find(|node| node.address == to) {
                node.receive(from, &message, now_ms);
            }
        }
    }
}

#[test]
fn coordinator_assigns_an_engine_that_another_node_found_gone() {
    let mut nodes = nodes(3, 4);
    let gone = engines_assigned(&mut nodes, 1, 100, 1).remove(0);
    let scheduler = &mut nodes[1].scheduler;
    let index = scheduler.fleet().by_tag(UpstreamTag::of(&gone)).expect("engine is listed");
    let misdirection = Some(Misdirection::Ended);
    let outcome = AttemptOutcome { verdict: Verdict::Unknown, misdirection };
    scheduler.record_attempt_end(index, 0, 0, &outcome, 110);
    nodes[1].coordination.record_change(UpstreamTag::of(&gone));
    nodes[1].tick(120);
    deliver_all(&mut nodes, 121);
    for node in [1, 2] {
        let assigned = engines_assigned(&mut nodes, node, 130, 60);
        assert!(assigned.len() >= 59, "{} of 60 were assigned", assigned.len());
        let repeated = assigned.iter().filter(|id| **id == gone).count();
        assert_eq!(repeated, 0, "node {node}: assignments of an engine that is gone");
    }
}

#[test]
fn waiting_requests_of_a_frozen_node_are_never_answered() {
    const WAITING: u64 = 20;
    let mut nodes = nodes(3, 1);
    // Another node fills the only engine.
    let mut filling = Vec::new();
    for number in 0.. {
        nodes[2].begin(number, 10);
        deliver_all(&mut nodes, 10);
        let assigned = nodes[2].assigned();
        if assigned.is_empty() {
            break;
        }
        filling.extend(assigned);
    }
    let Node { scheduler, coordination, .. } = &mut nodes[2];
    coordination.tick(scheduler, 10, |_| true);
    deliver_all(&mut nodes, 10);
    for number in 0..WAITING {
        nodes[1].begin(100 + number, 20);
    }
    deliver_all(&mut nodes, 20);
    nodes[1].tick(40);
    deliver_all(&mut nodes, 40);
    // The node stands still for a second, while the other one reports.
    for now_ms in (40..1_000).step_by(20) {
        nodes[2].coordination.record_change(UpstreamTag::of("engine-0"));
        nodes[2].tick(now_ms);
        let sent = nodes[2].sent();
        for (_, message) in sent {
            nodes[0].receive(address(2), &message, now_ms);
        }
        nodes[0].sent();
    }
    let mut answered = 0;
    for now_ms in (1_020..9_000).step_by(20) {
        // The engine has room again.
        for assignment in filling.drain(..) {
            let outcome = AttemptOutcome { verdict: Verdict::Served, misdirection: None };
            let (index, pending) = (assignment.index, assignment.pending_prefill_tokens);
            let reserved = assignment.reserved_tokens;
            let scheduler = &mut nodes[2].scheduler;
            scheduler.record_attempt_end(index, pending, reserved, &outcome, now_ms);
            nodes[2].coordination.record_change(UpstreamTag::of("engine-0"));
        }
        // A node does nothing with time while nothing waits.
        nodes.iter_mut().filter(|node| !node.coordination.is_idle()).for_each(|n| n.tick(now_ms));
        deliver_all(&mut nodes, now_ms);
        answered += nodes[1].coordination.take_resolved().len() as u64;
    }
    assert_eq!(answered, WAITING, "of the requests that waited as the node stood still");
}

/// Advances the time without a gap that would count as a suspension.
fn advance(nodes: &mut [Node], now_ms: &mut u64, elapsed_ms: u64) {
    for _ in 0..elapsed_ms / 100 {
        *now_ms += 100;
        for node in nodes.iter_mut() {
            node.coordination.follow(&node.scheduler, *now_ms);
            node.tick(*now_ms);
        }
        deliver_all(nodes, *now_ms);
    }
}

/// Each node sees so few responses that it knows little of the slowdown of an engine.
#[test]
fn coordinator_takes_a_slow_engine_for_a_usual_one() {
    let mut nodes = nodes(9, 1);
    let mut now_ms = 0;
    for prompt in 0..64 {
        let node = 1 + prompt as usize % 8;
        nodes[node].begin(prompt, now_ms);
        deliver_all(&mut nodes, now_ms);
        for assignment in nodes[node].assigned() {
            advance(&mut nodes, &mut now_ms, 1_500);
            let Node { scheduler, coordination, .. } = &mut nodes[node];
            let slowdown_percent = Some(300);
            let load = ReportedLoad { running: 1, waiting: 0, slots: 32, slowdown_percent };
            scheduler.observe_response_head(assignment.index, None, Some(load), None, now_ms);
            scheduler.record_prefill_done(&assignment, now_ms);
            let served = AttemptOutcome { verdict: Verdict::Served, misdirection: None };
            let (index, reserved_tokens) = (assignment.index, assignment.reserved_tokens);
            scheduler.record_attempt_end(index, 0, reserved_tokens, &served, now_ms);
            coordination.record_change(UpstreamTag::of(&assignment.upstream.id));
        }
        advance(&mut nodes, &mut now_ms, 300);
    }
    let speed = |node: &Node| node.scheduler.fleet().iter().map(|(_, entry)| entry.speed).next();
    let speed = speed(&nodes[0]).expect("an engine is listed");
    assert!(speed.samples() >= 40.0, "{} samples", speed.samples());
    assert!(speed.usual_slowdown() > 2.5, "slowdown of {:.2}", speed.usual_slowdown());
}

/// Guards against an explanation by another node, queue or random number than the decision, and
/// against one that changes the decision.
#[test]
fn explanation_is_the_decision_of_the_coordinator() {
    let mut nodes = nodes(2, 4);
    for number in 0..40 {
        let now_ms = 10 + number;
        let request = request(Some(long_prompt(number % 5, number)), now_ms);
        let (planned, explanation) =
            nodes[1].coordination.explain(&nodes[1].scheduler, &request, now_ms).expect("grouped");
        assert_eq!(planned.coordinator, nodes[0].address);
        assert_eq!(planned.coordinator_name.as_deref(), Some("node-0"));
        assert!(explanation.is_none(), "another node decides");
        let node = &mut nodes[0];
        let (_, explanation) =
            node.coordination.explain(&node.scheduler, &request, now_ms).expect("grouped");
        let explanation = explanation.expect("this node decides");
        let expected = match explanation.choice {
            Choice::Send(assignment) => Some(assignment.upstream.id.clone()),
            _ => None,
        };
        node.coordination.begin(&mut node.scheduler, request, number as u32, FIRST, now_ms);
        // An earlier request that waited may be assigned at the same time.
        let resolved = node.coordination.take_resolved().into_iter();
        let assigned = resolved.filter(|known| u64::from(known.handle) == number).find_map(
            |known| match known.resolution {
                Resolution::Assigned(assignment) => Some(assignment.upstream.id.clone()),
                _ => None,
            },
        );
        assert_eq!(assigned, expected, "request {number}");
    }
}
