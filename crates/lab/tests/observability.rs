//! What operators see of a real daemon: settings faults, log lines, metrics, and the state dump.

mod support;

use std::net::UdpSocket;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::support::fleet::Fleet;
use crate::support::fleet::WAIT;
use crate::support::fleet::program;
use crate::support::fleet::stop;
use crate::support::fleet::wait_ready;
use redwingrill_lab::caller::Caller;
use redwingrill_transport::Pool;

/// What one request sends.
const METRICS: &[&str] = &["redwingrill.requests:1|c", "redwingrill.first_token_time_ms:"];

const LINE_FIELDS: &[&str] = &["time=", "level=", "event="];

#[test]
fn check_names_each_fault_and_starts_nothing() {
    struct Case {
        name: &'static str,
        text: &'static str,
        status: i32,
        says: &'static str,
    }
    let cases = [
        Case {
            name: "good.ini",
            text: "[node]\nname = a\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
                   peer_listen = 127.0.0.1:0\nfailure_domain = a\n\
                   [platform]\nendpoints = 127.0.0.1:2379\n",
            status: 0,
            says: "no faults",
        },
        Case {
            name: "bad.ini",
            text: "[node]\nname = a\nlisten = here\n",
            status: 3,
            says: "bad.ini:3: [node] listen:",
        },
    ];
    let folder = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    for case in cases {
        let path = folder.join(case.name);
        std::fs::write(&path, case.text).expect("the settings are written");
        let output = Command::new(program())
            .args(["--check", "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .output()
            .expect("the daemon runs");
        let said = [output.stdout, output.stderr].concat();
        let said = String::from_utf8(said).expect("the daemon writes text");
        assert_eq!(output.status.code(), Some(case.status), "{}: {said}", case.name);
        assert!(said.contains(case.says), "{}: {said}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_show_in_logs_metrics_and_the_dump() {
    let statsd = UdpSocket::bind("127.0.0.1:0").expect("a free port is bound");
    statsd.set_read_timeout(Some(Duration::from_millis(200))).expect("the timeout is set");
    let address = statsd.local_addr().expect("the port is known");
    let sections = format!("[metrics]\nstatsd = {address}\n");
    let fleet = Fleet::start("observability", 1_000).await.with_sections(&sections, "info");
    let log = fleet.folder().join("router-0.log");
    let daemon = fleet.daemon_with_log(0, &log).await;
    let pool = Pool::new();
    wait_ready(&pool, daemon.process.admin_address).await;
    let caller = Caller::new();
    let outcome = caller.complete(daemon.process.address, &fleet.call("seen?", 3)).await;
    assert!(outcome.is_complete(), "{:?}", outcome.ending);
    let metrics = read_metrics(&statsd);
    for name in METRICS {
        assert!(metrics.contains(name), "{name}: {metrics}");
    }
    let dump = fleet.dump(&pool, &daemon).await;
    for part in ["status", "configuration", "cluster", "rollout", "dispatch", "ledger"] {
        assert!(dump[part].is_object(), "{part}: {dump}");
    }
    check_log(&std::fs::read_to_string(&log).expect("the log is readable"));
    caller.close().await;
    pool.close().await;
    stop(fleet, vec![daemon]).await;
}

/// Reads until the metrics of a request have come, within a bound.
fn read_metrics(statsd: &UdpSocket) -> String {
    let mut metrics = String::new();
    let mut buffer = [0; 65_536];
    let deadline = Instant::now() + WAIT;
    while Instant::now() < deadline && !METRICS.iter().all(|name| metrics.contains(name)) {
        if let Ok(length) = statsd.recv(&mut buffer) {
            metrics.push_str(&String::from_utf8_lossy(&buffer[..length]));
            metrics.push('\n');
        }
    }
    metrics
}

fn check_log(log: &str) {
    for line in log.lines() {
        let has_fields = LINE_FIELDS.iter().all(|field| line.contains(field));
        assert!(has_fields, "not a line of key=value pairs: {line}");
    }
    let of_requests = log.lines().filter(|line| line.contains("event=request_answered"));
    assert!(of_requests.clone().count() > 0, "{log}");
    assert!(of_requests.clone().all(|line| line.contains(" request_id=req-")), "{log}");
}
