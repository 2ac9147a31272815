//! Writes the records of quarantined parts to the store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use log::info;
use log::warn;
use serde::Serialize;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::cluster_view::QUARANTINE_PREFIX;
use redwingrill_routing::Condition;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;
use redwingrill_routing::Write;
use redwingrill_routing::WriteOutcome;
use redwingrill_scheduling::quarantine::HeldPart;
use redwingrill_scheduling::quarantine::PartKey;
use redwingrill_scheduling::quarantine::Source;

/// The random delay of the first write by a node that counted the generations itself, so that most
/// nodes see the record of the first one.
const OWN_DELAY_MS: u64 = 600;

/// The delay of a node that learned of the part otherwise, and its random rest.
const PEER_DELAY_MS: u64 = 3_000;

/// The pause after a write, whatever its outcome: the record takes a moment to appear in the view.
const RETRY_DELAY_MS: u64 = 1_500;

/// How often due writes are looked for while a part is not listed.
const POLL_PERIOD: Duration = Duration::from_millis(50);

/// The value of a record, for operators.
#[derive(Debug, Serialize)]
struct RecordValue<'a> {
    node: &'a str,
    service: Option<&'a str>,
    model: Option<&'a str>,
    part: String,
    generations: usize,
}

/// The task that writes the records.
#[derive(Debug)]
pub struct QuarantineRecorder<S, D> {
    node: String,
    store: S,
    codec: Arc<D>,
    view: watch::Receiver<Arc<ClusterView>>,
    unlisted: watch::Receiver<Vec<HeldPart>>,
    // When each part is to be written.
    due_ms: HashMap<PartKey, u64>,
}

impl<S: SharedStore, D: ItemCodec> QuarantineRecorder<S, D> {
    /// Creates the task; `unlisted` are the parts that the store does not list.
    pub fn new(
        node: String,
        store: S,
        codec: Arc<D>,
        view: watch::Receiver<Arc<ClusterView>>,
        unlisted: watch::Receiver<Vec<HeldPart>>,
    ) -> Self {
        Self { node, store, codec, view, unlisted, due_ms: HashMap::new() }
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        loop {
            let is_idle = self.unlisted.borrow_and_update().is_empty();
            tokio::select! {
                () = stopping.cancelled() => return,
                changed = self.unlisted.changed(), if is_idle => if changed.is_err() { return },
                () = tokio::time::sleep(POLL_PERIOD), if !is_idle => {}
            }
            self.write_due().await;
        }
    }

    async fn write_due(&mut self) {
        let held: Vec<HeldPart> = self.unlisted.borrow().clone();
        let now_ms = now_ms();
        self.due_ms.retain(|part, _| held.iter().any(|held| held.part == *part));
        for held in held {
            let due_ms = *self.due_ms.entry(held.part).or_insert_with(|| {
                now_ms
                    + match held.source {
                        Source::Own => rand::random_range(0..OWN_DELAY_MS),
                        Source::Peer | Source::Store => {
                            PEER_DELAY_MS + rand::random_range(0..PEER_DELAY_MS)
                        }
                    }
            });
            let is_listed = self.view.borrow().quarantined.contains(&held.part);
            if is_listed || now_ms < due_ms || held.until_ms <= now_ms {
                continue;
            }
            if let Err(error) = self.write(&held, held.until_ms - now_ms).await {
                warn!(
                    "event=quarantine_write_failed part={} reason={:?}",
                    held.part,
                    error.to_string()
                );
            }
            self.due_ms.insert(held.part, now_ms + RETRY_DELAY_MS);
        }
    }

    async fn write(&self, held: &HeldPart, remaining_ms: u64) -> Result<(), SharedStoreError> {
        let lease = self.store.grant(Duration::from_millis(remaining_ms)).await?.id;
        let scope = held.scope.as_ref();
        let value = RecordValue {
            node: &self.node,
            service: scope.map(|(service, _)| service.as_str()),
            model: scope.map(|(_, model)| model.as_str()),
            part: format!("{:x}", held.part.part),
            generations: held.generations,
        };
        let value = serde_json::to_vec(&value).expect("a record always serializes to JSON");
        let key = self.codec.own_key(&format!("{QUARANTINE_PREFIX}{}", held.part));
        let conditions = vec![Condition { key: key.clone(), revision: Revision::ABSENT }];
        let write = Write { conditions, key, value: Bytes::from(value), lease: Some(lease) };
        match self.store.write(write).await? {
            WriteOutcome::Done(revision) => {
                info!("event=quarantine_written part={} revision={}", held.part, revision);
            }
            WriteOutcome::Conflict(_) | WriteOutcome::NoLease => self.store.revoke(lease).await?,
        }
        Ok(())
    }
}
