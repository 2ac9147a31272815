//! Engines of two software versions serve side by side: what two of them wrote does not fit together,
//! so a stream goes on at the version that began it, or not at all.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use http::HeaderValue;
use http::StatusCode;
use tokio::time::sleep;
use xxhash_rust::xxh3::xxh3_64;

use crate::site::Call;
use crate::site::KillableNode;
use crate::site::Site;
use redwingrill_lab::metadata_store::StoreFault;
use redwingrill_lab::on_platform::Resumption;
use redwingrill_lab::on_platform::StreamPart;
use redwingrill_lab::on_platform::StreamText;
use redwingrill_lab::site_upstream::Behaviour;
use redwingrill_lab::site_upstream::EVENTS;
use redwingrill_lab::soak::Link;
use redwingrill_lab::soak::LinkState;

const STREAMS: usize = 24;

/// The events that a caller reads before it drops its connection.
const READ_EVENTS: usize = 2;

/// How long nodes take to know what the store has.
const KNOWN: Duration = Duration::from_millis(500);

/// The attempts of a caller that is refused, and the longest time between them.
const RESUMPTIONS: usize = 3;
const LONGEST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// The longest time to the refusal of a stream that cannot go on.
const REFUSED_WITHIN: Duration = Duration::from_millis(200);

/// A caller of one stream, over all of its attempts.
struct Caller {
    name: String,
    attempts: usize,
    /// The attempt that brought the first event.
    first: Option<String>,
    text: StreamText,
}

impl Caller {
    fn new(name: String) -> Self {
        Self { name, attempts: 0, first: None, text: StreamText::default() }
    }

    /// Asks for the stream, or for the rest of it.
    async fn ask(&mut self, site: &Site, node: SocketAddr, events: usize) -> Option<StreamPart> {
        let resumes = self.first.as_deref().and_then(|id| HeaderValue::from_str(id).ok());
        self.ask_as(site, node, events, resumes).await
    }

    /// Like [`Caller::ask`] with an attempt that it says brought the first event.
    async fn ask_as(
        &mut self,
        site: &Site,
        node: SocketAddr,
        events: usize,
        resumes: Option<HeaderValue>,
    ) -> Option<StreamPart> {
        let id = format!("{}-{}", self.name, self.attempts);
        self.attempts += 1;
        let last_event = self.text.last_event();
        let resumption = last_event.map(|last_event| Resumption { last_event, resumes });
        // Prompts of their own, so that all engines get streams.
        let parts = Some(format!("{:08x}:2410", xxh3_64(self.name.as_bytes()) as u32));
        let call = Call { parts, resumption, ..Call::new("check", &id) };
        let part = site.read(node, &call, events).await?;
        let text = StreamText::parse(&part.body);
        if text.last_event().is_some() {
            self.first.get_or_insert(id);
        }
        self.text.append(text);
        Some(part)
    }

    fn is_joined(&self) -> bool {
        self.text.software().len() > 1
    }

    fn is_whole(&self) -> bool {
        self.text.ids().eq(1..=EVENTS)
    }
}

/// Callers that ask at once and read so many events.
async fn begin(
    site: &Site,
    node: SocketAddr,
    name: &str,
    count: usize,
    events: usize,
) -> Vec<Caller> {
    let callers = (0..count).map(|n| async move {
        let mut caller = Caller::new(format!("{name}-{n}"));
        caller.ask(site, node, events).await;
        caller
    });
    join_all(callers).await
}

/// All callers whose streams were interrupted ask for the rest, again if they are refused.
async fn resume(site: &Site, node: SocketAddr, callers: &mut [Caller]) {
    let interrupted = callers.iter_mut().filter(|caller| !caller.is_whole());
    let resumed = interrupted.map(async |caller| {
        for _ in 0..RESUMPTIONS {
            let Some(part) = caller.ask(site, node, EVENTS as usize).await else { break };
            if part.status != StatusCode::SERVICE_UNAVAILABLE {
                break;
            }
            let wait = part.headers.get("retry-after").and_then(|wait| wait.to_str().ok());
            let wait = wait.and_then(|wait| wait.parse().ok()).unwrap_or(0.0);
            sleep(Duration::from_secs_f64(wait).min(LONGEST_RETRY_AFTER)).await;
        }
    });
    join_all(resumed).await;
}

/// How many streams of callers joined two versions, and how many went on to their end.
#[derive(Clone, Copy, Debug)]
struct Outcome {
    streams: usize,
    joined: usize,
    whole: usize,
}

