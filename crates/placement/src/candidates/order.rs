//! The nested candidate sets of one prompt, in memory that is used again for the next.

use super::rendezvous::score;
use crate::blocks::BlockHash;
use crate::blocks::MAX_LEVELS;
use crate::fleet::Engine;
use redwingrill_entity::EntityRef;

/// The widest set.
const MAX_SET_WIDTH: usize = 256;

/// The engines at the beginning that are kept in order. Those behind them are a set only.
pub(crate) const RANKED_ENGINES: usize = 16;

/// Sets up to this size are ordered whole.
const FULL_SORT_LEN: usize = 32;

#[derive(Clone, Copy, Debug)]
struct Scored {
    engine: Engine,
    score: u64,
}

/// A context that orders engines for prompts.
///
/// `widen` picks a first set, `keep` its beginning; each `narrow` orders the last set by the next
/// prefix and keeps its first engines as that level's set.
#[derive(Clone, Debug, Default)]
pub struct CandidateOrder {
    by_domain: Vec<Vec<Scored>>,
    order: Vec<Scored>,
    widths: Vec<usize>,
}

impl CandidateOrder {
    /// Starts a prompt: fills the set of the first level with the best `width` of `engines`.
    pub fn begin(&mut self, engines: &[Engine], prefix: BlockHash, width: usize) {
        self.order.clear();
        self.widths.clear();
        let width = width.min(engines.len()).min(MAX_SET_WIDTH);
        self.group_by_domain(engines, prefix, width);
        self.interleave_domains(width);
        self.widths.push(self.order.len());
    }

    /// Keeps the first `width` of the last set, in the order they have.
    pub fn select_first(&mut self, width: usize) {
        let last_width = self.widths.last().copied().unwrap_or(0);
        self.widths.push(width.min(last_width));
    }

    /// Keeps the best `width` of the last set for the next, longer prefix.
    pub fn narrow(&mut self, prefix: BlockHash, width: usize) {
        debug_assert!(self.widths.len() <= MAX_LEVELS, "a prompt has a bounded number of levels");
        let last_width = self.widths.last().copied().unwrap_or(0);
        let width = width.clamp(1.min(last_width), last_width);
        if width < last_width {
            self.move_best_to_front(prefix, last_width, width);
        }
        self.widths.push(width);
    }

    /// Orders the beginning of a last set that is wider than what is kept in order.
    pub fn rank_front(&mut self, prefix: BlockHash) {
        let last_width = self.widths.last().copied().unwrap_or(0);
        if last_width > RANKED_ENGINES {
            self.move_best_to_front(prefix, last_width, RANKED_ENGINES);
        }
    }

    /// Moves the best `width` of the first `last` engines to the front.
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
            // Places behind the set are for work that spills over.
            set[width..].select_nth_unstable_by_key(RANKED_ENGINES - width, descending);
            set[..RANKED_ENGINES].sort_unstable_by_key(descending);
        }
    }

    /// Returns the engines, those of the longest prefix first.
    pub fn engines(&self) -> impl Iterator<Item = &Engine> {
        self.order.iter().map(|scored| &scored.engine)
    }

    /// Returns the number of engines in the set of each level.
    pub fn widths(&self) -> &[usize] {
        &self.widths
    }

    /// Returns how many levels, from the shortest on, have the engine at this place in their set.
    pub fn level_count_at(&self, position: usize) -> usize {
        self.widths.iter().take_while(|&&width| position < width).count()
    }

    /// Checks the invariants and names the first that is broken.
    pub fn verify(&self) -> Result<(), String> {
        if !self.widths.is_sorted_by(|wide, narrow| wide >= narrow) {
            return Err(format!("widths grow: {:?}", self.widths));
        }
        if self.widths.first().is_some_and(|&width| width != self.order.len()) {
            return Err("the first level does not hold the whole order".into());
        }
        let mut seen: Vec<_> = self.order.iter().map(|scored| scored.engine.upstream).collect();
        seen.sort_unstable();
        seen.dedup();
        if seen.len() != self.order.len() {
            return Err("an engine is ordered twice".into());
        }
        Ok(())
    }

    /// Parts the engines by failure domain and keeps the best of each.
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

    /// Takes the best of every domain, then the second of every domain, and so on.
    fn interleave_domains(&mut self, width: usize) {
        let mut remaining = width;
        let mut taken_ranks = 0;
        while remaining > 0 {
            // As many whole ranks as fit; at least one, of which the best are kept.
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
            // A wide set that is taken whole needs no order.
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
