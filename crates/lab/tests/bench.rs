//! The commands that measure, on a small site and for a short time.

use std::collections::BTreeSet;
use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use serde_json::Value;

use redwingrill_lab::caller::Call;
use redwingrill_lab::caller::Caller;
use redwingrill_lab::engine::Engine;
use redwingrill_lab::engine::EngineOptions;
use redwingrill_lab::load::Balancer;
use redwingrill_lab::site::PeerNetwork;
use redwingrill_lab::site::Routers;
use redwingrill_lab::site::Site;
use redwingrill_lab::site::StandIns;
use redwingrill_lab::site::apply_site;

const CASE: &str = "[scenario]\nduration_ms = 900\nmeasure_from_ms = 300\n\
                    [traffic ordinary]\nload_percent = 30\n\
                    [event crash]\nkind = crash_engines\nat_ms = 400\npercent = 34\naway_ms = 100\n\
                    [event herd]\nkind = replace_routers\nat_ms = 500\n";
const KEYS: [&str; 11] = [
    "policy",
    "prefix_hit_ratio",
    "oracle_hit_ratio",
    "recomputed_tokens",
    "ttft_p50_ms",
    "ttft_p99_ms",
    "served_ratio",
    "small_account_served_ratio",
    "large_account_served_ratio",
    "failed",
    "shed",
];

fn lab(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_redwingrill-lab"))
        .args(arguments)
        .output()
        .expect("a command that runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{arguments:?}: {stderr}");
    // The calls that failed, for the output of a test that fails.
    eprint!("{stderr}");
    String::from_utf8(output.stdout).expect("plain text")
}

#[test]
fn a_scenario_prints_its_keys_for_each_policy_and_draws_them() {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("bench");
    fs::create_dir_all(&dir).expect("a writable directory");
    let (case, plot) = (dir.join("case.ini"), dir.join("plot.svg"));
    fs::write(&case, CASE).expect("a writable file");
    let (case, plot) = (case.to_string_lossy(), plot.to_string_lossy());
    let arguments = ["bench", "--scenario", &case, "--site", "example", "--json"];
    let more = ["--policies", "affinity,redwingrill", "--plot", &plot];
    let printed = lab(&[arguments.as_slice(), more.as_slice()].concat());
    let objects: Vec<Value> =
        printed.lines().map(|line| serde_json::from_str(line).expect("a JSON line")).collect();
    let policies: Vec<&Value> = objects.iter().map(|object| &object["policy"]).collect();
    assert_eq!(policies, ["affinity", "redwingrill"]);
    for object in &objects {
        let keys = object.as_object().expect("an object").keys().map(String::as_str);
        assert_eq!(keys.collect::<BTreeSet<_>>(), BTreeSet::from(KEYS));
        let priorities = object["ttft_p99_ms"].as_object().expect("an object").keys();
        assert_eq!(priorities.collect::<Vec<_>>(), ["checks", "drafts"]);
        assert_eq!(object["failed"], 0, "{object}");
    }
    let drawn = fs::read_to_string(plot.as_ref()).expect("a plot");
    assert!(drawn.starts_with("<svg") && drawn.contains("prefix hit ratio"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_on_its_way_to_a_replaced_router_is_answered() {
    const WELL_AFTER_A_STOP: Duration = Duration::from_millis(500);
    let site = Site::load("example").expect("a sound site");
    let stand_ins = StandIns::start(&site).await.expect("free ports");
    apply_site(&site, &stand_ins).await.expect("a sound configuration");
    let peers = PeerNetwork::new().expect("keys and a port");
    let routers = Routers::start(&site, stand_ins.platform.address, &peers, 0, "").await;
    let routers = routers.expect("free ports");
    routers.configured().await.expect("a configuration");
    let balancer = Balancer::new(routers.addresses());
    let address = balancer.choose(0);
    let calls = balancer.replace(Vec::new());
    let mut stopping = tokio::spawn(async move { routers.stop_after(&calls).await });
    let stopped = tokio::time::timeout(WELL_AFTER_A_STOP, &mut stopping).await;
    assert!(stopped.is_err(), "the routers are gone before the call arrived");
    let caller = Caller::new();
    let mut call = Call::new(&site.model, "question", 4);
    call.api_key.clone_from(&site.accounts[0].api_key);
    let outcome = caller.complete(address, &call).await;
    assert!(outcome.is_complete(), "{outcome:?}");
    stopping.await.expect("no panic");
    caller.close().await;
    stand_ins.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn load_checks_and_times_whole_answers() {
    let engine = Engine::start(EngineOptions::new("e1", "assistant", "v1")).await;
    let engine = engine.expect("a free port");
    let target = engine.address.to_string();
    let sending = tokio::task::spawn_blocking(move || {
        let arguments = ["load", "--target", &target, "--json", "--duration-s", "1"];
        let more = ["--requests-per-s", "20", "--max-tokens", "4"];
        lab(&[arguments.as_slice(), more.as_slice()].concat())
    });
    let printed = sending.await.expect("no panic");
    let report: Value = serde_json::from_str(&printed).expect("a JSON line");
    assert!(report["calls"].as_u64() > Some(0), "{report}");
    assert_eq!(report["served"], report["calls"], "{report}");
    engine.stop().await;
}