impl Outcome {
    fn of(callers: &[Caller]) -> Self {
        let count = |of: fn(&Caller) -> bool| callers.iter().filter(|caller| of(caller)).count();
        let begun = count(|caller| caller.first.is_some());
        Self { streams: begun, joined: count(Caller::is_joined), whole: count(Caller::is_whole) }
    }
}

fn assert_not_joined(outcomes: &[(&str, Outcome)]) {
    let are_sound = outcomes.iter().all(|(_, outcome)| outcome.streams > 0 && outcome.joined == 0);
    assert!(are_sound, "{outcomes:#?}");
}

/// The versions have engines enough, so at least half of the streams go on.
fn assert_half_go_on(outcomes: &[(&str, Outcome)]) {
    assert_not_joined(outcomes);
    let go_on = outcomes.iter().all(|(_, outcome)| outcome.whole * 2 >= outcome.streams);
    assert!(go_on, "{outcomes:#?}");
}

async fn site_of(versions: &[(&str, usize)]) -> Site {
    let mut site = Site::start(0, 0).await;
    for (software, engines) in versions {
        site.add_engines(software, *engines).await;
    }
    site
}

async fn two_nodes(site: &Site) -> [KillableNode; 2] {
    let nodes = [site.killable_node("n1").await, site.killable_node("n2").await];
    sleep(KNOWN).await;
    nodes
}

/// Streams of callers that do not come back, whose first engine fails in the middle.
async fn fail_within_answers(behaviour: Behaviour, engines_per_version: usize) -> Outcome {
    let versions = [("v1", engines_per_version), ("v2", engines_per_version)];
    let site = site_of(&versions).await;
    let node = site.killable_node("n1").await;
    let mut struck = Vec::new();
    for (round, engine) in site.engines.iter().cycle().take(8).enumerate() {
        engine.set(behaviour);
        let name = format!("r{round}");
        let callers = begin(&site, node.node.callers, &name, 8, EVENTS as usize).await;
        engine.set(Behaviour::Serves);
        let seen = engine.seen();
        struck.extend(callers.into_iter().filter(|caller| {
            let mut begun = seen.iter().filter(|seen| seen.header("last-event-id").is_none());
            begun.any(|seen| seen.header("x-request-id") == caller.first.as_deref())
        }));
        if !struck.is_empty() {
            break;
        }
    }
    drop(node);
    site.stop(Vec::new()).await;
    Outcome::of(&struck)
}

async fn assert_versions_stay_apart_within_answers(behaviour: Behaviour) {
    let alone = ("no other engine of the version", fail_within_answers(behaviour, 1).await);
    let other = ("another engine of the version", fail_within_answers(behaviour, 2).await);
    assert_not_joined(&[alone, other]);
    assert_half_go_on(&[other]);
}

/// The engine of a stream breaks off, and the answer goes on.
#[tokio::test]
async fn broken_stream_goes_on_at_another_version_within_its_answer() {
    assert_versions_stay_apart_within_answers(Behaviour::BreaksOff).await;
}

/// The engine of a stream is silent for longer than the route's pause, and the stream moves.
#[tokio::test]
async fn stalled_stream_moves_to_another_version() {
    assert_versions_stay_apart_within_answers(Behaviour::IsSlow).await;
}

/// The caller's connection ends, and it resumes at another node.
#[tokio::test]
async fn caller_resumes_at_another_node_and_gets_another_version() {
    let site = site_of(&[("v1", 2), ("v2", 2)]).await;
    let [first, second] = two_nodes(&site).await;
    let mut callers = begin(&site, first.node.callers, "r", STREAMS, READ_EVENTS).await;
    resume(&site, second.node.callers, &mut callers).await;
    assert_half_go_on(&[("resumed at another node", Outcome::of(&callers))]);
    drop([first, second]);
    site.stop(Vec::new()).await;
}

/// Begins streams at all nodes, at engines that pause after the first event, and kills the nodes.
async fn begin_and_kill(site: &Site, nodes: Vec<KillableNode>, streams: usize) -> Vec<Caller> {
    site.engines.iter().for_each(|engine| engine.set(Behaviour::IsSlow));
    let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.node.callers).collect();
    let begun = addresses.iter().enumerate().map(async |(n, node)| {
        let count = streams / addresses.len();
        begin(site, *node, &format!("r{n}"), count, EVENTS as usize).await
    });
    let kill = async {
        sleep(Duration::from_millis(250)).await;
        drop(nodes);
    };
    let (begun, ()) = tokio::join!(join_all(begun), kill);
    site.engines.iter().for_each(|engine| engine.set(Behaviour::Serves));
    begun.into_iter().flatten().collect()
}

