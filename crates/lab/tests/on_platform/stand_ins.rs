//! The stand-ins of the store and the upstreams, where the tests of nodes rely on them.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;

use redwingrill_lab::metadata_store::MetadataStore;
use redwingrill_lab::metadata_store::StoreState;
use redwingrill_lab::site_upstream::Behaviour;
use redwingrill_lab::site_upstream::SiteUpstream;
use redwingrill_platform::PlatformStore;
use redwingrill_routing::Change;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

#[tokio::test]
async fn watch_does_not_skip_a_key_whose_lease_ends_while_it_waits() {
    for wait_ms in [100, 200, 600] {
        let server = MetadataStore::start(StoreState::default()).await.expect("a free port");
        let store = PlatformStore::new(server.address(), Pool::new());
        let lease = store.grant(Duration::from_millis(300)).await.expect("the store answers");
        let write = Write {
            conditions: Vec::new(),
            key: "redwingrill/leased".to_owned(),
            value: Bytes::from_static(b"1"),
            lease: Some(lease.id),
        };
        let written = store.write(write).await.expect("the store answers");
        let WriteOutcome::Done(mut after) = written else { panic!("not written: {written:?}") };
        let mut removed: Option<Revision> = None;
        for _ in 0..1_200 / wait_ms {
            let wait = Duration::from_millis(wait_ms);
            let batch = store.changes("", after, wait).await.expect("the store answers");
            after = batch.complete_to;
            removed = removed.or(batch.changes.iter().find_map(|change| match change {
                Change::Removed { revision, .. } => Some(*revision),
                Change::Put(_) => None,
            }));
        }
        assert!(removed.is_some(), "wait of {wait_ms} ms");
        server.stop().await;
    }
}

/// The extra copy of an answer is what the next request of the connection gets, though it ran.
#[tokio::test]
async fn extra_copy_of_an_answer_goes_to_its_own_request() {
    const WAIT: Duration = Duration::from_secs(1);
    let cases = [
        (Behaviour::CopiesRefusals, StatusCode::SERVICE_UNAVAILABLE, [false, true, true]),
        (Behaviour::CopiesAnswers, StatusCode::OK, [true, true, true]),
    ];
    for (behaviour, status, have_run) in cases {
        let upstream = SiteUpstream::start("s0", "shop", &StoreState::default()).await;
        let upstream = upstream.expect("a free port");
        upstream.set(behaviour);
        let (pool, timeouts) = (Pool::new(), Timeouts { connect: WAIT, head: WAIT });
        let mut answered = Vec::new();
        for id in ["r1", "r2", "r3"] {
            let request = Request::builder().uri("/").header("x-request-id", id);
            let request = request.body(Bytes::new()).expect("a request");
            let reply = pool.send(upstream.address(), request, Freshness::Any, &timeouts).await;
            let (parts, body) = reply.expect("the upstream answers").into_parts();
            body.read_all(1 << 10, WAIT).await.expect("a whole body");
            answered.push((parts.status, parts.headers["x-request-id"].clone()));
        }
        let (statuses, ids): (Vec<_>, Vec<_>) = answered.into_iter().unzip();
        assert_eq!(ids, ["r1", "r1", "r2"], "{behaviour:?}");
        assert_eq!(statuses[..2], [status, status], "{behaviour:?}");
        let ran: Vec<bool> = upstream.seen().iter().map(|seen| seen.has_run).collect();
        assert_eq!(ran, have_run, "{behaviour:?}");
        upstream.stop().await;
    }
}
