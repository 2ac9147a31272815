//! The ledger task on a store in memory with a paused clock.

mod support;

use std::time::Duration;

use tokio::time::sleep;

use crate::support::nodes::Call;
use crate::support::nodes::Cluster;
use crate::support::nodes::ClusterOptions;
use crate::support::nodes::LayoutKind;
use crate::support::nodes::serve;
use crate::support::service::Service;
use redwingrill_codes::ResultCode;
use redwingrill_fakes::Faults;
use redwingrill_fakes::WriteFault;
use redwingrill_ledger::AttemptId;
use redwingrill_ledger::Outcome;
use redwingrill_ledger::order::Order;
use redwingrill_ledger::order::Received;
use redwingrill_ledger::order::Settled;
use redwingrill_ledger::task::Ledger;

const LAYOUTS: [LayoutKind; 2] = [LayoutKind::Single, LayoutKind::Paged];

fn cluster(layout: LayoutKind, homes: bool) -> Cluster {
    let options = ClusterOptions { layout, homes, ..ClusterOptions::default() };
    Cluster::start(options, Service::new(1, false, false))
}

fn call(id: u64, key: &str) -> Call {
    Call {
        id,
        key: support::order_key("writers", key),
        fingerprint: support::fingerprint("pens"),
        policy: support::policy(None),
    }
}

fn receive(ledger: &Ledger, key: &str) -> Order<Received> {
    let Call { key, fingerprint, policy, .. } = call(0, key);
    Order::receive(ledger, key, fingerprint, policy)
}

async fn ask(cluster: &Cluster, node: usize, id: u64, key: &str) -> Result<Outcome, ResultCode> {
    serve(&cluster.ledger(node), &cluster.service, call(id, key)).await
}

/// What a fault at the store does to an order, and to a retry after it on another node.
struct FaultCase {
    name: &'static str,
    faults: Faults,
    first: Result<(), ResultCode>,
    retry_is_served: bool,
}

fn fault_cases() -> Vec<FaultCase> {
    let none = Faults::default();
    let unavailable = Err(ResultCode::LedgerUnavailable);
    let unsettled = Err(ResultCode::LedgerOutcomeUnknown);
    let slow = Duration::from_millis(300);
    let case = |name, faults, first| FaultCase { name, faults, first, retry_is_served: true };
    vec![
        case("none", none, Ok(())),
        case("down", Faults { down: true, ..none }, unavailable),
        case("slow", Faults { delay: slow, ..none }, Ok(())),
        case("frozen", Faults { frozen: true, ..none }, unsettled),
        case("calls lost", Faults { write: WriteFault::LoseRequest, ..none }, unsettled),
        case("answers lost", Faults { write: WriteFault::LoseResponse, ..none }, Ok(())),
        case("rate limited", Faults { calls_per_s_limit: 1, ..none }, Ok(())),
    ]
}

