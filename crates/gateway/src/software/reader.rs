//! Reads the record of a service from the store.
//!
//! The load pattern: a node is killed, and the callers of its streams come back to the other nodes
//! together. A read answers all requests that arrived before it began.

use std::collections::HashMap;
use std::time::Duration;

use log::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::has_store_contact;
use crate::clock::now_ms;
use crate::cluster_view::SOFTWARE_PREFIX;
use crate::cluster_view::SoftwareItem;
use crate::store_sync::StoreReader;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SoftwareVersion;

/// The number of requests that wait for the task; more wait with their callers.
const QUEUE_LEN: usize = 256;

/// How long one read may take, and how many are tried.
const READ_TIMEOUT: Duration = Duration::from_millis(250);
const READS_LIMIT: usize = 2;

type Responder = oneshot::Sender<Option<SoftwareVersion>>;

/// The handle of the task. Clones share it.
#[derive(Clone, Debug)]
pub struct SoftwareReader {
    requests: mpsc::Sender<(String, Responder)>,
    contact: StoreReader,
}

impl SoftwareReader {
    /// Returns the version at which every stream of a service began that is open now; `None` if there
    /// may be several, or the store does not answer.
    pub async fn only_version(&self, service: &str) -> Option<SoftwareVersion> {
        if !has_store_contact(self.contact.last_contact_ms(), now_ms()) {
            return None;
        }
        let (responder, response) = oneshot::channel();
        self.requests.send((service.to_owned(), responder)).await.ok()?;
        response.await.ok().flatten()
    }
}

/// The task that reads records.
#[derive(Debug)]
pub struct SoftwareReaderTask<S> {
    store: S,
    key_prefix: String,
    requests: mpsc::Receiver<(String, Responder)>,
}

impl<S: SharedStore> SoftwareReaderTask<S> {
    /// Creates the task and its handle; `contact` tells of the contact with the store.
    pub fn new<D: ItemCodec>(store: S, codec: &D, contact: StoreReader) -> (SoftwareReader, Self) {
        let (sender, requests) = mpsc::channel(QUEUE_LEN);
        let key_prefix = codec.own_key(SOFTWARE_PREFIX);
        let reader = SoftwareReader { requests: sender, contact };
        (reader, Self { store, key_prefix, requests })
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        loop {
            let mut waiting: HashMap<String, Vec<Responder>> = HashMap::new();
            tokio::select! {
                () = stopping.cancelled() => return,
                request = self.requests.recv() => {
                    let Some((service, responder)) = request else { return };
                    waiting.entry(service).or_default().push(responder);
                }
            }
            while let Ok((service, responder)) = self.requests.try_recv() {
                waiting.entry(service).or_default().push(responder);
            }
            for (service, responders) in waiting {
                let version = tokio::select! {
                    () = stopping.cancelled() => return,
                    version = self.read(&service) => version,
                };
                for responder in responders {
                    let _left = responder.send(version.clone()).is_err();
                }
            }
        }
    }

    async fn read(&self, service: &str) -> Option<SoftwareVersion> {
        let key = format!("{}{service}", self.key_prefix);
        for _ in 0..READS_LIMIT {
            let Ok(Ok(item)) = timeout(READ_TIMEOUT, self.store.get(&key)).await else { continue };
            let item = item?;
            let record: Option<SoftwareItem> = serde_json::from_slice(&item.value).ok();
            let record = record?.into_record(item.revision.era())?;
            return record.only_version().cloned();
        }
        info!("event=software_record_unread service={service}");
        None
    }
}
