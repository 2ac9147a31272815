//! Every fault at every step of an order, then a retry on another node and on the first.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::StreamExt;
use futures::stream;
use tokio::time::sleep;

use crate::conductor::Conductor;
use crate::conductor::Fault;
use crate::conductor::Step;
use crate::node::Ask;
use crate::node::Got;
use crate::node::LayoutKind;
use crate::node::Node;
use crate::node::Timing;
use crate::store::HookedStore;
use crate::upstream::Upstream;
use redwingrill_codes::ErrorBody;
use redwingrill_codes::Ran;
use redwingrill_config::Fencing;
use redwingrill_fakes::MemoryStore;

const PARALLEL_CASES: usize = 24;

#[derive(Clone, Copy, Debug)]
struct Case {
    fault: Fault,
    step: Step,
    fencing: Fencing,
    layout: LayoutKind,
}

/// What became of a case.
#[derive(Debug)]
struct Outcome {
    case: Case,
    struck: bool,
    failure: Option<String>,
}

struct Bench {
    conductor: Conductor,
    store: HookedStore,
    upstream: Upstream,
    fencing: Fencing,
    layout: LayoutKind,
}

impl Bench {
    async fn start(fencing: Fencing, layout: LayoutKind) -> Self {
        let memory = MemoryStore::new();
        let conductor = Conductor::new(memory.clone());
        let store = HookedStore::new(memory, conductor.clone());
        let checks = fencing == Fencing::Checked;
        let (upstream, _server) =
            Upstream::start(conductor.clone(), checks, store.answered.clone()).await;
        Self { conductor, store, upstream, fencing, layout }
    }

    fn start_node(&self, store: HookedStore) -> Node {
        let upstream = (self.upstream.address, self.fencing);
        Node::start(store, self.layout, Timing::MATRIX, upstream)
    }

    /// Starts a node that reports its steps.
    fn node(&self) -> Node {
        self.start_node(self.store.clone())
    }

    /// Starts a node that does not.
    fn other_node(&self) -> Node {
        let quiet = Conductor::new(self.store.inner.clone());
        let mut store = HookedStore::new(self.store.inner.clone(), quiet);
        store.answered = Arc::new(AtomicBool::new(false));
        self.start_node(store)
    }
}

fn ask() -> Ask {
    Ask { account: 0, keys: vec!["order-1".to_owned()], body: "two pens".to_owned() }
}

async fn run_case(case: Case) -> Outcome {
    let bench = Bench::start(case.fencing, case.layout).await;
    let mut node = bench.node();
    bench.store.lose_first.store(case.step == Step::Settle, Ordering::SeqCst);
    bench.conductor.arm(case.step, case.fault);
    let mut answers = Vec::new();
    bench.conductor.reach(Step::Parse);
    let answer = node.call(ask());
    let call = async {
        let got = answer.await;
        bench.conductor.reach(Step::Reply);
        got
    };
    tokio::pin!(call);
    let first = tokio::select! {
        biased;
        () = bench.conductor.node_struck.notified() => None,
        got = &mut call => Some(got),
    };
    let first = match first {
        Some(got) => got,
        None if case.fault == Fault::NodePause => {
            node.pause();
            call.await
        }
        None => {
            node.crash();
            None
        }
    };
    answers.extend(first);
    // The fault lasts for a while after the answer, then ends.
    sleep(Duration::from_millis(50)).await;
    bench.conductor.heal();
    if case.fault == Fault::NodeRestart {
        node = bench.node();
    }
    let other = bench.other_node();
    answers.extend(other.call(ask()).await);
    sleep(Duration::from_millis(450)).await;
    if case.fault != Fault::NodeCrash {
        answers.extend(node.call(ask()).await);
    }
    answers.extend(other.call(ask()).await);
    let drained = other.drain().await;
    let failure = check(&bench, case, &answers).err();
    let failure = failure.or_else(|| (!drained).then(|| "the ledger was not drained".to_owned()));
    Outcome { case, struck: bench.conductor.has_struck(), failure }
}

fn check(bench: &Bench, case: Case, answers: &[Got]) -> Result<(), String> {
    let runs = bench.upstream.runs();
    if runs.len() > 1 {
        return Err(format!("ran {} times: {runs:?}; answers {answers:?}", runs.len()));
    }
    for got in answers {
        let ran = runs.iter().any(|run| run.request_id == got.request_id);
        match serde_json::from_str::<ErrorBody>(&got.body) {
            Ok(error) if error.error.ran == Ran::No && ran => {
                return Err(format!("said not run, but ran: {got:?}"));
            }
            Ok(_) => {}
            Err(_) if got.body == "done order-1 for writers: two pens" => {}
            // To a router that was told that the upstream ignores numbers, this is an outcome.
            Err(_) if case.fencing == Fencing::Ignored && got.body == "fenced" => {}
            Err(_) => return Err(format!("an answer that is neither whole nor an error: {got:?}")),
        }
    }
    Ok(())
}

fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for layout in [LayoutKind::Single, LayoutKind::Paged] {
        for fencing in [Fencing::Ignored, Fencing::Checked] {
            for fault in Fault::ALL {
                cases.extend(Step::ALL.map(|step| Case { fault, step, fencing, layout }));
            }
        }
    }
    cases
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_fault_at_any_step_breaks_a_promise() {
    let cases = cases();
    let count = cases.len();
    let runs = stream::iter(cases).map(|case| tokio::spawn(run_case(case)));
    let outcomes: Vec<Outcome> = runs
        .buffer_unordered(PARALLEL_CASES)
        .map(|joined| joined.expect("a case does not panic"))
        .collect()
        .await;
    let missed: Vec<_> = outcomes.iter().filter(|outcome| !outcome.struck).collect();
    println!(
        "orders: {} faults x {} steps x 2 kinds of upstream x 2 layouts = {count} cases run",
        Fault::ALL.len(),
        Step::ALL.len()
    );
    let failed: Vec<_> = outcomes
        .iter()
        .filter_map(|outcome| Some((outcome.case, outcome.failure.as_ref()?)))
        .collect();
    assert!(failed.is_empty(), "{} of {count} cases failed: {failed:#?}", failed.len());
    assert!(missed.is_empty(), "faults that never struck: {missed:#?}");
}
