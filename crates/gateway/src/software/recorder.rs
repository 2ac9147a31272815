//! Writes the records of the software versions that services have in use.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::cluster_view::SOFTWARE_PREFIX;
use crate::cluster_view::SoftwareItem;
use crate::software::stream_retention_ms;
use redwingrill_routing::Condition;
use redwingrill_routing::Era;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;
use redwingrill_scheduling::software_versions::RecordChange;
use redwingrill_scheduling::software_versions::RecordKeeper;
use redwingrill_scheduling::software_versions::SoftwareRecord;

/// How often the turns are checked while a record is to be changed.
const STEP_PERIOD: Duration = Duration::from_millis(100);

/// The task that writes the records.
#[derive(Debug)]
pub struct SoftwareRecorder<S> {
    node: String,
    // Whether no stream can have begun before the first record of the store's first era.
    is_first_start: bool,
    store: S,
    key_prefix: String,
    view: watch::Receiver<Arc<ClusterView>>,
    keeper: RecordKeeper,
}

impl<S: SharedStore> SoftwareRecorder<S> {
    /// Creates the task of a node; `is_first_start` states that no stream can be open yet.
    pub fn new<D: ItemCodec>(
        node: String,
        is_first_start: bool,
        store: S,
        codec: &D,
        view: watch::Receiver<Arc<ClusterView>>,
    ) -> Self {
        let key_prefix = codec.own_key(SOFTWARE_PREFIX);
        Self { node, is_first_start, store, key_prefix, view, keeper: RecordKeeper::default() }
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        loop {
            let view = self.view.borrow_and_update().clone();
            let retention_ms = stream_retention_ms(view.configuration.as_deref());
            let era = view.complete_to.era();
            self.keeper.observe(era, retention_ms, view.software(), now_ms());
            let rank = view.rank_of(&self.node);
            let next = self.keeper.next(rank, now_ms());
            if let Some((service, change)) =
                next.map(|(service, change)| (service.to_owned(), change))
            {
                self.keeper.delay(&service, rank, now_ms());
                match self.write(&service, &change).await {
                    Ok(Some(record)) => log_written(&service, &record),
                    Ok(None) => {}
                    Err(e) => {
                        let reason = e.to_string();
                        warn!("event=software_record_failed service={service} reason={reason:?}");
                    }
                }
            }
            tokio::select! {
                () = stopping.cancelled() => return,
                changed = self.view.changed() => if changed.is_err() { return },
                () = tokio::time::sleep(STEP_PERIOD), if self.keeper.has_work() => {}
            }
        }
    }

    /// Changes the record that lies in the store now. Returns what was written, if anything.
    async fn write(
        &self,
        service: &str,
        change: &RecordChange,
    ) -> Result<Option<SoftwareRecord>, SharedStoreError> {
        let key = format!("{}{service}", self.key_prefix);
        let known = self.store.get(&key).await?;
        let revision = known.as_ref().map_or(Revision::ABSENT, |item| item.revision);
        let stored: Option<SoftwareItem> =
            known.as_ref().and_then(|item| serde_json::from_slice(&item.value).ok());
        let era = match &known {
            Some(item) => item.revision.era(),
            None => self.view.borrow().complete_to.era(),
        };
        let current = stored.clone().and_then(|item| item.into_record(era));
        let record = match &current {
            Some(current) => current.with(change),
            None if change.is_cleanup() => return Ok(None),
            None => self.first_record(service, change, stored, era),
        };
        if current.as_ref() == Some(&record) {
            return Ok(None);
        }
        let item = SoftwareItem::new(record.clone(), era);
        let value = serde_json::to_vec(&item).expect("a record always serializes to JSON");
        let conditions = vec![Condition { key: key.clone(), revision }];
        let write = Write { conditions, key, value: Bytes::from(value), lease: None };
        let is_written = matches!(self.store.write(write).await?, WriteOutcome::Done(_));
        Ok(is_written.then_some(record))
    }

    /// Returns the first record of an era of the store. One from a copy may lack versions.
    fn first_record(
        &self,
        service: &str,
        change: &RecordChange,
        stored: Option<SoftwareItem>,
        era: Era,
    ) -> SoftwareRecord {
        let is_fresh = self.is_first_start && era == Era::default() && stored.is_none();
        let mut versions: BTreeSet<_> = change.added.clone();
        versions.extend(self.keeper.remembered(service));
        versions.extend(stored.into_iter().flat_map(|item| item.versions));
        SoftwareRecord { versions, may_lack_versions: !is_fresh }
    }
}

fn log_written(service: &str, record: &SoftwareRecord) {
    let versions: Vec<&str> = record.versions.iter().map(|version| version.0.as_str()).collect();
    info!(
        "event=software_recorded service={service} versions={} may_lack={}",
        versions.join(","),
        record.may_lack_versions,
    );
}
