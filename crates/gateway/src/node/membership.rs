//! The node's own entry among the members, under a lease.

use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio_util::sync::CancellationToken;

use crate::cluster_view::Member;
use redwingrill_routing::LeaseId;
use redwingrill_routing::SharedStore;
use redwingrill_routing::StoreFault;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;

/// How long the entry outlives its node: long enough to ride over short outages of the store.
const LEASE: Duration = Duration::from_secs(20);

/// The pause between renewals: three chances within a lease.
const RENEWAL: Duration = Duration::from_secs(6);

/// The pause after a failed call.
const RETRY: Duration = Duration::from_millis(1_500);

/// Keeps the entry until `stopping`, and removes it.
pub(super) async fn keep_membership<S: SharedStore>(
    store: S,
    key: String,
    member: Member,
    stopping: CancellationToken,
) {
    let mut held: Option<LeaseId> = None;
    loop {
        let pause = match keep_once(&store, &key, &member, &mut held).await {
            Ok(()) => RENEWAL,
            Err(fault) => {
                warn!("event=membership_call_failed reason={:?}", fault.to_string());
                RETRY
            }
        };
        tokio::select! {
            () = stopping.cancelled() => break,
            () = tokio::time::sleep(pause) => {}
        }
    }
    if let Some(lease) = held
        && let Err(fault) = store.end(lease).await
    {
        warn!("event=membership_not_ended reason={:?}", fault.to_string());
    }
}

async fn keep_once<S: SharedStore>(
    store: &S,
    key: &str,
    member: &Member,
    held: &mut Option<LeaseId>,
) -> Result<(), StoreFault> {
    if let Some(lease) = *held {
        if store.renew(lease).await? {
            return Ok(());
        }
        info!("event=membership_lapsed");
        *held = None;
    }
    let lease = store.grant(LEASE).await?.id;
    let value = serde_json::to_vec(member).expect("the record has only plain fields");
    // The key belongs to this node alone, so whatever stands there is its own older entry.
    let write = Write {
        conditions: Vec::new(),
        key: key.to_owned(),
        value: Bytes::from(value),
        lease: Some(lease),
    };
    match store.write(write).await? {
        WriteOutcome::Done(_) => *held = Some(lease),
        other => warn!("event=membership_not_written outcome={other:?}"),
    }
    Ok(())
}
