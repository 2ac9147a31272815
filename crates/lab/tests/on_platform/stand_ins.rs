//! The stand-in of the store, where the nodes' tests rely on it.

use std::time::Duration;

use bytes::Bytes;

use redwingrill_lab::metadata_store::MetadataStore;
use redwingrill_lab::metadata_store::StoreState;
use redwingrill_platform::PlatformStore;
use redwingrill_routing::Change;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;
use redwingrill_transport::Pool;

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
