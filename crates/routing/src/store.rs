//! The port to the platform's key-value service, as the gateway uses it.
//!
//! One revision counts all changes of the service, so a batch of changes says up to which revision
//! the receiver is now complete.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

/// A revision of the whole store.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Revision(pub u64);

/// The identifier of a lease.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseId(pub u64);

/// A key with its value.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The store's revision when the key was last written.
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

/// All items of the store, not as one snapshot.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Listing {
    /// The items.
    pub items: Vec<Item>,
    /// Every change up to this revision is contained.
    pub complete_to: Revision,
}

/// Changes after a revision.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct ChangeBatch {
    /// The changes in their order.
    pub changes: Vec<Change>,
    /// Every change up to this revision is contained.
    pub complete_to: Revision,
}

/// What a write expects of a key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Condition {
    /// The key.
    pub key: String,
    /// The revision of its last write; zero for a key that does not exist.
    pub revision: Revision,
}

/// A conditional write of one key.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Write {
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// The key to write.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The key goes when this lease ends.
    pub lease: Option<LeaseId>,
}

/// The answer to a write.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum WriteOutcome {
    /// The key was written at this revision.
    Done(Revision),
    /// A condition did not hold; the items as they are.
    Conflict(Vec<Item>),
    /// The lease has ended; nothing was written.
    NoLease,
}

/// A granted lease.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaseGrant {
    /// The identifier.
    pub id: LeaseId,
    /// How long it lasts from the arrival of the call.
    pub ttl: Duration,
}

/// Why a call to the store failed.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum SharedStoreError {
    /// The store did nothing.
    #[snafu(display("store did nothing: {reason}"))]
    NotDone {
        /// The cause, for logs.
        reason: String,
    },
    /// A write may have been done, or may be done later.
    #[snafu(display("answer of the store lost: {reason}"))]
    AnswerLost {
        /// The cause, for logs.
        reason: String,
    },
    /// The changes after the revision are no longer kept.
    #[snafu(display("history dropped"))]
    HistoryDropped,
}

/// The platform's key-value service.
pub trait SharedStore: Clone + Send + Sync + 'static {
    /// Lists all items whose key begins with `prefix`.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Listing, SharedStoreError>> + Send;

    /// Waits up to `wait` for changes after a revision.
    fn changes(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeBatch, SharedStoreError>> + Send;

    /// Reads one key.
    fn get(&self, key: &str)
    -> impl Future<Output = Result<Option<Item>, SharedStoreError>> + Send;

    /// Writes a key under conditions.
    fn write(
        &self,
        write: Write,
    ) -> impl Future<Output = Result<WriteOutcome, SharedStoreError>> + Send;

    /// Grants a lease.
    fn grant(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseGrant, SharedStoreError>> + Send;

    /// Renews a lease. Returns false if it has ended.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<bool, SharedStoreError>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), SharedStoreError>> + Send;
}
