//! The task that owns the watch on the manifest.

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

/// An event of a watch.
#[derive(Debug)]
pub enum WatchEvent {
    /// The manifest was written.
    Written(StoredManifest),
    /// The manifest was deleted or cannot be decoded, so it must be read again.
    RereadNeeded,
    /// The watch ended.
    Ended(StoreError),
}

/// A running watch on the manifest.
#[derive(Debug)]
pub struct Watcher {
    events: mpsc::Receiver<WatchEvent>,
    task: JoinHandle<()>,
}

impl Watcher {
    /// Opens a watch on changes after a revision.
    pub fn open<S: Store>(store: S, after: Revision) -> Self {
        let (sender, events) = mpsc::channel(4);
        let task = tokio::spawn(async move {
            // Sending fails only after the follower closed this watcher.
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

    /// Aborts the task and waits until it has ended.
    pub async fn close(mut self) {
        self.task.abort();
        // Joining an aborted task returns a cancellation error.
        let _ = (&mut self.task).await;
    }
}

impl Drop for Watcher {
    // A follower that is dropped without cancellation cannot join the task.
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
