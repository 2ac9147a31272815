//! Every fault of an engine at every step of a stream, and all pairs of two in a row.
//!
//! The caller must see one complete, ordered stream of its own, or an explicit error.

mod support;

use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use crate::support::Site;
use crate::support::call;
use redwingrill_lab::caller::Caller;
use redwingrill_lab::caller::Ending;
use redwingrill_lab::faults::FaultKind;
use redwingrill_lab::faults::FaultRule;
use redwingrill_lab::faults::Step;

const ANSWER_TOKENS: u32 = 6;
const SITES_AT_ONCE: usize = 24;

/// Tokens are 4 ms apart, so the deadlines leave room for a busy machine.
const STREAMS: &str = "connect_timeout = 400 ms\nfirst_token_timeout = 1 s\ntoken_timeout = 1 s\n";

const KINDS: &[FaultKind] = &[
    FaultKind::Die,
    FaultKind::Silence,
    FaultKind::Cut,
    FaultKind::Slow,
    FaultKind::Garbage,
    FaultKind::Crossed,
];

struct Case {
    rules: Vec<FaultRule>,
}

struct Verdict {
    rules: Vec<FaultRule>,
    ending: Ending,
    unstruck: u32,
}

fn steps(tokens: impl Iterator<Item = u32>) -> Vec<Step> {
    let mut steps = vec![Step::Connect, Step::Headers];
    steps.extend(tokens.map(Step::Token));
    steps.extend([Step::Last, Step::End]);
    steps
}

fn rules(steps: &[Step]) -> Vec<FaultRule> {
    let every =
        |step| KINDS.iter().map(move |&kind| FaultRule { kind, step, count: 1, delay_ms: 30 });
    steps.iter().copied().flat_map(every).collect()
}

async fn run_case(case: Case) -> Verdict {
    let site = Site::start(3, STREAMS).await;
    site.faults.set(case.rules.clone());
    let caller = Caller::new();
    let outcome = caller.complete(site.node.address(), &call("which pen?", ANSWER_TOKENS)).await;
    let unstruck = site.faults.rules().iter().map(|rule| rule.count).sum();
    caller.close().await;
    site.stop().await;
    Verdict { rules: case.rules, ending: outcome.ending, unstruck }
}

async fn run_cases(cases: Vec<Case>) -> Vec<Verdict> {
    let places = Arc::new(Semaphore::new(SITES_AT_ONCE));
    let mut tasks = JoinSet::new();
    for case in cases {
        let places = places.clone();
        tasks.spawn(async move {
            let _place = places.acquire_owned().await.expect("the semaphore stays open");
            run_case(case).await
        });
    }
    tasks.join_all().await
}

fn check(verdicts: &[Verdict]) {
    let complete = verdicts.iter().filter(|v| v.ending == Ending::Complete).count();
    let struck = verdicts.iter().filter(|v| v.unstruck == 0).count();
    println!("{} cases, {struck} with all faults struck, {complete} complete", verdicts.len());
    for verdict in verdicts {
        if verdict.ending != Ending::Complete {
            println!("{:?}: {:?}", verdict.rules, verdict.ending);
        }
    }
    let wrong = verdicts.iter().filter(|v| matches!(v.ending, Ending::Wrong { .. })).count();
    assert_eq!(wrong, 0, "streams cut, out of order, or of another caller");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_each_fault_at_each_step() {
    let cases = rules(&steps(1..=ANSWER_TOKENS));
    let cases: Vec<Case> = cases.into_iter().map(|rule| Case { rules: vec![rule] }).collect();
    let count = cases.len();
    let verdicts = run_cases(cases).await;
    check(&verdicts);
    assert!(verdicts.iter().all(|v| v.unstruck == 0), "every fault strikes");
    let complete = verdicts.iter().filter(|v| v.ending == Ending::Complete).count();
    assert_eq!(complete, count, "one fault never costs a stream");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_survives_all_pairs_of_faults() {
    let singles = rules(&steps([1, 3].into_iter()));
    let mut cases = Vec::new();
    for first in &singles {
        cases.extend(singles.iter().map(|second| Case { rules: vec![*first, *second] }));
    }
    check(&run_cases(cases).await);
}
