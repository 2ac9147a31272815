//! Revisions of the store.
//!
//! The store may come back from an older copy. It then loses what was written since, and gives out
//! the same revision numbers, lease identifiers and with them fencing numbers again. Each return
//! begins a new era. Numbers are comparable only within an era, so a revision always carries its
//! era.

use std::fmt;

/// How often the store has come back from an older copy.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A revision of the whole store, ordered by era first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Revision(u64);

impl Revision {
    /// The revision of a key that does not exist, in any era.
    pub const ABSENT: Self = Self(0);

    /// The bits of the number; the era takes the bits above them.
    const NUMBER_BITS: u32 = 40;

    /// Creates a revision from the store's number. `None` if the era or the number is too large.
    pub const fn new(era: Era, number: u64) -> Option<Self> {
        if era.0 >> (u64::BITS - Self::NUMBER_BITS) != 0 || number >> Self::NUMBER_BITS != 0 {
            return None;
        }
        Some(Self(era.0 << Self::NUMBER_BITS | number))
    }

    /// Returns the revision of a value of [`Revision::as_u64`].
    pub const fn from_u64(value: u64) -> Self {
        Self(value)
    }

    /// Returns a number that orders revisions as they are ordered, for messages and as a fencing
    /// number. In era zero it is the store's number.
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Returns the era.
    pub const fn era(self) -> Era {
        Era(self.0 >> Self::NUMBER_BITS)
    }

    /// Returns the store's number.
    pub const fn number(self) -> u64 {
        self.0 & ((1 << Self::NUMBER_BITS) - 1)
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.era(), self.number())
    }
}

impl fmt::Debug for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Revision({self})")
    }
}
