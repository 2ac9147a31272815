//! The suspect attempts and completed answers that a node knows of.

use std::collections::BTreeMap;
use std::collections::HashMap;

use super::PartKey;
use super::RequestTag;
use super::timing::COMPLETED_LIMIT;
use super::timing::EVIDENCE_AGE_LIMIT_MS;
use super::timing::PARTS_PER_ATTEMPT_LIMIT;
use super::timing::SPANS_LIMIT;
use super::timing::SURVIVAL_MARGIN_MS;
use super::timing::SUSPECTS_LIMIT;
use crate::fleet::UpstreamTag;

/// An attempt that ended because its engine's connection broke after the engine had the request.
#[derive(Clone, Debug)]
pub struct BrokenAttempt<'a> {
    /// The engine.
    pub engine: UpstreamTag,
    /// The request.
    pub request: RequestTag,
    /// The shared parts of the prompt.
    pub parts: &'a [PartKey],
    /// When the attempt was assigned, in milliseconds on the node's clock.
    pub sent_ms: u64,
}

/// An attempt whose answer was received whole.
#[derive(Clone, Debug)]
pub struct CompletedAttempt<'a> {
    /// The engine.
    pub engine: UpstreamTag,
    /// The shared parts of the prompt.
    pub parts: &'a [PartKey],
    /// When the attempt was assigned, in milliseconds on the node's clock.
    pub sent_ms: u64,
}

/// A suspect attempt, on the clock of this node.
#[derive(Clone, Debug)]
pub(super) struct Suspect {
    pub engine: UpstreamTag,
    pub request: RequestTag,
    pub parts: Vec<PartKey>,
    pub sent_ms: u64,
    pub broken_ms: u64,
    pub known_ms: u64,
    // The engine completed another answer over the break.
    pub has_survivor: bool,
}

/// The time over which an engine worked on an answer that it completed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Span {
    pub sent_ms: u64,
    pub ended_ms: u64,
}

impl Span {
    fn covers(self, suspect: &Suspect) -> bool {
        self.sent_ms < suspect.broken_ms && suspect.broken_ms + SURVIVAL_MARGIN_MS <= self.ended_ms
    }
}

/// The origin of a suspect attempt, and its number there; `None` is this node.
pub(super) type SuspectId = (Option<u64>, u32);

/// The suspect attempts of one part.
#[derive(Clone, Copy, Debug, Default)]
struct Accusation {
    attempts: u32,
    last_broken_ms: u64,
    // When this node first knew of an attempt since the last completed answer. Kept here, since the
    // attempt itself may be displaced by newer ones.
    first_known_ms: Option<u64>,
}

/// All evidence. Invariant: `accused` counts the parts of `suspects`.
#[derive(Clone, Debug, Default)]
pub(super) struct Evidence {
    suspects: BTreeMap<SuspectId, Suspect>,
    accused: HashMap<PartKey, Accusation>,
    completed: HashMap<PartKey, u64>,
    spans: HashMap<UpstreamTag, Span>,
}

impl Evidence {
    /// Adds a suspect attempt. Returns whether it is new; a known one keeps the earlier times,
    /// which are those that travelled faster.
    pub fn add_suspect(&mut self, id: SuspectId, mut suspect: Suspect) -> bool {
        if let Some(known) = self.suspects.get_mut(&id) {
            known.sent_ms = known.sent_ms.min(suspect.sent_ms);
            known.broken_ms = known.broken_ms.min(suspect.broken_ms);
            return false;
        }
        suspect.parts.truncate(PARTS_PER_ATTEMPT_LIMIT);
        suspect.has_survivor =
            self.spans.get(&suspect.engine).is_some_and(|span| span.covers(&suspect));
        for part in &suspect.parts {
            let accusation = self.accused.entry(*part).or_default();
            accusation.attempts += 1;
            accusation.last_broken_ms = accusation.last_broken_ms.max(suspect.broken_ms);
            accusation.first_known_ms.get_or_insert(suspect.known_ms);
        }
        self.suspects.insert(id, suspect);
        if self.suspects.len() > SUSPECTS_LIMIT
            && let Some(oldest) = self.suspects.iter().min_by_key(|(_, s)| s.broken_ms)
        {
            let oldest = *oldest.0;
            if let Some(removed) = self.suspects.remove(&oldest) {
                release(&mut self.accused, &removed);
            }
        }
        true
    }

