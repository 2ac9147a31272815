//! The rank of a waiting request.

/// The order in which requests of a class leave the queue, before their urgency counts: those of
/// accounts within their share first, and among them those that can still be in time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub(super) struct Rank {
    pub(super) is_beyond_share: bool,
    pub(super) is_late: bool,
}

impl Rank {
    /// The rank that leaves first.
    pub(super) const FIRST: Self = Self { is_beyond_share: false, is_late: false };

    /// The number of ranks.
    pub(super) const COUNT: usize = 4;

    /// Returns the position of the rank.
    pub(super) fn index(self) -> usize {
        2 * usize::from(self.is_beyond_share) + usize::from(self.is_late)
    }
}
