//! Where records lie in the store.
//!
//! A layout is a state machine without I/O. Operations go in by [`Layout::submit`], calls to the
//! store come out of [`Layout::next_call`], their answers go in by [`Layout::handle_response`], and what
//! became of the operations comes out of [`Layout::take_completions`].
//!
//! Invariants of every layout:
//!
//! - An operation gets a verdict only from a record that the store held after the operation was
//!   submitted.
//! - An operation that ends as [`OperationError::NotWritten`] did not change the store and never will.
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

/// Names an operation until it is done.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct OperationId(pub u64);

/// A sequence of calls that follow one another.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct CallSlot(pub u64);

/// A call to the store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreCall {
    /// Read one key.
    Get {
        /// The key.
        key: String,
    },
    /// Read all keys with a prefix.
    List {
        /// The prefix.
        prefix: String,
    },
    /// Write one key by compare-and-swap.
    Swap {
        /// The key.
        key: String,
        /// What the store must hold.
        expected: Expected,
        /// The new value.
        value: Bytes,
        /// The lease that removes the key.
        lease: Option<LeaseId>,
    },
    /// Grant a lease.
    Grant {
        /// How long it lives.
        ttl_ms: u64,
    },
    /// Delete one key.
    Delete {
        /// The key.
        key: String,
        /// The revision the key must have.
        expected: Revision,
    },
}

/// The answer to a [`StoreCall`].
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum StoreResponse {
    /// To a read of one key.
    Get(Result<Option<Entry>, StoreError>),
    /// To a read of a prefix.
    List(Result<Vec<Entry>, StoreError>),
    /// To a grant.
    Grant(Result<LeaseId, StoreError>),
    /// To a swap.
    Swap(Result<Swap, StoreError>),
    /// To a deletion.
    Delete(Result<bool, StoreError>),
}

/// Why an operation ended without a verdict.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum OperationError {
    /// The operation is not in the store and will not get there.
    NotWritten,
    /// The operation may be in the store, or may still get there.
    MaybeWritten,
}

/// What became of an operation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Completion {
    /// The operation.
    pub operation_id: OperationId,
    /// Its order.
    pub key: OrderKey,
    /// The verdict, or why there is none.
    pub result: Result<Verdict, OperationError>,
}

/// An operation handed to a layout.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Submission {
    /// The name under which it comes back.
    pub operation_id: OperationId,
    /// The operation.
    pub operation: Operation,
    /// When the submitter stops waiting, on the monotonic clock.
    pub deadline_ms: u64,
    /// Whether a peer may still write the same operation.
    pub forwarded: bool,
}

/// The state of a layout for the dump.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct LayoutState {
    /// The layout's name.
    pub layout: &'static str,
    /// Operations without an answer.
    pub waiting: usize,
    /// Calls in flight at the store.
    pub calls_in_flight: usize,
    /// Pages or records known.
    pub documents: usize,
    /// Keys known of sealed pages.
    pub keys: usize,
}

/// Where records lie in the store.
pub trait Layout: Send + 'static {
    /// Takes an operation.
    fn submit(&mut self, submission: Submission, now: ClockReading);

    /// Returns the next call to make, if there is one now.
    fn next_call(&mut self, now: ClockReading) -> Option<(CallSlot, StoreCall)>;

    /// Takes the answer to the call in flight on a lane.
    fn handle_response(&mut self, slot: CallSlot, response: StoreResponse, now: ClockReading);

    /// Returns the operations that ended since the last call.
    fn take_completions(&mut self) -> Vec<Completion>;

    /// Returns when [`Layout::next_call`] may have something new without further input; a time
    /// that is not after `now` asks for a call at once.
    fn next_wake_ms(&mut self, now: ClockReading) -> Option<u64>;

    /// Removes what is past its time from a shard. Called now and then by the shard's home.
    fn maintain(&mut self, shard: &ShardId, window_ms: u64, now: ClockReading);

    /// Stops waiting for more operations to write together.
    fn flush(&mut self);

    /// Returns the state for the dump.
    fn state(&self) -> LayoutState;
}