    /// Records when an answer of requests with a part was last completed.
    pub fn add_completed(&mut self, part: PartKey, at_ms: u64) {
        if let Some(accusation) = self.accused.get_mut(&part)
            && accusation.last_broken_ms <= at_ms
        {
            accusation.first_known_ms = None;
        }
        let last_ms = self.completed.entry(part).or_default();
        *last_ms = (*last_ms).max(at_ms);
        if self.completed.len() > COMPLETED_LIMIT {
            let mut times: Vec<u64> = self.completed.values().copied().collect();
            let quarter = times.len() / 4;
            let oldest_kept = *times.select_nth_unstable(quarter).1;
            self.completed.retain(|_, at_ms| *at_ms > oldest_kept);
        }
    }

    /// Records that an engine completed an answer. Returns whether that voids a suspect attempt.
    pub fn add_span(&mut self, engine: UpstreamTag, span: Span) -> bool {
        let known = self.spans.entry(engine).or_insert(span);
        if known.ended_ms < span.ended_ms {
            *known = span;
        }
        if self.spans.len() > SPANS_LIMIT {
            let newest_ms = self.spans.values().map(|span| span.ended_ms).max().unwrap_or(0);
            self.spans.retain(|_, span| span.ended_ms + EVIDENCE_AGE_LIMIT_MS / 2 > newest_ms);
        }
        let mut is_voiding = false;
        for suspect in self.suspects.values_mut().filter(|suspect| suspect.engine == engine) {
            if !suspect.has_survivor && span.covers(suspect) {
                suspect.has_survivor = true;
                is_voiding = true;
            }
        }
        is_voiding
    }

    pub fn completed_ms(&self, part: PartKey) -> Option<u64> {
        self.completed.get(&part).copied()
    }

    pub fn span(&self, engine: UpstreamTag) -> Option<Span> {
        self.spans.get(&engine).copied()
    }

    pub fn suspects(&self) -> impl DoubleEndedIterator<Item = (&SuspectId, &Suspect)> {
        self.suspects.iter()
    }

    /// Returns when a suspect attempt of the part last broke.
    pub fn last_broken_ms(&self, part: PartKey) -> Option<u64> {
        self.accused.get(&part).map(|accusation| accusation.last_broken_ms)
    }

    /// Returns when this node first knew of a suspect attempt of the part.
    pub fn first_known_ms(&self, part: PartKey) -> Option<u64> {
        self.accused.get(&part).and_then(|accusation| accusation.first_known_ms)
    }

    pub fn expire(&mut self, now_ms: u64) {
        let accused = &mut self.accused;
        self.suspects.retain(|_, suspect| {
            let is_kept = now_ms.saturating_sub(suspect.broken_ms) < EVIDENCE_AGE_LIMIT_MS;
            if !is_kept {
                release(accused, suspect);
            }
            is_kept
        });
    }

    pub fn verify(&self) -> Result<(), String> {
        let sizes = [
            ("suspects", self.suspects.len(), SUSPECTS_LIMIT),
            ("completed", self.completed.len(), COMPLETED_LIMIT),
        ];
        for (name, len, limit) in sizes {
            if len > limit {
                return Err(format!("{len} {name}, limit {limit}"));
            }
        }
        let parts: usize = self.suspects.values().map(|suspect| suspect.parts.len()).sum();
        let accused: u32 = self.accused.values().map(|accusation| accusation.attempts).sum();
        if parts != accused as usize {
            return Err(format!("{parts} parts of suspects, {accused} accusations"));
        }
        Ok(())
    }
}

fn release(accused: &mut HashMap<PartKey, Accusation>, removed: &Suspect) {
    for part in &removed.parts {
        let Some(accusation) = accused.get_mut(part) else { continue };
        accusation.attempts -= 1;
        if accusation.attempts == 0 {
            accused.remove(part);
        }
    }
}
