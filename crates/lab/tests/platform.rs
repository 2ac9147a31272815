//! The platform stand-in, reached through the project's own adapter and by hand.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use redwingrill_etcd::EtcdStore;
use redwingrill_etcd::PlatformOptions as AdapterOptions;
use redwingrill_fakes::Faults;
use redwingrill_fakes::WriteFault;
use redwingrill_lab::platform::Platform;
use redwingrill_lab::platform::PlatformOptions;
use redwingrill_lab::platform::RangeRequest;
use redwingrill_lab::platform::RunningPlatform;
use redwingrill_lab::platform::TxnRequest;
use redwingrill_lab::platform::WatchRequest;
use redwingrill_ports::Change;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;
use redwingrill_ports::Watch;
use redwingrill_transport::Pool;

const WAIT: Duration = Duration::from_secs(5);

async fn platform() -> RunningPlatform {
    let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let options = PlatformOptions { listen: any, admin: any, list_lag_ms: 0 };
    Platform::start(options).await.expect("a free port")
}

fn store(platform: &RunningPlatform, pool: &Pool) -> EtcdStore {
    EtcdStore::new(AdapterOptions::new(vec![platform.address]), pool.clone())
}

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[tokio::test]
async fn swaps_reads_and_deletions_go_through() {
    let platform = platform().await;
    let pool = Pool::new();
    let store = store(&platform, &pool);
    let first = store.swap("a/1", Expected::Absent, value("x"), None).await;
    assert_eq!(first, Ok(Swap::Done(Revision(1))));
    let entry = Entry { key: "a/1".to_owned(), value: value("x"), revision: Revision(1) };
    let again = store.swap("a/1", Expected::Absent, value("y"), None).await;
    assert_eq!(again, Ok(Swap::Conflict(Some(entry.clone()))));
    let next = store.swap("a/1", Expected::At(Revision(1)), value("y"), None).await;
    assert_eq!(next, Ok(Swap::Done(Revision(2))));
    store.swap("b/1", Expected::Absent, value("z"), None).await.expect("a write");
    let keys: Vec<String> =
        store.list("a/").await.expect("a list").into_iter().map(|e| e.key).collect();
    assert_eq!(keys, ["a/1"]);
    assert_eq!(store.delete("a/1", Revision(1)).await, Ok(false));
    assert_eq!(store.delete("a/1", Revision(2)).await, Ok(true));
    assert_eq!(store.get("a/1").await, Ok(None));
    pool.close().await;
    platform.stop().await;
}

#[tokio::test]
async fn watches_report_from_a_revision_on() {
    let platform = platform().await;
    let pool = Pool::new();
    let store = store(&platform, &pool);
    store.swap("a/1", Expected::Absent, value("x"), None).await.expect("a write");
    let mut watch = store.watch("a/", Revision(1)).await.expect("a watch");
    let first = tokio::time::timeout(WAIT, watch.next()).await.expect("in time");
    assert!(matches!(first, Ok(Change::Put(entry)) if entry.key == "a/1"));
    store.delete("a/1", Revision(1)).await.expect("a deletion");
    let second = tokio::time::timeout(WAIT, watch.next()).await.expect("in time");
    assert_eq!(second, Ok(Change::Delete { key: "a/1".to_owned(), revision: Revision(2) }));
    platform.store.compact();
    let opened = store.watch("a/", Revision(1)).await;
    let error = match opened {
        Ok(mut watch) => watch.next().await.expect_err("the revision is gone"),
        Err(error) => error,
    };
    assert_eq!(error, StoreError::Compacted);
    drop(watch);
    pool.close().await;
    platform.stop().await;
}

#[tokio::test]
async fn leases_delete_their_keys() {
    let platform = platform().await;
    let pool = Pool::new();
    let store = store(&platform, &pool);
    let lease = store.grant_lease(Duration::from_secs(1)).await.expect("a lease");
    store.swap("l", Expected::Absent, value("x"), Some(lease)).await.expect("a write");
    assert_eq!(store.renew_lease(lease).await, Ok(true));
    assert!(store.get("l").await.expect("a read").is_some());
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    assert_eq!(store.get("l").await, Ok(None));
    assert_eq!(store.renew_lease(lease).await, Ok(false));
    pool.close().await;
    platform.stop().await;
}

struct FaultCase {
    faults: Faults,
    may_have_taken_effect: bool,
    took_effect: bool,
}

#[tokio::test]
async fn failed_writes_say_whether_they_may_have_taken_effect() {
    let none = Faults::default();
    let cases = [
        FaultCase {
            faults: Faults { write: WriteFault::LoseResponse, ..none },
            may_have_taken_effect: true,
            took_effect: true,
        },
        FaultCase {
            faults: Faults { write: WriteFault::LoseRequest, ..none },
            may_have_taken_effect: true,
            took_effect: false,
        },
        FaultCase {
            faults: Faults { calls_per_s_limit: 1, ..none },
            may_have_taken_effect: false,
            took_effect: false,
        },
    ];
    for case in cases {
        let platform = platform().await;
        let pool = Pool::new();
        let store = store(&platform, &pool);
        // Uses up a limit of one call in a second.
        store.get("k").await.expect("a read");
        platform.store.set_faults(case.faults);
        let outcome = store.swap("k", Expected::Absent, value("x"), None).await;
        let error = outcome.expect_err("a switched fault");
        assert_eq!(error.may_have_taken_effect(), case.may_have_taken_effect, "{error}");
        platform.store.set_faults(none);
        let found = store.get("k").await.expect("a read");
        assert_eq!(found.is_some(), case.took_effect, "{:?}", case.faults);
        pool.close().await;
        platform.stop().await;
    }
}

#[test]
fn broken_requests_are_errors() {
    fn property(bytes: Vec<u8>) -> bool {
        let is_range = serde_json::from_slice::<RangeRequest>(&bytes).is_ok();
        let is_txn = serde_json::from_slice::<TxnRequest>(&bytes).is_ok();
        let is_watch = serde_json::from_slice::<WatchRequest>(&bytes).is_ok();
        !is_range && !is_txn && !is_watch
    }
    let generator = quickcheck::Gen::from_size_and_seed(200, 7);
    quickcheck::QuickCheck::new()
        .rng(generator)
        .tests(500)
        .quickcheck(property as fn(Vec<u8>) -> bool);
}