/// The node of a stream is killed, and its caller resumes at another one.
#[tokio::test]
async fn stream_of_a_killed_node_goes_on_at_another_version() {
    let site = site_of(&[("v1", 2), ("v2", 2)]).await;
    let [first, second] = two_nodes(&site).await;
    let mut callers = begin_and_kill(&site, vec![first], STREAMS).await;
    resume(&site, second.node.callers, &mut callers).await;
    assert_half_go_on(&[("resumed after the kill of a node", Outcome::of(&callers))]);
    drop(second);
    site.stop(Vec::new()).await;
}

/// Restarts both nodes without what they had in memory, and lets the callers resume.
async fn resume_at_new_nodes(site: &Site, callers: &mut [Caller]) {
    let nodes = [site.killable_node("n1").await, site.killable_node("n2").await];
    let half = callers.len() / 2;
    let (some, others) = callers.split_at_mut(half);
    resume(site, nodes[1].node.callers, some).await;
    resume(site, nodes[0].node.callers, others).await;
}

/// All nodes are killed at once while two versions serve.
#[tokio::test]
async fn nodes_that_lost_their_memory_join_two_versions() {
    let site = site_of(&[("v1", 2), ("v2", 2)]).await;
    let nodes = two_nodes(&site).await;
    let mut callers = begin_and_kill(&site, nodes.into(), STREAMS).await;
    resume_at_new_nodes(&site, &mut callers).await;
    assert_not_joined(&[("all nodes killed", Outcome::of(&callers))]);
    site.stop(Vec::new()).await;
}

/// All nodes are killed, and once they are back only the newer version is in service.
#[tokio::test]
async fn version_that_left_while_all_nodes_were_away_is_joined_with_the_next() {
    let mut outcomes = Vec::new();
    for (case, is_early) in [("newer version before the kill", true), ("after the kill", false)] {
        let mut site = site_of(&[("v1", 2)]).await;
        if is_early {
            site.add_engines("v2", 2).await;
        }
        let nodes = two_nodes(&site).await;
        let mut callers = begin_and_kill(&site, nodes.into(), STREAMS).await;
        if !is_early {
            site.add_engines("v2", 2).await;
        }
        for gone in site.engines.drain(..2) {
            gone.unlist();
            gone.stop().await;
        }
        resume_at_new_nodes(&site, &mut callers).await;
        outcomes.push((case, Outcome::of(&callers)));
        site.stop(Vec::new()).await;
    }
    assert_not_joined(&outcomes);
}

/// All nodes are killed while there is one version, so nothing can be joined.
#[tokio::test]
async fn streams_of_the_only_version_are_lost_with_all_nodes() {
    let site = site_of(&[("v1", 3)]).await;
    let nodes = two_nodes(&site).await;
    let mut callers = begin_and_kill(&site, nodes.into(), STREAMS).await;
    resume_at_new_nodes(&site, &mut callers).await;
    assert_half_go_on(&[("one version", Outcome::of(&callers))]);
    site.stop(Vec::new()).await;
}

/// The caller does not say which attempt began the stream, or says it in a way that names none.
#[tokio::test]
async fn resumption_that_names_no_attempt_joins_two_versions() {
    let site = site_of(&[("v1", 2), ("v2", 2)]).await;
    let [first, second] = two_nodes(&site).await;
    let cases = [
        ("missing", None),
        ("empty", Some(Vec::new())),
        ("with spaces", Some(b"not an id".to_vec())),
        ("not text", Some(vec![0xff, 0xfe])),
        ("very long", Some(vec![b'7'; 10 << 10])),
    ];
    let mut outcomes = Vec::new();
    for (case, resumes) in cases {
        let resumes = resumes.map(|resumes| HeaderValue::from_bytes(&resumes).expect("a value"));
        let mut callers = begin(&site, first.node.callers, case, 8, READ_EVENTS).await;
        let resumed = callers.iter_mut().map(|caller| {
            let (node, events) = (second.node.callers, EVENTS as usize);
            caller.ask_as(&site, node, events, resumes.clone())
        });
        join_all(resumed).await;
        outcomes.push((case, Outcome::of(&callers)));
    }
    assert_not_joined(&outcomes);
    drop([first, second]);
    site.stop(Vec::new()).await;
}

