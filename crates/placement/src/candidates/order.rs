//! The nested candidate sets of one prompt, in memory that is used again for the next.

use super::rendezvous::score;
use crate::blocks::BlockHash;
use crate::blocks::MAX_LEVELS;
use crate::fleet::Engine;
use redwingrill_entity::EntityRef;

/// The widest set that is kept in order.
pub(crate) const MAX_WIDTH: usize = 256;

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
    pub fn widen(&mut self, engines: &[Engine], prefix: BlockHash, width: usize) {
        self.order.clear();
        self.widths.clear();
        let width = width.min(engines.len()).min(MAX_WIDTH);
        self.fill_domains(engines, prefix, width);
        self.interleave_domains(width);
        self.widths.push(self.order.len());
    }

    /// Keeps the first `width` of the last set, in the order they have.
    pub fn keep(&mut self, width: usize) {
        let last = self.widths.last().copied().unwrap_or(0);
        self.widths.push(width.min(last));
    }

    /// Keeps the best `width` of the last set for the next, longer prefix.
    pub fn narrow(&mut self, prefix: BlockHash, width: usize) {
        debug_assert!(self.widths.len() <= MAX_LEVELS, "a prompt has a bounded number of levels");
        let last = self.widths.last().copied().unwrap_or(0);
        let width = width.clamp(1.min(last), last);
        if width < last {
            for scored in &mut self.order[..last] {
                scored.score = score(prefix, scored.engine.key);
            }
            self.order[..last].sort_unstable_by_key(|scored| std::cmp::Reverse(scored.score));
        }
        self.widths.push(width);
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
    pub fn levels_at(&self, place: usize) -> usize {
        self.widths.iter().take_while(|&&width| place < width).count()
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

    /// Keeps the best engines of each failure domain, the best first.
    fn fill_domains(&mut self, engines: &[Engine], prefix: BlockHash, width: usize) {
        self.by_domain.iter_mut().for_each(Vec::clear);
        for &engine in engines {
            let index = engine.domain.index();
            if index >= self.by_domain.len() {
                self.by_domain.resize_with(index + 1, Vec::new);
            }
            let scored = Scored { engine, score: score(prefix, engine.key) };
            insert_bounded(&mut self.by_domain[index], scored, width);
        }
    }

    /// Takes the best of every domain, then the second of every domain, and so on.
    fn interleave_domains(&mut self, width: usize) {
        let mut rank = 0;
        while self.order.len() < width {
            let start = self.order.len();
            let ranked = self.by_domain.iter().filter_map(|domain| domain.get(rank));
            self.order.extend(ranked);
            self.order[start..].sort_unstable_by_key(|scored| std::cmp::Reverse(scored.score));
            rank += 1;
        }
        self.order.truncate(width);
    }
}

/// Inserts into a list kept in descending order and no longer than `bound`.
fn insert_bounded(list: &mut Vec<Scored>, scored: Scored, bound: usize) {
    if list.len() == bound && list.last().is_some_and(|last| last.score >= scored.score) {
        return;
    }
    let place = list.partition_point(|other| other.score > scored.score);
    if list.len() == bound {
        list.pop();
    }
    list.insert(place, scored);
}
