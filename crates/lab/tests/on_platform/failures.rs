//! Failures of upstreams at each kind of request: what the caller gets, and how often it ran.

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::time::Instant;

use crate::site::Answer;
use crate::site::Call;
use crate::site::HOST;
use crate::site::KEY;
use crate::site::Site;
use crate::site::configuration;
use redwingrill_lab::site_upstream::Behaviour;

/// What the caller gets.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Gets {
    /// The whole answer of an upstream.
    Whole,
    /// The upstream's own failure.
    UpstreamFailure,
    /// An error of the router's own that promises nothing.
    Unknown,
    /// An error of the router's own that says that nothing was run.
    NotRun,
    /// A stream that is broken off.
    Broken,
}

struct FailureCase {
    route: &'static str,
    /// Of the upstream that gets the request first; the other one serves.
    first: Behaviour,
    gets: Gets,
    /// Runs at both upstreams together.
    runs: usize,
}

const fn case(route: &'static str, first: Behaviour, gets: Gets, runs: usize) -> FailureCase {
    FailureCase { route, first, gets, runs }
}

const CASES: [FailureCase; 43] = [
    case("order", Behaviour::Sheds, Gets::Whole, 1),
    case("order", Behaviour::IsAnother, Gets::Whole, 1),
    case("order", Behaviour::Fails, Gets::UpstreamFailure, 1),
    case("order", Behaviour::FailsBusy, Gets::Unknown, 1),
    case("order", Behaviour::DropsAnswer, Gets::Unknown, 1),
    case("order", Behaviour::IsMute, Gets::Unknown, 1),
    case("order", Behaviour::CrossesAnswers, Gets::Unknown, 1),
    case("order", Behaviour::DoesNotSign, Gets::Unknown, 1),
    case("order", Behaviour::Recodes, Gets::Unknown, 1),
    case("order", Behaviour::BreaksOff, Gets::Unknown, 1),
    case("order", Behaviour::RepeatsRefusal, Gets::Unknown, 1),
    case("order", Behaviour::RepeatsMisdirection, Gets::Unknown, 1),
    case("look", Behaviour::RepeatsRefusal, Gets::Whole, 2),
    case("draft", Behaviour::RepeatsRefusal, Gets::Unknown, 1),
    case("draft", Behaviour::RepeatsMisdirection, Gets::Unknown, 1),
    case("check", Behaviour::RepeatsRefusal, Gets::Whole, 2),
    case("look", Behaviour::Sheds, Gets::Whole, 1),
    case("look", Behaviour::IsAnother, Gets::Whole, 1),
    case("look", Behaviour::Fails, Gets::Whole, 2),
    case("look", Behaviour::FailsBusy, Gets::Whole, 2),
    case("look", Behaviour::DropsAnswer, Gets::Whole, 2),
    case("look", Behaviour::IsMute, Gets::Whole, 2),
    case("look", Behaviour::CrossesAnswers, Gets::Whole, 2),
    case("look", Behaviour::DoesNotSign, Gets::Whole, 2),
    case("look", Behaviour::Recodes, Gets::Whole, 2),
    case("look", Behaviour::BreaksOff, Gets::Whole, 2),
    case("draft", Behaviour::Sheds, Gets::Whole, 1),
    case("draft", Behaviour::IsAnother, Gets::Whole, 1),
    case("draft", Behaviour::Fails, Gets::UpstreamFailure, 1),
    case("draft", Behaviour::DropsAnswer, Gets::Unknown, 1),
    case("draft", Behaviour::CrossesAnswers, Gets::Unknown, 1),
    case("draft", Behaviour::BreaksOff, Gets::Broken, 1),
    case("draft", Behaviour::CutsUnframed, Gets::Broken, 1),
    case("draft", Behaviour::EndsUnframed, Gets::Unknown, 1),
    case("check", Behaviour::CutsUnframed, Gets::Whole, 2),
    case("check", Behaviour::EndsUnframed, Gets::Whole, 2),
    case("check", Behaviour::Sheds, Gets::Whole, 1),
    case("check", Behaviour::Fails, Gets::Whole, 2),
    case("check", Behaviour::DropsAnswer, Gets::Whole, 2),
    case("check", Behaviour::IsMute, Gets::Whole, 2),
    case("check", Behaviour::CrossesAnswers, Gets::Whole, 2),
    case("check", Behaviour::BreaksOff, Gets::Whole, 2),
    case("check", Behaviour::IsSlow, Gets::Whole, 2),
];