#[tokio::test(start_paused = true)]
async fn store_faults_refuse_truly_and_leave_nothing_behind() {
    for layout in LAYOUTS {
        for case in fault_cases() {
            let cluster = cluster(layout, false);
            // The leases and pages of a node that has served before are there.
            ask(&cluster, 0, 1, "earlier").await.expect("no fault yet");
            sleep(Duration::from_secs(2)).await;
            cluster.store.set_faults(case.faults);
            let first = ask(&cluster, 0, 2, "order").await;
            cluster.store.set_faults(Faults::default());
            sleep(Duration::from_secs(2)).await;
            let retry = ask(&cluster, 1, 3, "order").await;
            let name = case.name;
            assert_eq!(first.map(|_| ()), case.first, "{layout:?}: {name}");
            assert_eq!(retry.is_ok(), case.retry_is_served, "{layout:?}: {name}: {retry:?}");
            let hash = support::order_key("writers", "order").hash;
            assert_eq!(cluster.service.runs(hash), 1, "{layout:?}: {name}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_is_not_sent_long_after_it_was_recorded() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let recorded = receive(&cluster.ledger(0), "order").record(AttemptId(1)).await;
        sleep(Duration::from_secs(6)).await;
        let sent = recorded.expect("no fault").send();
        assert_eq!(sent.err(), Some(ResultCode::LedgerOutcomeUnknown), "{layout:?}");
        sleep(Duration::from_secs(2)).await;
        // It was withdrawn, so a retry runs.
        assert!(ask(&cluster, 1, 2, "order").await.is_ok(), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_dropped_order_is_withdrawn_before_it_was_sent_and_unknown_after() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let ledger = cluster.ledger(0);
        drop(receive(&ledger, "unsent").record(AttemptId(1)).await.expect("no fault"));
        let recorded = receive(&ledger, "sent").record(AttemptId(2)).await.expect("no fault");
        drop(recorded.send().expect("in time"));
        sleep(Duration::from_secs(2)).await;
        assert!(ask(&cluster, 1, 3, "unsent").await.is_ok(), "{layout:?}");
        let retry = ask(&cluster, 1, 4, "sent").await;
        assert_eq!(retry, Err(ResultCode::OutcomeUnknown), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_while_its_order_is_recorded_leaves_nothing() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        cluster.store.set_faults(Faults { delay: Duration::from_millis(100), ..Faults::default() });
        let record = receive(&cluster.ledger(0), "order").record(AttemptId(1));
        let left = tokio::time::timeout(Duration::from_millis(150), record).await;
        assert!(left.is_err(), "{layout:?}");
        cluster.store.set_faults(Faults::default());
        sleep(Duration::from_secs(2)).await;
        let state = cluster.ledger(0).state().await.expect("the task runs");
        assert_eq!(state.running, 0, "{layout:?}");
        assert!(ask(&cluster, 1, 2, "order").await.is_ok(), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn orders_in_flight_are_bounded_for_each_account() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let ledger = cluster.ledger(0);
        let mut recorded = Vec::new();
        for number in 0..8_u32 {
            let order = receive(&ledger, &format!("order-{number}"));
            recorded.push(order.record(AttemptId(number.into())).await.expect("within the bound"));
        }
        let ninth = receive(&ledger, "order-8").record(AttemptId(8)).await;
        assert_eq!(ninth.err(), Some(Settled::Refused(ResultCode::WindowFull)), "{layout:?}");
        drop(recorded);
        sleep(Duration::from_secs(1)).await;
        assert!(ask(&cluster, 0, 9, "order-8").await.is_ok(), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_key_past_the_window_is_refused_for_as_long_as_it_is_kept() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        ask(&cluster, 0, 1, "order").await.expect("no fault");
        for (id, pause_s) in [(2, 100), (3, 200), (4, 250)] {
            sleep(Duration::from_secs(pause_s)).await;
            let retry = ask(&cluster, id as usize % 2, id, "order").await;
            assert_eq!(retry, Err(ResultCode::KeyExpired), "{layout:?} {id}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn records_behind_the_window_are_removed() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        for id in 0..40 {
            ask(&cluster, 0, id, &format!("order-{id}")).await.expect("no fault");
            sleep(Duration::from_millis(500)).await;
        }
        let prefix = "redwingrill/orders/";
        let stored = redwingrill_ports::Store::list(&cluster.store, prefix).await;
        let before = stored.expect("no fault").len();
        sleep(Duration::from_secs(1_200)).await;
        let stored = redwingrill_ports::Store::list(&cluster.store, prefix).await;
        let after = stored.expect("no fault").len();
        assert!(before >= 8, "{layout:?}: {before}");
        // Pages keep the newest of each of two shards, and the one before it.
        assert!(after <= 4, "{layout:?}: {after} of {before} left");
    }
}

/// Names of keys in the first of the two shards.
fn keys_of_first_shard(prefix: &str, count: usize) -> Vec<String> {
    let names = (0..).map(|number| format!("{prefix}-{number}"));
    let first = names.filter(|name| support::order_key("writers", name).shard(2).index == 0);
    first.take(count).collect()
}

#[tokio::test(start_paused = true)]
async fn a_home_that_comes_back_does_not_make_deleted_pages_anew() {
    let cluster = cluster(LayoutKind::Paged, true);
    // The first node fills a page, and takes the next one to be absent.
    for (id, key) in keys_of_first_shard("early", 4).iter().enumerate() {
        ask(&cluster, 0, id as u64, key).await.expect("no fault");
    }
    // The other is the home for longer than pages are kept.
    cluster.hand_over(1);
    let later = keys_of_first_shard("later", 200);
    for (id, key) in later.iter().enumerate() {
        ask(&cluster, 1, 100 + id as u64, key).await.expect("no fault");
        sleep(Duration::from_secs(6)).await;
    }
    cluster.hand_over(0);
    for (id, key) in later.iter().enumerate().skip(195) {
        let retry = ask(&cluster, 0, 1_000 + id as u64, key).await;
        assert!(retry.is_ok(), "{key}: {retry:?}");
        let hash = support::order_key("writers", key).hash;
        assert_eq!(cluster.service.runs(hash), 1, "{key}");
    }
}

#[tokio::test(start_paused = true)]
async fn orders_go_on_after_the_store_was_restored() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        cluster.store.save();
        ask(&cluster, 0, 1, "before").await.expect("no fault");
        sleep(Duration::from_secs(1)).await;
        // Leases and pages are gone with the rest.
        cluster.store.restore();
        for id in 2..5 {
            let after = ask(&cluster, 0, id, &format!("after-{id}")).await;
            assert!(after.is_ok(), "{layout:?}: {after:?}");
            let retry = ask(&cluster, 1, id + 10, &format!("after-{id}")).await;
            assert!(retry.is_ok() || retry == Err(ResultCode::OutcomeUnknown), "{layout:?}");
        }
        assert_eq!(cluster.service.arrivals().len(), 4, "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn homes_serve_and_their_loss_is_made_up() {
    for layout in LAYOUTS {
        let mut cluster = cluster(layout, true);
        for id in 0..10 {
            ask(&cluster, 0, id, &format!("order-{id}")).await.expect("no fault");
        }
        let forwarded = cluster.ledger(0).state().await.expect("the task runs").counters.forwarded;
        assert!(forwarded > 0, "{layout:?}");
        cluster.crash(1);
        for id in 10..20 {
            ask(&cluster, 0, id, &format!("order-{id}")).await.expect("the home is only a hint");
        }
        cluster.restart(1);
        cluster.set_paused(1, true);
        for id in 20..30 {
            ask(&cluster, 0, id, &format!("order-{id}")).await.expect("the home is only a hint");
        }
        cluster.set_paused(1, false);
        cluster.hand_over(1);
        sleep(Duration::from_secs(2)).await;
        for id in 0..30 {
            let retry = ask(&cluster, 1, id + 100, &format!("order-{id}")).await;
            assert!(retry.is_ok(), "{layout:?} {id}: {retry:?}");
        }
        assert_eq!(cluster.service.arrivals().len(), 30, "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_drain_writes_what_waits() {
    for layout in LAYOUTS {
        let mut cluster = cluster(layout, false);
        for id in 0..5 {
            ask(&cluster, 0, id, &format!("order-{id}")).await.expect("no fault");
        }
        assert!(cluster.ledger(0).close(Duration::from_millis(200)).await, "{layout:?}");
        cluster.crash(0);
        for id in 0..5 {
            let retry = ask(&cluster, 1, id + 10, &format!("order-{id}")).await;
            assert!(retry.is_ok(), "{layout:?} {id}: {retry:?}");
        }
        assert_eq!(cluster.service.arrivals().len(), 5, "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_closed_ledger_ends_in_time_while_the_store_is_down() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let ledger = cluster.ledger(0);
        let recorded = receive(&ledger, "order").record(AttemptId(1)).await.expect("no fault");
        cluster.store.set_faults(Faults { down: true, ..Faults::default() });
        let sent = recorded.send().expect("in time");
        sent.finish(Outcome::of(200, std::iter::empty(), Default::default()));
        assert!(!ledger.close(Duration::from_secs(1)).await, "{layout:?}");
        sleep(Duration::from_millis(10)).await;
        assert_eq!(ledger.state().await, None, "{layout:?}");
        cluster.store.set_faults(Faults::default());
        let retry = ask(&cluster, 1, 2, "order").await;
        assert_eq!(retry, Err(ResultCode::OutcomeUnknown), "{layout:?}");
    }
}
