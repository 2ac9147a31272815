//! The port to the platform's key-value store.
//!
//! One revision counter covers all changes of an era of the store, so a batch of changes states up
//! to which revision the receiver is complete.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

use crate::Era;
use crate::Revision;

/// The identifier of a lease, unique within an era. A lease does not outlast its era: what a copy
/// says of it may be older than its last renewal or its end.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseId {
    /// The era in which the lease was granted.
    pub era: Era,
    /// The store's number for the lease.
    pub number: u64,
}

/// A key with its value.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The store revision of the last write of the key.
    pub revision: Revision,
}

/// One change of a key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Change {
    /// The key was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: Revision,
    },
}

impl Change {
    /// Returns the item; `None` if the key was removed.
    pub fn into_item(self) -> Option<Item> {
        match self {
            Self::Put(item) => Some(item),
            Self::Removed { .. } => None,
        }
    }
}

/// All items of the store; not a consistent snapshot.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// Every change up to this revision is included.
    pub complete_to: Revision,
}

/// Changes after a revision.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ChangeBatch {
    /// The changes in order.
    pub changes: Vec<Change>,
    /// Every change up to this revision is included.
    pub complete_to: Revision,
}

/// The expected revision of a key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The revision of its last write; [`Revision::ABSENT`] if the key must not exist.
    pub revision: Revision,
}

/// A conditional write of one key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Write {
    /// The conditions, which must all hold.
    pub conditions: Vec<Condition>,
    /// The key to write.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The key is removed when this lease ends.
    pub lease: Option<LeaseId>,
}

/// The result of a write.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WriteOutcome {
    /// The key was written at this revision.
    Done(Revision),
    /// A condition did not hold; contains the current items.
    Conflict(Vec<Item>),
    /// The lease has ended; nothing was written.
    NoLease,
}

/// A granted lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaseGrant {
    /// The identifier.
    pub id: LeaseId,
    /// How long the lease lasts after the store received the call.
    pub ttl: Duration,
}

/// Why a call to the store failed.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SharedStoreError {
    /// The store did not execute the call.
    #[snafu(display("store did not execute the call: {reason}"))]
    NotDone {
        /// The cause, for logs.
        reason: String,
    },
    /// The response was lost; a write may have been applied, or may still be applied later.
    #[snafu(display("response of the store lost: {reason}"))]
    AnswerLost {
        /// The cause, for logs.
        reason: String,
    },
    /// The changes after the revision are not to be had: they have been discarded, or the store
    /// came back from a copy without the revision.
    #[snafu(display("changes after the revision are not available"))]
    HistoryDropped,
}

/// The platform's key-value store.
///
/// # Errors
///
/// Every method returns [`SharedStoreError`] if its call fails.
pub trait SharedStore: Clone + Send + Sync + 'static {
    /// Lists all items whose key begins with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, SharedStoreError>> + Send;

    /// Waits up to `wait` for changes after a revision of the same era.
    fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeBatch, SharedStoreError>> + Send;

    /// Reads one key.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<Item>, SharedStoreError>> + Send;

    /// Writes a key if all conditions hold.
    fn write(
        &self,
        write: Write,
    ) -> impl Future<Output = Result<WriteOutcome, SharedStoreError>> + Send;

    /// Grants a lease.
    fn grant(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseGrant, SharedStoreError>> + Send;

    /// Renews a lease. Returns false if the lease has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, SharedStoreError>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), SharedStoreError>> + Send;
}