#[tokio::test]
async fn each_failure_ends_as_its_kind_allows() {
    for case in CASES {
        let site = Site::start(2, 2).await;
        let node = site.node("n1").await;
        let upstreams =
            if matches!(case.route, "draft" | "check") { &site.engines } else { &site.shops };
        // Which one is first is the node's choice: the request that fails is the one that meets it.
        let mut met = None;
        for attempt in 0..20 {
            let first = attempt % 2;
            upstreams[first].set(case.first);
            let runs_before: usize = upstreams.iter().map(|upstream| upstream.runs()).sum();
            let seen_before = upstreams[first].seen().len();
            let asked = Instant::now();
            let answer = site.ask(&node, &Call::new(case.route, &format!("r{attempt}"))).await;
            let took = asked.elapsed();
            upstreams[first].set(Behaviour::Serves);
            let runs: usize = upstreams.iter().map(|upstream| upstream.runs()).sum();
            if upstreams[first].seen().len() > seen_before {
                met = Some((answer, runs - runs_before, took));
                break;
            }
        }
        let name = format!("{} {:?}", case.route, case.first);
        let (answer, runs, took) = met.expect("the node meets the first upstream");
        assert_eq!(gets(&answer), case.gets, "{name}: {answer:?}");
        assert_eq!(runs, case.runs, "{name}");
        assert!(took < Duration::from_millis(2_000), "{name}: {took:?}");
        site.stop(vec![node]).await;
    }
}

fn gets(answer: &Answer) -> Gets {
    let Some(body) = &answer.body else { return Gets::Broken };
    match answer.status {
        StatusCode::OK => {
            assert!(answer.is_signed());
            let is_whole = body.starts_with("answer of") || answer.events() == [1, 2, 3, 4, 5, 6];
            assert!(is_whole, "{body}");
            Gets::Whole
        }
        status if answer.is_signed() => {
            assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
            Gets::UpstreamFailure
        }
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Gets::Unknown,
        StatusCode::SERVICE_UNAVAILABLE => Gets::NotRun,
        status => panic!("{status}"),
    }
}

/// A stream that broke off goes on at an engine that answers with an error.
#[tokio::test]
async fn error_of_the_next_engine_gets_into_a_stream() {
    for error in [
        Behaviour::Fails,
        Behaviour::FailsBusy,
        Behaviour::Sheds,
        Behaviour::IsAnother,
        Behaviour::CrossesAnswers,
        Behaviour::WritesError,
    ] {
        let site = Site::start(2, 0).await;
        let node = site.node("n1").await;
        for attempt in 0..20 {
            let first = attempt % 2;
            site.engines[first].set(Behaviour::BreaksOff);
            site.engines[1 - first].set(error);
            let seen_before = site.engines[1 - first].seen().len();
            let answer = site.ask(&node, &Call::new("check", &format!("r{attempt}"))).await;
            let next = site.engines[1 - first].seen();
            let resumed = next[seen_before..].iter();
            let resumed = resumed.filter(|seen| seen.header("last-event-id").is_some()).count();
            if answer.status == StatusCode::OK && resumed > 0 {
                assert_eq!(answer.body, None, "{error:?}: the stream does not look complete");
                break;
            }
            assert!(attempt < 19, "{error:?}: no stream went on at the next engine");
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        site.stop(vec![node]).await;
    }
}

#[tokio::test]
async fn a_request_that_no_upstream_takes_is_refused_as_not_run() {
    let site = Site::start(0, 2).await;
    let node = site.node("n1").await;
    site.shops.iter().for_each(|shop| shop.set(Behaviour::Sheds));
    let answer = site.ask(&node, &Call::new("order", "r1")).await;
    assert_eq!(gets(&answer), Gets::NotRun);
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.shops.iter().map(|shop| shop.runs()).sum::<usize>(), 0);
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn an_upstream_stops_when_its_caller_leaves() {
    let site = Site::start(1, 0).await;
    let node = site.node("n1").await;
    site.engines[0].set(Behaviour::IsSlow);
    let answer = site.send(&node, &Call::new("draft", "r1")).await;
    assert_eq!(site.engines[0].open_streams(), 1);
    drop(answer);
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(site.engines[0].open_streams(), 0);
    site.stop(vec![node]).await;
}

#[tokio::test]
async fn a_request_is_given_up_at_the_time_of_its_route() {
    let site = Site::start(0, 1).await;
    let node = site.node("n1").await;
    site.shops[0].set(Behaviour::IsMute);
    let asked = Instant::now();
    let answer = site.ask(&node, &Call::new("order", "r1")).await;
    let took = asked.elapsed();
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    let limit = Duration::from_millis(1_500);
    assert!((limit..limit + Duration::from_millis(250)).contains(&took), "{took:?}");
    site.stop(vec![node]).await;
}

/// A stream whose only engine pauses for longer than the stall timeout: cutting it would lose it,
/// since no other upstream can take over.
#[tokio::test]
async fn slow_but_sound_stream_is_not_cut() {
    let site = Site::start(1, 0).await;
    let node = site.node("n1").await;
    let steady = json!({"name": "steady", "host": HOST, "prefix": "/steady/", "kind": "stream",
        "timeout_ms": 15_000, "target_latency_ms": 400, "gap_target_ms": 100, "priority": 1,
        "service": "llm", "max_attempts": 2, "anonymous": false, "sticky": true,
        "resumable": true});
    site.store.state.put("op/config", configuration(2, &[KEY], &[steady]));
    tokio::time::sleep(Duration::from_millis(400)).await;
    site.engines[0].set(Behaviour::IsSlow);
    let answer = site.ask(&node, &Call::new("steady", "r1")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.events(), [1, 2, 3, 4, 5, 6]);
    assert!(answer.body.is_some(), "the stream ended well");
    assert_eq!(site.engines[0].runs(), 1);
    site.stop(vec![node]).await;
}
