//! Maintains the node's member entry in the store, under a lease.
//!
//! A store that comes back from an older copy may have lost the entry, or its lease, so the entry
//! is written again as soon as the node follows the new era. The store may also apply a
//! write late whose response was lost, so all attempts use one lease, and each replaces only the
//! revision that it knows.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::cluster_view::ClusterView;
use crate::cluster_view::Member;
use redwingrill_routing::Condition;
use redwingrill_routing::Era;
use redwingrill_routing::LeaseId;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;

/// The lease of the entry: long enough to outlast short outages of the store.
const LEASE_TTL: Duration = Duration::from_secs(20);

/// The period of renewals: three attempts within a lease.
const RENEWAL_PERIOD: Duration = Duration::from_secs(6);

/// The delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(1_500);

/// The longest delay after a change of the era, so that a large fleet does not write all at once.
const ERA_DELAY_MS: u64 = 600;

/// The entry of a node.
#[derive(Clone, Copy, Debug)]
struct Registration {
    lease: LeaseId,
    // Whether the entry is known to be written under the lease.
    is_written: bool,
}

/// Maintains the entry until `stopping` is cancelled, then removes it.
pub(super) async fn maintain_membership<S: SharedStore>(
    store: S,
    key: String,
    member: Member,
    mut view: watch::Receiver<Arc<ClusterView>>,
    stopping: CancellationToken,
) {
    let mut registration: Option<Registration> = None;
    loop {
        let delay = match renew_or_register(&store, &key, &member, &mut registration).await {
            Ok(()) => RENEWAL_PERIOD,
            Err(error) => {
                warn!("event=membership_call_failed reason={:?}", error.to_string());
                RETRY_DELAY
            }
        };
        let lease_era = registration.map(|registration| registration.lease.era);
        tokio::select! {
            () = stopping.cancelled() => break,
            () = tokio::time::sleep(delay) => {}
            () = era_after(&mut view, lease_era) => {
                registration = None;
                let delay_ms = rand::random_range(0..ERA_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
    if let Some(Registration { lease, .. }) = registration
        && let Err(error) = store.revoke(lease).await
    {
        warn!("event=membership_release_failed reason={:?}", error.to_string());
    }
}

/// Waits until the node follows a later era of the store; forever if there is none to compare with.
async fn era_after(view: &mut watch::Receiver<Arc<ClusterView>>, lease_era: Option<Era>) {
    let Some(lease_era) = lease_era else { return std::future::pending().await };
    let is_later = |view: &Arc<ClusterView>| view.complete_to.era() > lease_era;
    if view.wait_for(is_later).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn renew_or_register<S: SharedStore>(
    store: &S,
    key: &str,
    member: &Member,
    registration: &mut Option<Registration>,
) -> Result<(), SharedStoreError> {
    if let Some(known) = *registration {
        if !store.renew(known.lease).await? {
            info!("event=membership_lapsed");
            *registration = None;
        } else if known.is_written {
            return Ok(());
        }
    }
    let lease = match *registration {
        Some(known) => known.lease,
        None => store.grant(LEASE_TTL).await?.id,
    };
    *registration = Some(Registration { lease, is_written: false });
    match write_entry(store, key, member, lease).await? {
        WriteOutcome::Done(_) => *registration = Some(Registration { lease, is_written: true }),
        WriteOutcome::NoLease => *registration = None,
        WriteOutcome::Conflict(_) => warn!("event=membership_write_failed reason=conflict"),
    }
    Ok(())
}

/// Writes the entry in place of the one that exists, if any. Only this node writes the key, so that is
/// its own older entry.
async fn write_entry<S: SharedStore>(
    store: &S,
    key: &str,
    member: &Member,
    lease: LeaseId,
) -> Result<WriteOutcome, SharedStoreError> {
    let value =
        Bytes::from(serde_json::to_vec(member).expect("a member always serializes to JSON"));
    let write = |revision| Write {
        conditions: vec![Condition { key: key.to_owned(), revision }],
        key: key.to_owned(),
        value: value.clone(),
        lease: Some(lease),
    };
    match store.write(write(Revision::ABSENT)).await? {
        WriteOutcome::Conflict(items) => {
            let revision = items.first().map_or(Revision::ABSENT, |item| item.revision);
            store.write(write(revision)).await
        }
        outcome => Ok(outcome),
    }
}
