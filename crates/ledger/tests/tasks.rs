//! Tests of the ledger task on an in-memory store with a paused clock.

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
use redwingrill_ledger::order::RecordError;
use redwingrill_ledger::task::Ledger;

const LAYOUTS: [LayoutKind; 2] = [LayoutKind::Single, LayoutKind::Paged];

fn cluster(layout: LayoutKind, forwarding: bool) -> Cluster {
    let options = ClusterOptions { layout, forwarding, ..ClusterOptions::default() };
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

async fn call_node(
    cluster: &Cluster,
    node: usize,
    id: u64,
    key: &str,
) -> Result<Outcome, ResultCode> {
    serve(&cluster.ledger(node), &cluster.service, call(id, key)).await
}

/// The expected effect of a store fault on an order, and on a retry on another node after the
/// fault.
struct FaultCase {
    name: &'static str,
    faults: Faults,
    first: Result<(), ResultCode>,
    retry_is_served: bool,
}

fn fault_cases() -> Vec<FaultCase> {
    let none = Faults::default();
    let unavailable = Err(ResultCode::LedgerUnavailable);
    let outcome_unknown = Err(ResultCode::LedgerOutcomeUnknown);
    let slow = Duration::from_millis(300);
    let case = |name, faults, first| FaultCase { name, faults, first, retry_is_served: true };
    vec![
        case("none", none, Ok(())),
        case("down", Faults { down: true, ..none }, unavailable),
        case("slow", Faults { delay: slow, ..none }, Ok(())),
        case("frozen", Faults { frozen: true, ..none }, outcome_unknown),
        case("calls lost", Faults { write: WriteFault::LoseRequest, ..none }, outcome_unknown),
        case("responses lost", Faults { write: WriteFault::LoseResponse, ..none }, Ok(())),
        case("rate limited", Faults { calls_per_s_limit: 1, ..none }, Ok(())),
    ]
}

#[tokio::test(start_paused = true)]
async fn store_faults_give_correct_codes_and_a_retry_succeeds() {
    for layout in LAYOUTS {
        for case in fault_cases() {
            let cluster = cluster(layout, false);
            // An earlier order makes the node acquire its leases and pages before the fault.
            call_node(&cluster, 0, 1, "earlier").await.expect("the store has no fault yet");
            sleep(Duration::from_secs(2)).await;
            cluster.store.set_faults(case.faults);
            let first = call_node(&cluster, 0, 2, "order").await;
            cluster.store.set_faults(Faults::default());
            sleep(Duration::from_secs(2)).await;
            let retry = call_node(&cluster, 1, 3, "order").await;
            let name = case.name;
            assert_eq!(first.map(|_| ()), case.first, "{layout:?}: {name}");
            assert_eq!(retry.is_ok(), case.retry_is_served, "{layout:?}: {name}: {retry:?}");
            let hash = support::order_key("writers", "order").hash;
            assert_eq!(cluster.service.runs(hash), 1, "{layout:?}: {name}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn order_is_not_sent_after_the_send_limit() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let recorded = receive(&cluster.ledger(0), "order").record(AttemptId(1)).await;
        sleep(Duration::from_secs(6)).await;
        let sent = recorded.expect("the store has no fault").send();
        assert_eq!(sent.err(), Some(ResultCode::LedgerOutcomeUnknown), "{layout:?}");
        sleep(Duration::from_secs(2)).await;
        // The order was withdrawn, so a retry runs.
        assert!(call_node(&cluster, 1, 2, "order").await.is_ok(), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn dropped_order_is_withdrawn_if_unsent_and_unknown_if_sent() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let ledger = cluster.ledger(0);
        drop(
            receive(&ledger, "unsent").record(AttemptId(1)).await.expect("the store has no fault"),
        );
        let recorded =
            receive(&ledger, "sent").record(AttemptId(2)).await.expect("the store has no fault");
        drop(recorded.send().expect("within the send limit"));
        sleep(Duration::from_secs(2)).await;
        assert!(call_node(&cluster, 1, 3, "unsent").await.is_ok(), "{layout:?}");
        let retry = call_node(&cluster, 1, 4, "sent").await;
        assert_eq!(retry, Err(ResultCode::OutcomeUnknown), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn caller_disconnect_during_recording_withdraws_the_order() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        cluster.store.set_faults(Faults { delay: Duration::from_millis(100), ..Faults::default() });
        let record = receive(&cluster.ledger(0), "order").record(AttemptId(1));
        let timed_out = tokio::time::timeout(Duration::from_millis(150), record).await;
        assert!(timed_out.is_err(), "{layout:?}");
        cluster.store.set_faults(Faults::default());
        sleep(Duration::from_secs(2)).await;
        let state = cluster.ledger(0).state().await.expect("the ledger task is running");
        assert_eq!(state.running, 0, "{layout:?}");
        assert!(call_node(&cluster, 1, 2, "order").await.is_ok(), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn orders_in_flight_are_limited_per_account() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let ledger = cluster.ledger(0);
        let mut recorded = Vec::new();
        for number in 0..8_u32 {
            let order = receive(&ledger, &format!("order-{number}"));
            recorded.push(
                order.record(AttemptId(number.into())).await.expect("within the in-flight limit"),
            );
        }
        let ninth = receive(&ledger, "order-8").record(AttemptId(8)).await;
        assert_eq!(ninth.err(), Some(RecordError::Refused(ResultCode::WindowFull)), "{layout:?}");
        drop(recorded);
        sleep(Duration::from_secs(1)).await;
        assert!(call_node(&cluster, 0, 9, "order-8").await.is_ok(), "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn expired_key_is_refused_until_it_is_deleted() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        call_node(&cluster, 0, 1, "order").await.expect("the store has no fault");
        for (id, pause_s) in [(2, 100), (3, 200), (4, 250)] {
            sleep(Duration::from_secs(pause_s)).await;
            let retry = call_node(&cluster, id as usize % 2, id, "order").await;
            assert_eq!(retry, Err(ResultCode::KeyExpired), "{layout:?} {id}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn records_past_the_window_are_removed() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        for id in 0..40 {
            call_node(&cluster, 0, id, &format!("order-{id}"))
                .await
                .expect("the store has no fault");
            sleep(Duration::from_millis(500)).await;
        }
        let prefix = "redwingrill/orders/";
        let stored = redwingrill_ports::Store::list(&cluster.store, prefix).await;
        let before = stored.expect("the store has no fault").len();
        sleep(Duration::from_secs(1_200)).await;
        let stored = redwingrill_ports::Store::list(&cluster.store, prefix).await;
        let after = stored.expect("the store has no fault").len();
        assert!(before >= 8, "{layout:?}: {before}");
        // The paged layout keeps the two newest pages of each of the two shards.
        assert!(after <= 4, "{layout:?}: {after} of {before} left");
    }
}

/// Returns `count` keys that belong to the first of the two shards.
fn keys_of_first_shard(prefix: &str, count: usize) -> Vec<String> {
    let names = (0..).map(|number| format!("{prefix}-{number}"));
    let first = names.filter(|name| support::order_key("writers", name).shard(2).index == 0);
    first.take(count).collect()
}

/// Guards against running an order twice: a node that owns a shard again after a long time has a
/// stale view, in which a page that was deleted meanwhile seems absent and could be created again.
#[tokio::test(start_paused = true)]
async fn returning_owner_does_not_recreate_deleted_pages() {
    let cluster = cluster(LayoutKind::Paged, true);
    // The first node fills a page and assumes that the next page is absent.
    for (id, key) in keys_of_first_shard("early", 4).iter().enumerate() {
        call_node(&cluster, 0, id as u64, key).await.expect("the store has no fault");
    }
    // The other node is the owner for longer than pages are kept.
    cluster.set_owner(1);
    let later = keys_of_first_shard("later", 200);
    for (id, key) in later.iter().enumerate() {
        call_node(&cluster, 1, 100 + id as u64, key).await.expect("the store has no fault");
        sleep(Duration::from_secs(6)).await;
    }
    cluster.set_owner(0);
    for (id, key) in later.iter().enumerate().skip(195) {
        let retry = call_node(&cluster, 0, 1_000 + id as u64, key).await;
        assert!(retry.is_ok(), "{key}: {retry:?}");
        let hash = support::order_key("writers", key).hash;
        assert_eq!(cluster.service.runs(hash), 1, "{key}");
    }
}

#[tokio::test(start_paused = true)]
async fn orders_succeed_after_a_store_restore() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        cluster.store.save();
        call_node(&cluster, 0, 1, "before").await.expect("the store has no fault");
        sleep(Duration::from_secs(1)).await;
        // The restore removes the leases and pages that were created after the save.
        cluster.store.restore();
        for id in 2..5 {
            let after = call_node(&cluster, 0, id, &format!("after-{id}")).await;
            assert!(after.is_ok(), "{layout:?}: {after:?}");
            let retry = call_node(&cluster, 1, id + 10, &format!("after-{id}")).await;
            assert!(retry.is_ok() || retry == Err(ResultCode::OutcomeUnknown), "{layout:?}");
        }
        assert_eq!(cluster.service.arrivals().len(), 4, "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn owner_failure_falls_back_to_local_writes() {
    for layout in LAYOUTS {
        let mut cluster = cluster(layout, true);
        for id in 0..10 {
            call_node(&cluster, 0, id, &format!("order-{id}"))
                .await
                .expect("the store has no fault");
        }
        let forwarded =
            cluster.ledger(0).state().await.expect("the ledger task is running").counters.forwarded;
        assert!(forwarded > 0, "{layout:?}");
        cluster.crash(1);
        for id in 10..20 {
            call_node(&cluster, 0, id, &format!("order-{id}"))
                .await
                .expect("an unreachable owner does not fail the order");
        }
        cluster.restart(1);
        cluster.set_paused(1, true);
        for id in 20..30 {
            call_node(&cluster, 0, id, &format!("order-{id}"))
                .await
                .expect("an unreachable owner does not fail the order");
        }
        cluster.set_paused(1, false);
        cluster.set_owner(1);
        sleep(Duration::from_secs(2)).await;
        for id in 0..30 {
            let retry = call_node(&cluster, 1, id + 100, &format!("order-{id}")).await;
            assert!(retry.is_ok(), "{layout:?} {id}: {retry:?}");
        }
        assert_eq!(cluster.service.arrivals().len(), 30, "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn drain_writes_pending_operations() {
    for layout in LAYOUTS {
        let mut cluster = cluster(layout, false);
        for id in 0..5 {
            call_node(&cluster, 0, id, &format!("order-{id}"))
                .await
                .expect("the store has no fault");
        }
        assert!(cluster.ledger(0).close(Duration::from_millis(200)).await, "{layout:?}");
        cluster.crash(0);
        for id in 0..5 {
            let retry = call_node(&cluster, 1, id + 10, &format!("order-{id}")).await;
            assert!(retry.is_ok(), "{layout:?} {id}: {retry:?}");
        }
        assert_eq!(cluster.service.arrivals().len(), 5, "{layout:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn close_returns_within_its_limit_while_the_store_is_down() {
    for layout in LAYOUTS {
        let cluster = cluster(layout, false);
        let ledger = cluster.ledger(0);
        let recorded =
            receive(&ledger, "order").record(AttemptId(1)).await.expect("the store has no fault");
        cluster.store.set_faults(Faults { down: true, ..Faults::default() });
        let sent = recorded.send().expect("within the send limit");
        sent.finish(Outcome::from_response(200, std::iter::empty(), Default::default()));
        assert!(!ledger.close(Duration::from_secs(1)).await, "{layout:?}");
        sleep(Duration::from_millis(10)).await;
        assert_eq!(ledger.state().await, None, "{layout:?}");
        cluster.store.set_faults(Faults::default());
        let retry = call_node(&cluster, 1, 2, "order").await;
        assert_eq!(retry, Err(ResultCode::OutcomeUnknown), "{layout:?}");
    }
}
