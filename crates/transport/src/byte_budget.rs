//! A budget of bytes for what a process buffers.
//!
//! The load pattern: peers that send without end, or read nothing, on many connections. A limit for
//! each buffer lets their number decide how much memory is used.
//!
//! All buffers of a process draw on one budget. Each may hold as much as stays free: the more buffers
//! are large, the smaller is the largest that is allowed. So buffers that grow without end meet the
//! limit at an equal share of the budget, and as much as that stays free for all others.
//!
//! Invariants:
//! - The sum of what the reservations hold is never above the limit.
//! - A reservation is released when what it stands for is dropped, wherever that is.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use snafu::Snafu;

/// A buffer would hold more than the budget allows.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("the buffers of the process are full"))]
pub struct BudgetExceeded;

/// A budget of bytes. Clones share it.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    limit_bytes: usize,
    used_bytes: AtomicUsize,
}

impl ByteBudget {
    /// Creates a budget of `limit_bytes`.
    pub fn new(limit_bytes: usize) -> Self {
        Self { shared: Arc::new(Shared { limit_bytes, used_bytes: AtomicUsize::new(0) }) }
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Returns the limit in bytes.
    pub fn limit_bytes(&self) -> usize {
        self.shared.limit_bytes
    }

    /// Returns the bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.shared.used_bytes.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), held_bytes: 0 }
    }
}

impl Default for ByteBudget {
    fn default() -> Self {
        Self::unlimited()
    }
}

/// Bytes that are reserved for one buffer.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    held_bytes: usize,
}

impl ByteReservation {
    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if the buffer would hold more than stays free; nothing is reserved then.
    pub fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let limit_bytes = self.budget.shared.limit_bytes;
        let wanted_bytes = self.held_bytes.saturating_add(bytes);
        let reserve = |used_bytes: usize| {
            let next_used_bytes = used_bytes.checked_add(bytes)?;
            let is_allowed = wanted_bytes <= limit_bytes.checked_sub(next_used_bytes)?;
            is_allowed.then_some(next_used_bytes)
        };
        let used = &self.budget.shared.used_bytes;
        used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, reserve)
            .map_err(|_| BudgetExceeded)?;
        self.held_bytes = wanted_bytes;
        Ok(())
    }

    /// Moves `bytes` to a reservation of their own.
    fn split(&mut self, bytes: usize) -> Self {
        let moved_bytes = bytes.min(self.held_bytes);
        self.held_bytes -= moved_bytes;
        Self { budget: self.budget.clone(), held_bytes: moved_bytes }
    }

    /// Releases all but `bytes`.
    fn shrink_to(&mut self, bytes: usize) {
        drop(self.split(self.held_bytes.saturating_sub(bytes)));
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.shared.used_bytes.fetch_sub(self.held_bytes, Ordering::Relaxed);
    }
}

/// How much a buffer grows at least, in bytes.
const MIN_GROWTH_BYTES: usize = 1 << 10;

/// A buffer that draws on a budget with its capacity.
#[derive(Debug)]
pub struct BudgetedBuffer {
    data: Vec<u8>,
    reservation: ByteReservation,
}

impl BudgetedBuffer {
    /// Creates an empty buffer.
    pub fn new(budget: &ByteBudget) -> Self {
        Self { data: Vec::new(), reservation: budget.reservation() }
    }

    /// Appends bytes.
    ///
    /// # Errors
    ///
    /// [`BudgetExceeded`] if the budget does not allow it.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), BudgetExceeded> {
        let missing_bytes = (self.len() + bytes.len()).saturating_sub(self.data.capacity());
        if missing_bytes > 0 {
            // Larger steps than a piece, so that few copies are made, but less than a doubling.
            let mut growth_bytes = missing_bytes.max(self.len() / 4).max(MIN_GROWTH_BYTES);
            if self.reservation.grow(growth_bytes).is_err() {
                growth_bytes = missing_bytes;
                self.reservation.grow(growth_bytes)?;
            }
            self.data.reserve_exact(self.data.capacity() - self.len() + growth_bytes);
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the content.
    pub fn as_slice(&self) -> &[u8] {
        &self.data
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether the buffer is empty.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Takes the first `len` bytes. They count until their last clone is dropped.
    pub fn split_to(&mut self, len: usize) -> Bytes {
        if len == 0 {
            return Bytes::new();
        }
        let rest = self.data[len..].to_vec();
        let mut data = std::mem::replace(&mut self.data, rest);
        data.truncate(len);
        data.shrink_to_fit();
        let reservation = self.reservation.split(len);
        self.reservation.shrink_to(self.data.capacity());
        Bytes::from_owner(Reserved { data, _reservation: reservation })
    }

    /// Takes all bytes. They count until their last clone is dropped.
    pub fn freeze(mut self) -> Bytes {
        self.split_to(self.len())
    }
}

/// Bytes with their reservation.
struct Reserved {
    data: Vec<u8>,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for Reserved {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}
