//! The task that owns a watch on the manifest.

use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::MANIFEST_KEY;
use crate::StoredManifest;
use crate::storage::with_timeout;
use redwingrill_ports::Change;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Watch;

/// What a watch reports.
#[derive(Debug)]
pub enum WatchEvent {
    /// The manifest was written.
    Written(StoredManifest),
    /// Something happened that only a read can tell.
    RereadNeeded,
    /// The watch ended.
    Ended(StoreError),
}

/// A running watch.
#[derive(Debug)]
pub struct Watcher {
    events: mpsc::Receiver<WatchEvent>,
    task: JoinHandle<()>,
}

impl Watcher {
    /// Opens a watch on changes after `seen`.
    pub fn open<S: Store>(store: S, after: Revision) -> Self {
        let (sender, events) = mpsc::channel(4);
        let task = tokio::spawn(async move {
            // The receiver is gone only when the follower closes this watcher.
            if let Err(error) = forward_events(&store, after, &sender).await {
                let _ = sender.send(WatchEvent::Ended(error)).await;
            }
        });
        Self { events, task }
    }

    /// Waits for the next event.
    pub async fn next(&mut self) -> WatchEvent {
        let task_ended = || StoreError::Unavailable { reason: "watch task ended".to_owned() };
        self.events.recv().await.unwrap_or_else(|| WatchEvent::Ended(task_ended()))
    }

    /// Ends the task and waits for its end.
    pub async fn close(mut self) {
        self.task.abort();
        // A task that was aborted ends with an error that says so.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Watcher {
    // A follower that is dropped rather than cancelled has no time to join.
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward_events<S: Store>(
    store: &S,
    after: Revision,
    events: &mpsc::Sender<WatchEvent>,
) -> Result<(), StoreError> {
    let from = if after == Revision::default() { after } else { Revision(after.0 + 1) };
    let mut watch = with_timeout(store.watch(MANIFEST_KEY, from)).await?;
    loop {
        let event = match watch.next().await? {
            Change::Put(entry) if entry.key == MANIFEST_KEY => StoredManifest::try_from(&entry)
                .map_or(WatchEvent::RereadNeeded, WatchEvent::Written),
            Change::Delete { key, .. } if key == MANIFEST_KEY => WatchEvent::RereadNeeded,
            _ => continue,
        };
        if events.send(event).await.is_err() {
            return Ok(());
        }
    }
}
