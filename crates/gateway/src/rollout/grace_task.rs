//! Writes the grace records of target versions that are published while this node runs.
//!
//! The decisions are made in [`redwingrill_scheduling::weights`].

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::cluster_view::GRACE_PREFIX;
use crate::cluster_view::GraceItem;
use redwingrill_routing::Condition;
use redwingrill_routing::Era;
use redwingrill_routing::Item;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;
use redwingrill_routing::WeightsVersion;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;
use redwingrill_scheduling::weights::GraceRecorder;
use redwingrill_scheduling::weights::PendingRecord;

/// How often the turns are checked while a version lacks its record.
const STEP_PERIOD: Duration = Duration::from_millis(100);

/// The task that writes grace records.
pub struct GraceTask<S> {
    node: String,
    store: S,
    key_prefix: String,
    view: watch::Receiver<Arc<ClusterView>>,
    recorder: GraceRecorder,
    // The era of the last view.
    era: Era,
    // The target versions of the last view.
    known_versions: HashMap<String, WeightsVersion>,
}

impl<S: SharedStore> GraceTask<S> {
    /// Creates the task of a node; older weights may be used for `limit`.
    pub fn new<D: ItemCodec>(
        node: String,
        limit: Duration,
        store: S,
        codec: &D,
        view: watch::Receiver<Arc<ClusterView>>,
    ) -> Self {
        Self {
            node,
            store,
            key_prefix: codec.own_key(GRACE_PREFIX),
            view,
            recorder: GraceRecorder::new(limit.as_millis() as u64),
            era: Era::default(),
            known_versions: HashMap::new(),
        }
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        loop {
            let view = self.view.borrow_and_update().clone();
            self.observe(&view);
            let rank = view.rank_of(&self.node);
            if let Some(pending) = self.recorder.next(rank, now_ms()) {
                self.record(&pending, rank).await;
            }
            tokio::select! {
                () = stopping.cancelled() => return,
                changed = self.view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                () = tokio::time::sleep(STEP_PERIOD), if self.recorder.has_work() => {}
            }
        }
    }

    fn observe(&mut self, view: &ClusterView) {
        let era = view.complete_to.era();
        if self.era < era {
            self.era = era;
            self.recorder.store_restored();
        }
        for (model, target) in &view.target_versions {
            let known = self.known_versions.entry(model.clone()).or_default();
            if *known < target.version {
                *known = target.version;
                // A node that learned of the version late cannot tell how old it is.
                if target.is_observed {
                    self.recorder.observe(model, target.previous, target.version, now_ms());
                }
            }
        }
        for (model, records) in &view.grace_records {
            records.iter().for_each(|record| self.recorder.recorded(model, record.version));
        }
    }

    async fn record(&mut self, pending: &PendingRecord, rank: usize) {
        let (model, version) = (&pending.model, pending.record.version);
        match self.write(pending).await {
            Ok(WriteOutcome::Done(_)) => {
                info!(
                    "event=grace_recorded model={model} version={} lease_ms={}",
                    version.0, pending.lease_ms
                );
                self.recorder.recorded(model, version);
            }
            Ok(WriteOutcome::Conflict(_)) => self.recorder.recorded(model, version),
            Ok(WriteOutcome::NoLease) => {
                warn!("event=grace_record_failed model={model} reason=lease_ended");
                self.recorder.delay(model, version, rank, now_ms());
            }
            Err(error) => {
                warn!("event=grace_record_failed model={model} reason={:?}", error.to_string());
                self.recorder.delay(model, version, rank, now_ms());
            }
        }
    }

    async fn write(&self, pending: &PendingRecord) -> Result<WriteOutcome, SharedStoreError> {
        let lease = self.store.grant(Duration::from_millis(pending.lease_ms)).await?.id;
        let item = GraceItem::new(&pending.model, pending.record, lease.era);
        let value = serde_json::to_vec(&item).expect("a grace item always serializes to JSON");
        let key = format!("{}{}/{}", self.key_prefix, item.model, item.version);
        let write = |replaced| Write {
            conditions: vec![Condition { key: key.clone(), revision: replaced }],
            key: key.clone(),
            value: Bytes::from(value.clone()),
            lease: Some(lease),
        };
        let mut outcome = self.store.write(write(Revision::ABSENT)).await?;
        if let WriteOutcome::Conflict(items) = &outcome
            && let Some(outdated) = items.iter().find(|item| is_of_earlier_era(item, lease.era))
        {
            outcome = self.store.write(write(outdated.revision)).await?;
        }
        if !matches!(outcome, WriteOutcome::Done(_)) {
            self.store.revoke(lease).await?;
        }
        Ok(outcome)
    }
}

/// Returns whether a record was written before the store came back from a copy.
fn is_of_earlier_era(item: &Item, era: Era) -> bool {
    let record: Option<GraceItem> = serde_json::from_slice(&item.value).ok();
    record.is_some_and(|record| Era(record.era) < era)
}
