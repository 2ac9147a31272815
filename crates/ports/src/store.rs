//! The platform's key-value service.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use snafu::Snafu;

/// A revision of the whole store. It grows by one with each write; zero means "never
/// written".
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Revision(pub u64);

/// The identifier of a lease.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct LeaseId(pub i64);

/// A key with its value.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, at most one megabyte.
    pub value: Bytes,
    /// The store's revision when the key was last written.
    pub revision: Revision,
}

/// The precondition of a compare-and-swap.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Expected {
    /// The key does not exist.
    Absent,
    /// The key was last written at this revision.
    At(Revision),
}

/// The outcome of a compare-and-swap to which the store responded.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Swap {
    /// The value was written at this revision.
    Done(Revision),
    /// The key was not as expected; nothing was written.
    Conflict(Option<Entry>),
}

/// One change that a watch reports.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Change {
    /// A key was written.
    Put(Entry),
    /// A key was deleted at this revision.
    Delete {
        /// The key.
        key: String,
        /// The revision of the deletion.
        revision: Revision,
    },
}

/// An error of a call to the store.
#[derive(Clone, PartialEq, Eq, Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The call was not sent, or the store reported that it was not applied.
    #[snafu(display("store unavailable: {reason}"))]
    Unavailable {
        /// The cause, for logs.
        reason: String,
    },
    /// The store rejected the call because of its rate limit; the call was not applied.
    #[snafu(display("store rate limit reached"))]
    RateLimited,
    /// The call was sent and no response was received: a write may have taken effect.
    #[snafu(display("response of the store lost: {reason}"))]
    ResponseLost {
        /// The cause, for logs.
        reason: String,
    },
    /// The response could not be decoded: a write may have taken effect.
    #[snafu(display("response of the store malformed: {reason}"))]
    Malformed {
        /// The cause, for logs.
        reason: String,
    },
    /// The watch requested revisions that the store no longer retains.
    #[snafu(display("revision compacted"))]
    Compacted,
}

impl StoreError {
    /// Returns whether a write that failed in this way may still have taken effect.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, Self::ResponseLost { .. } | Self::Malformed { .. })
    }
}

/// The platform's key-value service: compare-and-swap, leases and watches.
///
/// Each call counts against the platform's rate limit, and so does each open watch.
pub trait Store: Clone + Send + Sync + 'static {
    /// The stream of changes that [`Store::watch`] opens.
    type Watch: Watch;

    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, StoreError>> + Send;

    /// Reads all keys with a prefix, in the order of keys.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;

    /// Writes a key if it is as expected. A lease, if given, deletes the key when it expires.
    fn swap(
        &self,
        key: &str,
        expected: Expected,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> impl Future<Output = Result<Swap, StoreError>> + Send;

    /// Deletes a key if it was last written at `expected`. Returns whether it was.
    fn delete(
        &self,
        key: &str,
        expected: Revision,
    ) -> impl Future<Output = Result<bool, StoreError>> + Send;

    /// Opens a watch on all keys with a prefix, starting at a revision (inclusive).
    fn watch(
        &self,
        prefix: &str,
        from: Revision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;

    /// Grants a lease.
    fn grant_lease(
        &self,
        ttl: Duration,
    ) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease. Returns whether it still existed.
    fn renew_lease(&self, lease: LeaseId) -> impl Future<Output = Result<bool, StoreError>> + Send;
}

/// An open watch. Dropping it closes it.
pub trait Watch: Send + 'static {
    /// Waits for the next change. An error ends the watch.
    ///
    /// The call may wait forever if the connection stops delivering data; callers must set a
    /// timeout.
    fn next(&mut self) -> impl Future<Output = Result<Change, StoreError>> + Send;
}
