//! The nested candidate sets of a prompt, computed in reusable buffers.

use super::rendezvous::score;
use crate::blocks::BlockHash;
use crate::blocks::MAX_LEVELS;
use crate::fleet::Engine;
use redwingrill_entity::EntityRef;

/// The maximum width of a set.
const MAX_SET_WIDTH: usize = 256;

/// The number of leading engines that are sorted by score. The order of the others is arbitrary.
pub(crate) const RANKED_ENGINES: usize = 16;

/// Sets up to this size are fully sorted.
const FULL_SORT_LEN: usize = 32;

#[derive(Clone, Copy, Debug)]
struct Scored {
    engine: Engine,
    score: u64,
}

/// A reusable context that orders engines for prompts.
///
/// `begin` selects the widest set and `select_first` its leading engines. Each `narrow` orders the
/// last set by the next prefix and selects its first engines as the set of that level.
#[derive(Clone, Debug, Default)]
pub struct CandidateOrder {
    by_domain: Vec<Vec<Scored>>,
    order: Vec<Scored>,
    widths: Vec<usize>,
}

impl CandidateOrder {
    /// Starts a prompt: fills the widest set with the `width` best of `engines` for the prefix.
    pub fn begin(&mut self, engines: &[Engine], prefix: BlockHash, width: usize) {
        self.order.clear();
        self.widths.clear();
        let width = width.min(engines.len()).min(MAX_SET_WIDTH);
        self.group_by_domain(engines, prefix, width);
        self.interleave_domains(width);
        self.widths.push(self.order.len());
    }

    /// Adds a set of the first `width` engines of the last set, without reordering.
    pub fn select_first(&mut self, width: usize) {
        let last_width = self.widths.last().copied().unwrap_or(0);
        self.widths.push(width.min(last_width));
    }

    /// Adds a set of the `width` best engines of the last set for the next, longer prefix.
    pub fn narrow(&mut self, prefix: BlockHash, width: usize) {
        debug_assert!(self.widths.len() <= MAX_LEVELS, "a prompt has at most MAX_LEVELS levels");
        let last_width = self.widths.last().copied().unwrap_or(0);
        let width = width.clamp(1.min(last_width), last_width);
        if width < last_width {
            self.move_best_to_front(prefix, last_width, width);
        }
        self.widths.push(width);
    }

    /// Sorts the leading engines if the last set is wider than the sorted part of the order.
    pub fn rank_front(&mut self, prefix: BlockHash) {
        let last_width = self.widths.last().copied().unwrap_or(0);
        if last_width > RANKED_ENGINES {
            self.move_best_to_front(prefix, last_width, RANKED_ENGINES);
        }
    }

    /// Moves the best `width` of the first `last_width` engines to the front.
    fn move_best_to_front(&mut self, prefix: BlockHash, last_width: usize, width: usize) {
        let set = &mut self.order[..last_width];
        for scored in set.iter_mut() {
            scored.score = score(prefix, scored.engine.key);
        }
        if last_width <= FULL_SORT_LEN {
            set.sort_unstable_by_key(descending);
            return;
        }
        set.select_nth_unstable_by_key(width - 1, descending);
        if width <= RANKED_ENGINES {
            // Engines behind the set are for spillover.
            set[width..].select_nth_unstable_by_key(RANKED_ENGINES - width, descending);
            set[..RANKED_ENGINES].sort_unstable_by_key(descending);
        }
    }

    /// Iterates over the engines, starting with the set of the longest prefix.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.order.iter().map(|scored| &scored.engine)
    }

    /// Returns the number of engines in the set of each level.
    pub fn widths(&self) -> &[usize] {
        &self.widths
    }

    /// Returns the number of sets, counted from the widest, that contain the engine at this
    /// position.
    pub fn set_count_at(&self, position: usize) -> usize {
        self.widths.iter().take_while(|&&width| position < width).count()
    }

    /// Checks the invariants and returns the first violation as an error.
    pub fn verify(&self) -> Result<(), String> {
        if !self.widths.is_sorted_by(|wide, narrow| wide >= narrow) {
            return Err(format!("widths grow: {:?}", self.widths));
        }
        if self.widths.first().is_some_and(|&width| width != self.order.len()) {
            return Err("the first set is not the whole order".into());
        }
        let mut seen: Vec<_> = self.order.iter().map(|scored| scored.engine.upstream).collect();
        seen.sort_unstable();
        seen.dedup();
        if seen.len() != self.order.len() {
            return Err("an engine is ordered twice".into());
        }
        Ok(())
    }

    /// Groups the engines by failure domain and keeps the `width` best of each.
    fn group_by_domain(&mut self, engines: &[Engine], prefix: BlockHash, width: usize) {
        self.by_domain.iter_mut().for_each(Vec::clear);
        for &engine in engines {
            let index = engine.domain.index();
            if index >= self.by_domain.len() {
                self.by_domain.resize_with(index + 1, Vec::new);
            }
            let scored = Scored { engine, score: score(prefix, engine.key) };
            self.by_domain[index].push(scored);
        }
        for domain in &mut self.by_domain {
            if domain.len() > width && width > 0 {
                domain.select_nth_unstable_by_key(width - 1, descending);
                domain.truncate(width);
            }
        }
    }

    /// Takes the best engine of every domain, then the second of every domain, and so on.
    fn interleave_domains(&mut self, width: usize) {
        let mut remaining = width;
        let mut taken_ranks = 0;
        while remaining > 0 {
            // Take as many complete ranks as fit. If not even one fits, keep the best engines of
            // it.
            let domains = self.by_domain.iter().filter(|domain| domain.len() > taken_ranks).count();
            if domains == 0 {
                return;
            }
            let ranks = (remaining / domains).max(1);
            let start = self.order.len();
            for domain in self.by_domain.iter_mut().filter(|domain| domain.len() > taken_ranks) {
                let untaken = &mut domain[taken_ranks..];
                let ranks = ranks.min(untaken.len());
                if ranks < untaken.len() {
                    untaken.select_nth_unstable_by_key(ranks - 1, descending);
                }
                self.order.extend_from_slice(&untaken[..ranks]);
            }
            let added = &mut self.order[start..];
            // A wide set of which all engines are taken needs no sorting.
            if added.len() <= FULL_SORT_LEN || added.len() > remaining {
                added.sort_unstable_by_key(descending);
            }
            self.order.truncate(width);
            remaining = width - self.order.len();
            taken_ranks += ranks;
        }
    }
}

fn descending(scored: &Scored) -> std::cmp::Reverse<u64> {
    std::cmp::Reverse(scored.score)
}