/// No engine of the stream's version is left, and none will come.
#[tokio::test]
async fn resumption_of_a_version_that_left_is_held_or_joined() {
    let mut site = site_of(&[("v1", 2)]).await;
    let nodes = two_nodes(&site).await;
    let mut callers = begin(&site, nodes[0].node.callers, "r", 8, READ_EVENTS).await;
    site.add_engines("v2", 2).await;
    sleep(KNOWN).await;
    for gone in site.engines.drain(..2) {
        gone.unlist();
        gone.stop().await;
    }
    sleep(KNOWN).await;
    for (n, caller) in callers.iter_mut().enumerate() {
        let node = nodes[n % nodes.len()].node.callers;
        let part = caller.ask(&site, node, EVENTS as usize).await.expect("the node answers");
        let (status, took) = (part.status, part.head_after);
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{n}: {:?}", caller.text);
        assert!(took < REFUSED_WITHIN, "{n}: refused after {took:?}");
    }
    drop(nodes);
    site.stop(Vec::new()).await;
}

/// The engines of a stream start again with another version of their software.
#[tokio::test]
async fn engine_that_started_again_with_another_version_takes_up_its_streams() {
    let mut outcomes = Vec::new();
    for (case, is_same) in [("under its identity", true), ("under a new identity", false)] {
        let site = site_of(&[("v1", 2)]).await;
        let node = site.killable_node("n1").await;
        sleep(KNOWN).await;
        let mut callers = begin(&site, node.node.callers, "r", 8, READ_EVENTS).await;
        for engine in &site.engines {
            if is_same {
                engine.restart("v2");
            } else {
                engine.replace("v2");
            }
        }
        sleep(KNOWN).await;
        resume(&site, node.node.callers, &mut callers).await;
        outcomes.push((case, Outcome::of(&callers)));
        drop(node);
        site.stop(Vec::new()).await;
    }
    assert_not_joined(&outcomes);
}

/// A node without the store does not hear from it of the version that began a stream elsewhere.
#[tokio::test]
async fn node_cut_off_from_the_store_joins_a_newer_version() {
    let mut outcomes = Vec::new();
    for (case, state) in [("silent", LinkState::Silent), ("reset", LinkState::Resets)] {
        let mut site = site_of(&[("v1", 2)]).await;
        let first = site.killable_node("n1").await;
        let link = Link::start(site.store.address()).await.expect("a port is free");
        let seeds = vec![first.node.peers];
        let second = site.start_killable_node("n2", link.address, seeds).await;
        site.wait("the node is ready", async || site.is_ready(&second.node).await).await;
        sleep(KNOWN).await;
        link.set(state);
        site.add_engines("v2", 2).await;
        sleep(KNOWN).await;
        let mut callers = begin(&site, first.node.callers, "r", STREAMS, READ_EVENTS).await;
        resume(&site, second.node.callers, &mut callers).await;
        outcomes.push((case, Outcome::of(&callers)));
        drop([first, second]);
        site.stop(Vec::new()).await;
    }
    assert_not_joined(&outcomes);
}

/// The store comes back from a copy that knows one version only.
#[tokio::test]
async fn store_restored_in_a_release_joins_two_versions() {
    let mut site = site_of(&[("v1", 2)]).await;
    let [first, second] = two_nodes(&site).await;
    let copy = site.store.state.copy();
    site.add_engines("v2", 2).await;
    sleep(KNOWN).await;
    let mut callers = begin(&site, first.node.callers, "before", STREAMS, READ_EVENTS).await;
    site.store.state.set_fault(StoreFault::Busy);
    sleep(Duration::from_millis(300)).await;
    site.store.state.restore(&copy);
    site.store.state.set_fault(StoreFault::None);
    resume(&site, second.node.callers, &mut callers).await;
    let mut later = begin(&site, first.node.callers, "after", STREAMS, READ_EVENTS).await;
    site.store.state.write_lost_again();
    sleep(KNOWN).await;
    resume(&site, second.node.callers, &mut callers).await;
    resume(&site, second.node.callers, &mut later).await;
    callers.extend(later);
    assert_not_joined(&[("restored", Outcome::of(&callers))]);
    drop([first, second]);
    site.stop(Vec::new()).await;
}
