//! How records are stored.
//!
//! A layout is a state machine without I/O. Operations are submitted with [`Layout::submit`], calls
//! to the store are returned by [`Layout::next_call`], their responses are passed to
//! [`Layout::handle_response`], and completed operations are returned by
//! [`Layout::take_completions`].
//!
//! Invariants of every layout:
//!
//! - An operation gets a verdict only from a record that was in the store after the operation was
//!   submitted.
//! - An operation that fails with [`OperationError::NotWritten`] did not change the store and never
//!   will.
//! - At most one call is in flight for each [`CallSlot`].

mod config;
mod leases;
mod page;
mod pending;
mod single;

pub mod paged;

use bytes::Bytes;
use serde::Serialize;

use crate::ClockReading;
use crate::OrderKey;
use crate::ShardId;
use crate::record::Operation;
use crate::record::Verdict;
use redwingrill_ports::Entry;
use redwingrill_ports::Expected;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

pub use config::LayoutConfig;
pub use page::Page;
pub use paged::PagedLayout;
pub use pending::PendingOperation;
pub use single::SingleLayout;

/// Identifies an operation until it completes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OperationId(pub u64);

/// A slot for one store call at a time. The calls of a slot are sequential.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallSlot(pub u64);

/// A call to the store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreCall {
    /// Reads one key.
    Get {
        /// The key.
        key: String,
    },
    /// Reads all keys with a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Writes one key by compare-and-swap.
    Swap {
        /// The key.
        key: String,
        /// The state that the key must have.
        expected: Expected,
        /// The new value.
        value: Bytes,
        /// The lease whose expiry removes the key.
        lease: Option<LeaseId>,
    },
    /// Grants a lease.
    Grant {
        /// The time to live of the lease, in milliseconds.
        ttl_ms: u64,
    },
    /// Deletes one key.
    Delete {
        /// The key.
        key: String,
        /// The revision the key must have.
        expected: Revision,
    },
}

/// The response to a [`StoreCall`].
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreResponse {
    /// The response to a read of one key.
    Get(Result<Option<Entry>, StoreError>),
    /// The response to a read of a prefix.
    List(Result<Vec<Entry>, StoreError>),
    /// The response to a lease grant.
    Grant(Result<LeaseId, StoreError>),
    /// The response to a swap.
    Swap(Result<Swap, StoreError>),
    /// The response to a deletion.
    Delete(Result<bool, StoreError>),
}

/// Why an operation ended without a verdict.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OperationError {
    /// The operation was not written to the store and never will be.
    NotWritten,
    /// The operation may have been written to the store, or may still be.
    MaybeWritten,
}

/// The result of a submitted operation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Completion {
    /// The identifier of the operation.
    pub operation_id: OperationId,
    /// The key of its order.
    pub key: OrderKey,
    /// The verdict, or why there is none.
    pub result: Result<Verdict, OperationError>,
}

/// An operation submitted to a layout.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Submission {
    /// The identifier that its completion will have.
    pub operation_id: OperationId,
    /// The operation.
    pub operation: Operation,
    /// When the operation fails if it is still pending, on the monotonic clock.
    pub deadline_ms: u64,
    /// Whether a peer may still write the same operation.
    pub forwarded: bool,
}

/// The state of a layout for the state dump.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct LayoutState {
    /// The layout's name.
    pub layout: &'static str,
    /// Pending operations.
    pub waiting: usize,
    /// Store calls in flight.
    pub calls_in_flight: usize,
    /// Cached pages or records.
    pub documents: usize,
    /// Cached keys of sealed pages.
    pub keys: usize,
}

/// How records are stored.
pub trait Layout: Send + 'static {
    /// Submits an operation.
    fn submit(&mut self, submission: Submission, now: ClockReading);

    /// Returns the next call to make, if there is one now.
    fn next_call(&mut self, now: ClockReading) -> Option<(CallSlot, StoreCall)>;

    /// Handles the response to the call in flight in a slot.
    fn handle_response(&mut self, slot: CallSlot, response: StoreResponse, now: ClockReading);

    /// Returns the operations that completed since this method was last called.
    fn take_completions(&mut self) -> Vec<Completion>;

    /// Returns when [`Layout::next_call`] may return a new call without further input, on the
    /// monotonic clock. If that time is not after `now`, call it immediately.
    fn next_wake_ms(&mut self, now: ClockReading) -> Option<u64>;

    /// Starts removing expired records from a shard. Called periodically on the shard's owner.
    fn maintain(&mut self, shard: &ShardId, window_ms: u64, now: ClockReading);

    /// Disables the batching delay, so that pending operations are written immediately.
    fn flush(&mut self);

    /// Returns the state for the state dump.
    fn state(&self) -> LayoutState;
}
