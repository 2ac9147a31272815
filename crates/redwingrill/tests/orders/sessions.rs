//! Golden tests of sessions.
//!
//! Each input line is a command, and the output repeats it with its result:
//! `fencing checked|ignored` (first), `start NODE`, `crash NODE`, `call NODE ACCOUNT KEY BODY`,
//! `begin` (the same without waiting), `fault STEP FAULT`, `trigger FAULT`, `clear`, `wait MS`,
//! `drain NODE`, and `runs`. A key of `-` sends none, and `A+B` sends two.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::sleep;

use crate::node::ACCOUNTS;
use crate::node::CallerRequest;
use crate::node::CallerResponse;
use crate::node::LayoutKind;
use crate::node::Node;
use crate::node::Timing;
use crate::store::HookedStore;
use crate::test_driver::Fault;
use crate::test_driver::Step;
use crate::test_driver::TestDriver;
use crate::upstream::Upstream;
use redwingrill_codes::ErrorBody;
use redwingrill_config::Fencing;
use redwingrill_fakes::MemoryStore;
use redwingrill_golden::run_dir;

struct Session {
    test_driver: TestDriver,
    store: HookedStore,
    upstream: Upstream,
    fencing: Fencing,
    layout: LayoutKind,
    nodes: BTreeMap<String, Node>,
}

impl Session {
    async fn start(fencing: Fencing, layout: LayoutKind) -> Self {
        let memory = MemoryStore::new();
        let test_driver = TestDriver::new(memory.clone());
        let store = HookedStore::new(memory, test_driver.clone());
        let checks_fencing = fencing == Fencing::Checked;
        let (upstream, _server) =
            Upstream::start(test_driver.clone(), checks_fencing, store.responded.clone()).await;
        Self { test_driver, store, upstream, fencing, layout, nodes: BTreeMap::new() }
    }

    async fn command(&mut self, line: &str) -> String {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["start", name] => {
                let upstream = (self.upstream.address, self.fencing);
                let store = self.store.clone();
                let node = Node::start(store, self.layout, Timing::SESSIONS, upstream);
                self.nodes.insert((*name).to_owned(), node);
            }
            ["crash", name] => self.nodes.get_mut(*name).expect("node exists").crash(),
            ["drain", name] => return format!("settled={}", self.nodes[*name].drain().await),
            ["call", node, account, keys, body @ ..] => {
                let response = self.nodes[*node].call(caller_request(account, keys, body)).await;
                return response.as_ref().map_or("no response".to_owned(), describe);
            }
            ["begin", node, account, keys, body @ ..] => {
                drop(self.nodes[*node].call(caller_request(account, keys, body)));
                sleep(Duration::from_millis(200)).await;
            }
            ["fault", step, fault] => self.test_driver.arm(step_of(step), fault_of(fault)),
            ["trigger", fault] => {
                self.test_driver.arm(Step::Parse, fault_of(fault));
                self.test_driver.step_reached(Step::Parse);
            }
            ["clear"] => self.test_driver.clear(),
            ["wait", ms] => sleep(Duration::from_millis(ms.parse().expect("valid number"))).await,
            ["runs"] => return self.runs(),
            _ => panic!("unknown command: {line}"),
        }
        "ok".to_owned()
    }

    fn runs(&self) -> String {
        let mut counts: BTreeMap<String, usize> = BTreeMap::new();
        for run in self.upstream.runs() {
            *counts.entry(format!("{}/{}", run.account, run.key)).or_default() += 1;
        }
        let counts = counts.iter().map(|(key, count)| format!("{key}={count}"));
        counts.collect::<Vec<_>>().join(" ")
    }
}

fn caller_request(account: &str, keys: &str, body: &[&str]) -> CallerRequest {
    let account = ACCOUNTS.iter().position(|name| *name == account).expect("known account");
    let keys = keys.split('+').filter(|key| *key != "-").map(str::to_owned).collect();
    CallerRequest { account, keys, body: body.join(" ") }
}

fn describe(response: &CallerResponse) -> String {
    let Ok(error) = serde_json::from_str::<ErrorBody>(&response.body) else {
        let header = |name: &str| {
            let value = response.headers.get(name).and_then(|value| value.to_str().ok());
            value.map(|value| format!(" [{name}: {value}]")).unwrap_or_default()
        };
        let window = header("x-redwingrill-idempotency-window");
        return format!(
            "{} {}{}{window}",
            response.status,
            response.body,
            header("x-redwingrill-replayed")
        );
    };
    let error = error.error;
    let code = error.code;
    format!(
        "{} {code} ({}) ran={}: {}",
        response.status,
        error.result_code,
        error.ran.as_str(),
        error.message
    )
}

fn step_of(name: &str) -> Step {
    let found = Step::ALL.into_iter().find(|step| format!("{step:?}") == name);
    found.unwrap_or_else(|| panic!("unknown step: {name}"))
}

fn fault_of(name: &str) -> Fault {
    let found = Fault::ALL.into_iter().find(|fault| format!("{fault:?}") == name);
    found.unwrap_or_else(|| panic!("unknown fault: {name}"))
}

fn run_session(input: &str, layout: LayoutKind) -> String {
    let runtime = tokio::runtime::Runtime::new().expect("runtime starts");
    runtime.block_on(async {
        let mut lines = input.lines().filter(|line| !line.is_empty() && !line.starts_with('#'));
        let fencing = match lines.next() {
            Some("fencing checked") => Fencing::Checked,
            Some("fencing ignored") => Fencing::Ignored,
            other => panic!("the first line must be the fencing kind, not {other:?}"),
        };
        let mut session = Session::start(fencing, layout).await;
        let mut output = String::new();
        for line in lines {
            let result = session.command(line).await;
            output.push_str(&format!("> {line}\n{result}\n"));
        }
        output
    })
}

const CASES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/orders/cases");

// Responses are the same in both layouts.

#[test]
fn sessions_match_golden_files_with_single_layout() {
    run_dir(CASES, |input| run_session(input, LayoutKind::Single));
}

#[test]
fn sessions_match_golden_files_with_paged_layout() {
    run_dir(CASES, |input| run_session(input, LayoutKind::Paged));
}
