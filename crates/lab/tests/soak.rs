//! Soaks of real daemons by seed. See docs/LAB.md.

use std::path::PathBuf;

use http::HeaderMap;
use http::HeaderValue;
use http::Method;

use redwingrill_lab::on_platform::StreamText;
use redwingrill_lab::site_upstream::SeenRequest;
use redwingrill_lab::soak::Answer;
use redwingrill_lab::soak::Asked;
use redwingrill_lab::soak::Kind;
use redwingrill_lab::soak::Plan;
use redwingrill_lab::soak::SoakOptions;
use redwingrill_lab::soak::body;
use redwingrill_lab::soak::check;
use redwingrill_lab::soak::run;
use redwingrill_lab::soak::target;

/// Seeds that failed once; each stays as a regression case.
///
/// 129: a process got SIGTERM in its first milliseconds, before it listened to signals, and was
/// ended by it; nothing had been served. The check took that for a bad end.
///
/// 3: requests went to a draining upstream after the store did an earlier write of it late.
const FAILED_ONCE: &[u64] = &[129, 3];

fn options(seed: u64) -> SoakOptions {
    SoakOptions {
        seed,
        program: PathBuf::from(env!("CARGO_BIN_EXE_redwingrill-lab"))
            .with_file_name("redwingrilld"),
        folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}")),
        nodes: 4,
        upstreams: 3,
        callers: 16,
    }
}

async fn play(seeds: impl IntoIterator<Item = u64>) {
    let mut findings = Vec::new();
    for seed in seeds {
        let report = run(&options(seed)).await.expect("the processes start");
        println!(
            "seed {seed}: {} asked, {} served; {} streams taken up, {} went on",
            report.asked, report.served, report.taken_up, report.went_on
        );
        assert!(report.served * 4 > report.asked, "seed {seed}: too few served to tell anything");
        findings.extend(report.findings.iter().map(|finding| format!("seed {seed}: {finding}")));
    }
    assert!(findings.is_empty(), "{findings:#?}");
}

#[test]
fn a_seed_always_draws_the_same_faults() {
    assert_eq!(Plan::draw(7, 4, 6), Plan::draw(7, 4, 6));
    assert_ne!(Plan::draw(7, 4, 6), Plan::draw(8, 4, 6));
}

struct CheckCase {
    name: &'static str,
    kind: Kind,
    answer: Option<Answer>,
    runs: usize,
    // The rule that is broken, if any.
    rule: Option<&'static str>,
}

fn answer(status: u16, stamp: Option<&str>, body: Option<&str>) -> Option<Answer> {
    Some(Answer {
        status,
        stamp: stamp.map(ToOwned::to_owned),
        request_id: Some("r1".to_owned()),
        body: body.map(ToOwned::to_owned),
        events: StreamText::parse(body.unwrap_or_default()),
    })
}

fn ran(kind: Kind, id: &str) -> SeenRequest {
    let mut headers = HeaderMap::new();
    headers.insert("x-request-id", id.parse().expect("plain text"));
    headers.insert("x-tenant", HeaderValue::from_static("cafe"));
    let (method, target, body) = (Method::POST, target(kind), body(id));
    let arrived = tokio::time::Instant::now();
    SeenRequest { method, target, headers, body, has_run: true, arrived }
}

#[test]
fn the_check_finds_each_broken_promise() {
    let stream: String = (1..=6).map(|id| format!("id: {id}\ndata: token{id} v1\n\n")).collect();
    let gap = stream.replace("id: 3\n", "id: 4\n");
    let joined = stream.replace("token6 v1", "token6 v2");
    let (stamp, whole) = (Some("stamp-s1"), Some("answer of s1"));
    let stream_of = |body: &str| answer(200, stamp, Some(body));
    let case = |name, kind, answer, runs, rule| CheckCase { name, kind, answer, runs, rule };
    let cases = [
        case("whole", Kind::Unsafe, answer(200, stamp, whole), 1, None),
        case("whole stream", Kind::Stream, stream_of(&stream), 1, None),
        case("broken off", Kind::Stream, answer(200, stamp, None), 1, None),
        case("no answer", Kind::Unsafe, None, 1, None),
        case("refused", Kind::Unsafe, answer(503, None, Some("")), 0, None),
        case("safe twice", Kind::Safe, answer(200, stamp, whole), 2, None),
        case("order twice", Kind::Unsafe, answer(200, stamp, whole), 2, Some("repeated")),
        case("untrue", Kind::Unsafe, answer(503, None, Some("")), 1, Some("untrue refusal")),
        case("unsigned", Kind::Safe, answer(200, None, whole), 1, Some("mixed")),
        case("cut short", Kind::Safe, answer(200, stamp, Some("ans")), 1, Some("mixed")),
        case("two versions", Kind::Resumable, stream_of(&joined), 1, Some("joined versions")),
        case("event lost", Kind::Resumable, stream_of(&gap), 1, Some("mixed")),
    ];
    for CheckCase { name, kind, answer, runs, rule } in cases {
        let asked = [Asked::new("r1".to_owned(), kind, answer)];
        let findings = check(&asked, &vec![ran(kind, "r1"); runs]);
        assert_eq!(findings.first().map(|finding| finding.rule), rule, "{name}");
    }
    assert_eq!(check(&[], &[ran(Kind::Safe, "r2")])[0].rule, "unasked");
    let mut altered = ran(Kind::Safe, "r1");
    altered.target = "/elsewhere".to_owned();
    let asked = [Asked::new("r1".to_owned(), Kind::Safe, None)];
    assert_eq!(check(&asked, &[altered])[0].rule, "altered");
}

#[test]
fn the_check_joins_the_attempts_of_a_stream() {
    for (version, rule) in [("v1", None), ("v2", Some("joined versions"))] {
        let part = |ids: std::ops::RangeInclusive<u64>, version: &str| -> String {
            ids.map(|id| format!("id: {id}\ndata: token{id} {version}\n\n")).collect()
        };
        let begun = answer(200, Some("stamp-s1"), Some(&part(1..=2, "v1")));
        let begun = begun.map(|answer| Answer { body: None, ..answer });
        let mut rest = answer(200, Some("stamp-s1"), Some(&part(3..=6, version)));
        rest.iter_mut().for_each(|answer| answer.request_id = Some("r2".to_owned()));
        let rest = Asked::new("r2".to_owned(), Kind::Resumable, rest);
        let rest = Asked { resumes: Some("r1".to_owned()), after: 2, ..rest };
        let asked = [Asked::new("r1".to_owned(), Kind::Resumable, begun), rest];
        let seen = [ran(Kind::Resumable, "r1"), ran(Kind::Resumable, "r2")];
        let findings = check(&asked, &seen);
        assert_eq!(findings.first().map(|finding| finding.rule), rule, "{findings:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_under_faults_of_fixed_seeds() {
    play([2].into_iter().chain(FAILED_ONCE.iter().copied())).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_under_faults_of_a_fresh_seed() {
    let seed = u64::from(rand::random::<u32>());
    println!("fresh seed {seed}");
    play([seed]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_join_two_versions_in_a_release() {
    play([1]).await;
}
