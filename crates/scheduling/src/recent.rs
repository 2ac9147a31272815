//! A sliding window of entries.

use std::collections::VecDeque;

/// Entries no older than `WINDOW_MS` milliseconds, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct Recent<T, const WINDOW_MS: u64> {
    entries: VecDeque<(u64, T)>,
}

impl<T, const WINDOW_MS: u64> Default for Recent<T, WINDOW_MS> {
    fn default() -> Self {
        Self { entries: VecDeque::new() }
    }
}

impl<T, const WINDOW_MS: u64> Recent<T, WINDOW_MS> {
    /// Adds an entry and removes expired ones.
    pub fn push(&mut self, entry: T, now_ms: u64) {
        self.entries.push_back((now_ms, entry));
        self.expire(now_ms);
    }

    /// Removes expired entries and returns the number of the others.
    pub fn count(&mut self, now_ms: u64) -> usize {
        self.expire(now_ms);
        self.entries.len()
    }

    /// Returns the entries that have not expired, oldest first.
    pub fn iter(&self, now_ms: u64) -> impl DoubleEndedIterator<Item = &T> {
        let fresh =
            self.entries.iter().filter(move |(at_ms, _)| is_fresh::<WINDOW_MS>(*at_ms, now_ms));
        fresh.map(|(_, entry)| entry)
    }

    fn expire(&mut self, now_ms: u64) {
        while self.entries.front().is_some_and(|(at_ms, _)| !is_fresh::<WINDOW_MS>(*at_ms, now_ms))
        {
            self.entries.pop_front();
        }
    }
}

fn is_fresh<const WINDOW_MS: u64>(at_ms: u64, now_ms: u64) -> bool {
    now_ms.saturating_sub(at_ms) <= WINDOW_MS
}
