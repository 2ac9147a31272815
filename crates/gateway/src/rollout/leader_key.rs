//! The leased key of the roll-out's leader.

use std::time::Duration;

use bytes::Bytes;
use log::info;

use crate::cluster_view::RolloutLeader;
use redwingrill_routing::Condition;
use redwingrill_routing::LeaseId;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;

/// The key of the leader, written by this node under a lease.
#[derive(Clone, Debug)]
pub(super) struct LeaderKey {
    pub lease: LeaseId,
    // The revision of the first write. It increases with each leadership, over eras too, and is the
    // fencing number.
    pub claimed: Revision,
    revision: Revision,
    written: RolloutLeader,
}

/// Claims the key; returns `None` if another node holds it. `replaced` is the revision of the key
/// that is taken over, or [`Revision::ABSENT`] if there must be none.
pub(super) async fn claim<S: SharedStore>(
    store: &S,
    key: &str,
    record: &RolloutLeader,
    replaced: Revision,
    ttl: Duration,
) -> Result<Option<LeaderKey>, SharedStoreError> {
    let lease = store.grant(ttl).await?.id;
    let record = &RolloutLeader { era: lease.era.0, ..record.clone() };
    let written = write(store, key, record, replaced, lease).await;
    let revision = match written {
        Ok(WriteOutcome::Done(revision)) => revision,
        Ok(WriteOutcome::Conflict(_) | WriteOutcome::NoLease) => {
            store.revoke(lease).await?;
            return Ok(None);
        }
        Err(SharedStoreError::AnswerLost { reason }) => {
            match read_back(store, key, record).await? {
                // A record of another era is under no lease.
                Some(revision) if revision.era() == lease.era => revision,
                Some(_) => return Ok(None),
                // The write may still take effect later; the expiry of its lease removes the key.
                None => return Err(SharedStoreError::AnswerLost { reason }),
            }
        }
        Err(error) => return Err(error),
    };
    let fence = revision.as_u64();
    info!("event=rollout_claimed fence={fence} revision={revision} replaced={replaced}");
    Ok(Some(LeaderKey { lease, claimed: revision, revision, written: record.clone() }))
}

/// Returns the record of the key and its revision.
pub(super) async fn read<S: SharedStore>(
    store: &S,
    key: &str,
) -> Result<Option<(RolloutLeader, Revision)>, SharedStoreError> {
    let item = store.get(key).await?;
    Ok(item.and_then(|item| Some((serde_json::from_slice(&item.value).ok()?, item.revision))))
}

impl LeaderKey {
    /// Writes the record if it changed. Returns false if the key no longer belongs to this node.
    pub async fn update<S: SharedStore>(
        &mut self,
        store: &S,
        key: &str,
        record: &RolloutLeader,
    ) -> Result<bool, SharedStoreError> {
        let record = &RolloutLeader { era: self.lease.era.0, ..record.clone() };
        if self.written == *record {
            return Ok(true);
        }
        let revision = match write(store, key, record, self.revision, self.lease).await {
            Ok(WriteOutcome::Done(revision)) => revision,
            Ok(WriteOutcome::Conflict(_)) => match read_back(store, key, record).await? {
                Some(revision) => revision,
                None => return Ok(false),
            },
            Ok(WriteOutcome::NoLease) => return Ok(false),
            Err(SharedStoreError::AnswerLost { .. }) => {
                match read_back(store, key, record).await? {
                    Some(revision) => revision,
                    None => return Ok(true),
                }
            }
            Err(error) => return Err(error),
        };
        if revision.era() != self.lease.era {
            return Ok(false);
        }
        self.revision = revision;
        self.written = record.clone();
        Ok(true)
    }
}

async fn write<S: SharedStore>(
    store: &S,
    key: &str,
    record: &RolloutLeader,
    expected: Revision,
    lease: LeaseId,
) -> Result<WriteOutcome, SharedStoreError> {
    let value = serde_json::to_vec(record).expect("a leader record always serializes to JSON");
    let conditions = vec![Condition { key: key.to_owned(), revision: expected }];
    let write =
        Write { conditions, key: key.to_owned(), value: Bytes::from(value), lease: Some(lease) };
    store.write(write).await
}

/// Returns the revision of the key if its value is exactly this record. Used after a lost response
/// or a conflict to find out whether the write took effect.
async fn read_back<S: SharedStore>(
    store: &S,
    key: &str,
    record: &RolloutLeader,
) -> Result<Option<Revision>, SharedStoreError> {
    let item = store.get(key).await?;
    let value = serde_json::to_vec(record).expect("a leader record always serializes to JSON");
    Ok(item.filter(|item| item.value == value).map(|item| item.revision))
}
