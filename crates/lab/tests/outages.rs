//! Real daemons while the platform is away, while a daemon is killed, and while one is paused.

mod support;

use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use serde_json::Value;

use crate::support::fleet::Daemon;
use crate::support::fleet::Fleet;
use crate::support::fleet::WAIT;
use crate::support::fleet::stop;
use crate::support::fleet::wait_ready;
use redwingrill_codes::ResultCode;
use redwingrill_fakes::Faults;
use redwingrill_lab::caller::Caller;
use redwingrill_lab::faults::FaultKind;
use redwingrill_lab::faults::FaultRule;
use redwingrill_lab::faults::Step;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

const TIMEOUTS: Timeouts = Timeouts { connect: WAIT, head: Duration::from_secs(30) };
const REPLY_LIMIT_BYTES: usize = 1 << 20;

/// The reply to a call of the service.
struct Answer {
    status: u16,
    body: Value,
}

impl Answer {
    fn code(&self) -> u64 {
        self.body["error"]["result_code"].as_u64().unwrap_or_default()
    }
}

async fn call_service(fleet: &Fleet, address: SocketAddr, key: Option<&str>) -> Answer {
    let pool = Pool::new();
    let service = &fleet.site.service;
    let request = match key {
        Some(key) => Request::post(format!("/services/{service}/orders"))
            .header("idempotency-key", key)
            .body(Bytes::from_static(b"{}")),
        None => Request::get(format!("/services/{service}/stock")).body(Bytes::new()),
    };
    let mut request = request.expect("the request is valid");
    let key = format!("Bearer {}", fleet.site.accounts[0].api_key);
    request.headers_mut().insert("authorization", key.parse().expect("the key is text"));
    request.headers_mut().insert("host", "router".parse().expect("the name is text"));
    let reply = pool.send(address, request, Freshness::New, &TIMEOUTS).await;
    let reply = reply.expect("the router answers");
    let status = reply.status().as_u16();
    let body = reply.into_body().read_all(REPLY_LIMIT_BYTES, WAIT).await;
    pool.close().await;
    let body = serde_json::from_slice(&body.expect("the answer is whole"));
    Answer { status, body: body.unwrap_or_default() }
}

fn runs_of(fleet: &Fleet) -> u64 {
    let runs = fleet.stand_ins.services.iter().flat_map(|service| service.runs());
    runs.map(|key| key.runs).sum()
}

async fn daemons(fleet: &Fleet, count: usize) -> Vec<Daemon> {
    let pool = Pool::new();
    let mut daemons = Vec::new();
    for n in 0..count {
        let daemon = fleet.daemon(n).await;
        wait_ready(&pool, daemon.process.admin_address).await;
        daemons.push(daemon);
    }
    pool.close().await;
    daemons
}

fn signal(daemon: &Daemon, name: &str) {
    let id = daemon.process.id().expect("the daemon runs").to_string();
    let status = Command::new("kill").args([&format!("-{name}"), &id]).status();
    assert!(status.expect("the signal is sent").success());
}

#[tokio::test(flavor = "multi_thread")]
async fn orders_are_refused_and_prompts_go_on_while_the_platform_is_away() {
    let fleet = Fleet::start("outage", 1_000).await;
    let daemons = daemons(&fleet, 2).await;
    let address = daemons[0].process.address;
    let caller = Caller::new();
    let outages =
        [Faults { down: true, ..Faults::default() }, Faults { frozen: true, ..Faults::default() }];
    for (n, faults) in outages.into_iter().enumerate() {
        fleet.stand_ins.platform.store.set_faults(faults);
        let before = runs_of(&fleet);
        let order = call_service(&fleet, address, Some(&format!("away-{n}"))).await;
        assert_eq!(order.body["error"]["ran"], "no", "{}", order.body);
        assert_eq!(runs_of(&fleet), before, "a refused order is not run");
        assert_eq!(call_service(&fleet, address, None).await.status, 200);
        assert!(caller.complete(address, &fleet.call("while away?", 3)).await.is_complete());
        fleet.stand_ins.platform.store.set_faults(Faults::default());
        tokio::time::sleep(Duration::from_millis(300)).await;
        let order = call_service(&fleet, address, Some(&format!("back-{n}"))).await;
        assert_eq!(order.status, 200, "{}", order.body);
    }
    caller.close().await;
    stop(fleet, daemons).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_killed_with_an_order_in_flight_never_makes_it_run_twice() {
    let fleet = Fleet::start("killed-order", 1_000).await;
    let mut daemons = daemons(&fleet, 2).await;
    for service in &fleet.stand_ins.services {
        let slow = FaultRule { kind: FaultKind::Slow, step: Step::Last, count: 1, delay_ms: 400 };
        service.set_faults(vec![slow]);
    }
    let first = daemons.remove(0);
    let address = first.process.address;
    let in_flight =
        async { tokio::time::timeout(WAIT, send_raw(&fleet, address, "killed-1")).await.is_ok() };
    let kill = async {
        while runs_of(&fleet) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        first.process.kill().await.expect("the daemon is killed");
    };
    tokio::join!(in_flight, kill);
    let retry = call_service(&fleet, daemons[0].process.address, Some("killed-1")).await;
    assert_eq!(retry.code(), u64::from(ResultCode::OutcomeUnknown.number()), "{}", retry.body);
    assert_eq!(runs_of(&fleet), 1);
    stop(fleet, daemons).await;
}

/// Sends an order whose connection is expected to break.
async fn send_raw(fleet: &Fleet, address: SocketAddr, key: &str) {
    let pool = Pool::new();
    let service = &fleet.site.service;
    let request = Request::post(format!("/services/{service}/orders"))
        .header("host", "router")
        .header("authorization", format!("Bearer {}", fleet.site.accounts[0].api_key))
        .header("idempotency-key", key)
        .body(Bytes::from_static(b"{}"));
    let request = request.expect("the request is valid");
    let reply = pool.send(address, request, Freshness::New, &TIMEOUTS).await;
    assert!(reply.is_err(), "the daemon is gone before it answers");
    pool.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_daemon_goes_on_and_repeats_nothing() {
    let fleet = Fleet::start("paused", 10_000).await;
    let daemons = daemons(&fleet, 2).await;
    let address = daemons[0].process.address;
    let caller = Caller::new();
    let call = fleet.call("what happens in a pause?", 60);
    let stream = caller.complete(address, &call);
    let pause = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        signal(&daemons[0], "STOP");
        let order = call_service(&fleet, daemons[1].process.address, Some("paused-1")).await;
        assert_eq!(order.status, 200, "{}", order.body);
        tokio::time::sleep(Duration::from_secs(3)).await;
        signal(&daemons[0], "CONT");
    };
    let (outcome, ()) = tokio::join!(stream, pause);
    assert!(outcome.is_complete(), "{:?}", outcome.ending);
    let retry = call_service(&fleet, address, Some("paused-1")).await;
    assert_eq!(retry.status, 200, "{}", retry.body);
    assert_eq!(runs_of(&fleet), 1);
    caller.close().await;
    stop(fleet, daemons).await;
}
