//! What a node holds against parts, and which parts it refuses.

use std::collections::HashMap;
use std::collections::HashSet;

use super::BrokenAttempt;
use super::CompletedAttempt;
use super::Generations;
use super::PartKey;
use super::QuarantineDigest;
use super::ScopeTag;
use super::SuspectDigest;
use super::digest::age_ms;
use super::evidence::Evidence;
use super::evidence::Span;
use super::evidence::Suspect;
use super::evidence::SuspectId;
use super::timing::CLEARED_GENERATIONS;
use super::timing::CLEARED_MS;
use super::timing::COUNT_PERIOD_MS;
use super::timing::DIGEST_COMPLETED_LIMIT;
use super::timing::DIGEST_HELD_LIMIT;
use super::timing::DIGEST_PARTS_LIMIT;
use super::timing::DIGEST_SPANS_LIMIT;
use super::timing::DIGEST_SUSPECTS_LIMIT;
use super::timing::GENERATIONS;
use super::timing::HEARING_MARGIN_MS;
use super::timing::HELD_LIMIT;
use super::timing::LIFTED_MS;
use super::timing::PARTS_PER_ATTEMPT_LIMIT;
use super::timing::QUARANTINE_MS;
use super::timing::REPEATED_ROUNDS;
use super::timing::REQUESTS;
use super::timing::SAME_BREAK_MS;
use super::timing::SUSPECT_EVENTS_PER_S;
use crate::fleet::UpstreamTag;
use crate::fleet::digest_round_ms;
use crate::recent::Recent;
use redwingrill_routing::DeclaredPrompt;

/// How a node learned that a part is quarantined.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Source {
    /// By its own count.
    Own,
    /// From the digest of another node.
    Peer,
    /// From the store.
    Store,
}

/// A part that is refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Block {
    /// The part.
    pub part: PartKey,
    /// What is left of the quarantine, in milliseconds.
    pub remaining_ms: u64,
}

/// A part that is held, for its record in the store.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct HeldPart {
    /// The part.
    pub part: PartKey,
    /// How the node learned of it.
    pub source: Source,
    /// When its quarantine ends, in milliseconds on the node's clock.
    pub until_ms: u64,
    /// The service and the model, if known.
    pub scope: Option<(String, String)>,
    /// The generations of broken attempts; zero if another node counted them.
    pub generations: usize,
}

/// A change for the log.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum QuarantineEvent {
    /// An attempt of this node broke and accuses its parts.
    Suspected {
        /// The parts.
        parts: Vec<PartKey>,
        /// How long the engine had the request, in milliseconds.
        after_ms: u64,
    },
    /// A completed answer cleared a suspected part.
    Cleared {
        /// The part.
        part: PartKey,
    },
    /// A part is refused from now on.
    Quarantined {
        /// The part, how it was learned, and its generations.
        held: HeldPart,
        /// The engines of all its broken attempts.
        engines: usize,
        /// The distinct requests.
        requests: usize,
    },
    /// A part may be tried again.
    Lifted {
        /// The part.
        part: PartKey,
    },
}

#[derive(Clone, Debug)]
struct Held {
    source: Source,
    until_ms: u64,
    generations: usize,
    // Whether the store has a record of it.
    is_listed: bool,
}

/// What is known against one part.
#[derive(Debug)]
struct Case {
    part: PartKey,
    attempts: Vec<SuspectId>,
    generations: usize,
    engines: HashSet<UpstreamTag>,
    requests: usize,
    needed: usize,
    // Whether the evidence that all other nodes had time to answer suffices.
    is_settled: bool,
}

/// The evidence against parts, and the quarantined parts.
#[derive(Clone, Debug)]
pub struct Quarantine {
    evidence: Evidence,
    held: HashMap<PartKey, Held>,
    // When the store lifted a quarantine; older evidence no longer counts.
    lifted: HashMap<PartKey, u64>,
    // Until when completed answers are reported, by part and by engine.
    reported_parts: HashMap<PartKey, u64>,
    reported_engines: HashMap<UpstreamTag, u64>,
    scopes: HashMap<ScopeTag, (String, String)>,
    events: Vec<QuarantineEvent>,
    suspect_events: Recent<(), 1_000>,
    round_ms: u64,
    next_id: u32,
    digests: usize,
    counted_ms: u64,
    // When evidence was last added, until it was counted after the other nodes were heard.
    changed_ms: Option<u64>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            evidence: Evidence::default(),
            held: HashMap::new(),
            lifted: HashMap::new(),
            reported_parts: HashMap::new(),
            reported_engines: HashMap::new(),
            scopes: HashMap::new(),
            events: Vec::new(),
            suspect_events: Recent::default(),
            round_ms: digest_round_ms(1),
            next_id: 0,
            digests: 0,
            counted_ms: 0,
            changed_ms: None,
        }
    }
}

impl Quarantine {
    /// Sets the number of nodes, on which the time of a round of digests depends.
    pub fn set_members(&mut self, members: usize) {
        self.round_ms = digest_round_ms(members);
    }

    /// Records an attempt of this node that broke now.
    pub fn record_broken(
        &mut self,
        (service, model): (&str, &str),
        attempt: &BrokenAttempt<'_>,
        now_ms: u64,
    ) {
        if attempt.parts.is_empty() {
            return;
        }
        if self.scopes.len() < HELD_LIMIT {
            let names = (service.to_owned(), model.to_owned());
            self.scopes.insert(ScopeTag::of(service, model), names);
        }
        if self.suspect_events.count(now_ms) < SUSPECT_EVENTS_PER_S {
            self.suspect_events.push((), now_ms);
            let after_ms = now_ms.saturating_sub(attempt.sent_ms);
            let parts = attempt.parts.to_vec();
            self.events.push(QuarantineEvent::Suspected { parts, after_ms });
        }
        let suspect = Suspect {
            engine: attempt.engine,
            request: attempt.request,
            parts: attempt.parts.to_vec(),
            sent_ms: attempt.sent_ms,
            broken_ms: now_ms,
            known_ms: now_ms,
            has_survivor: false,
        };
        self.next_id = self.next_id.wrapping_add(1);
        self.add_suspect((None, self.next_id), suspect, now_ms);
    }

    /// Records an attempt of this node whose answer was received whole.
    pub fn record_completed(&mut self, attempt: &CompletedAttempt<'_>, now_ms: u64) {
        let report_until_ms = now_ms + self.report_ms();
        for part in attempt.parts {
            if self.evidence.last_broken_ms(*part).is_some() {
                self.report_cleared(*part, now_ms);
                self.reported_parts.insert(*part, report_until_ms);
            }
            self.evidence.add_completed(*part, now_ms);
        }
        let span = Span { sent_ms: attempt.sent_ms, ended_ms: now_ms };
        if self.evidence.add_span(attempt.engine, span) {
            self.reported_engines.insert(attempt.engine, report_until_ms);
        }
    }

    /// Merges the digest of another node.
    pub fn merge(&mut self, node: u64, digest: &QuarantineDigest, now_ms: u64) {
        let at = |age_ms: u32| now_ms.saturating_sub(u64::from(age_ms));
        for (part, age_ms) in &digest.completed {
            self.report_cleared(*part, at(*age_ms));
            self.evidence.add_completed(*part, at(*age_ms));
        }
        for (engine, sent_age_ms, ended_age_ms) in &digest.survivals {
            let span = Span { sent_ms: at(*sent_age_ms), ended_ms: at(*ended_age_ms) };
            self.evidence.add_span(*engine, span);
        }
        for suspect in &digest.suspects {
            let known = Suspect {
                engine: suspect.engine,
                request: suspect.request,
                parts: suspect.parts.clone(),
                sent_ms: at(suspect.sent_age_ms),
                broken_ms: at(suspect.broken_age_ms),
                known_ms: now_ms,
                has_survivor: false,
            };
            self.add_suspect((Some(node), suspect.id), known, now_ms);
        }
        for (part, remaining_ms) in &digest.quarantined {
            let is_lifted = self.lifted.get(part).is_some_and(|at_ms| now_ms < at_ms + LIFTED_MS);
            if !is_lifted && !self.held.contains_key(part) {
                let until_ms = now_ms + u64::from(*remaining_ms).min(QUARANTINE_MS);
                self.hold(*part, Source::Peer, until_ms, None);
            }
        }
    }

    /// Adds a suspect attempt, and reports what this node knows in favour of its parts and engine.
    fn add_suspect(&mut self, id: SuspectId, suspect: Suspect, now_ms: u64) {
        let (parts, engine) = (suspect.parts.clone(), suspect.engine);
        let broken_ms = suspect.broken_ms;
        if !self.evidence.add_suspect(id, suspect) {
            return;
        }
        self.changed_ms = Some(now_ms);
        let report_until_ms = now_ms + self.report_ms();
        for part in parts {
            if self.evidence.completed_ms(part).is_some() {
                self.reported_parts.insert(part, report_until_ms);
            }
        }
        if self.evidence.span(engine).is_some_and(|span| span.ended_ms > broken_ms) {
            self.reported_engines.insert(engine, report_until_ms);
        }
    }

    fn report_cleared(&mut self, part: PartKey, at_ms: u64) {
        let Some(broken_ms) = self.evidence.last_broken_ms(part) else { return };
        let since_ms = self.evidence.completed_ms(part).unwrap_or(0);
        let was_suspected = broken_ms > since_ms && broken_ms <= at_ms;
        if was_suspected && self.suspect_events.count(at_ms) < SUSPECT_EVENTS_PER_S {
            self.suspect_events.push((), at_ms);
            self.events.push(QuarantineEvent::Cleared { part });
        }
    }

    /// Returns what this node reports to the others.
    pub fn digest(&mut self, now_ms: u64) -> QuarantineDigest {
        self.count(now_ms);
        let report_ms = self.report_ms();
        let mut parts_left = DIGEST_PARTS_LIMIT;
        let own = self.evidence.suspects().rev().filter(|((origin, _), suspect)| {
            origin.is_none() && now_ms < suspect.known_ms + report_ms && !suspect.has_survivor
        });
        let fitting = own.take_while(|(_, suspect)| {
            parts_left = parts_left.saturating_sub(suspect.parts.len());
            parts_left > 0
        });
        let suspects =
            fitting.take(DIGEST_SUSPECTS_LIMIT).map(|((_, id), suspect)| SuspectDigest {
                id: *id,
                engine: suspect.engine,
                request: suspect.request,
                sent_age_ms: age_ms(suspect.sent_ms, now_ms),
                broken_age_ms: age_ms(suspect.broken_ms, now_ms),
                parts: suspect.parts.clone(),
            });
        let suspects = suspects.collect();
        self.digests = self.digests.wrapping_add(1);
        let parts = by_turns(self.reported_parts.keys(), self.digests, DIGEST_COMPLETED_LIMIT);
        let completed = parts
            .into_iter()
            .filter_map(|part| Some((part, age_ms(self.evidence.completed_ms(part)?, now_ms))));
        let engines = by_turns(self.reported_engines.keys(), self.digests, DIGEST_SPANS_LIMIT);
        let survivals = engines.into_iter().filter_map(|engine| {
            let span = self.evidence.span(engine)?;
            Some((engine, age_ms(span.sent_ms, now_ms), age_ms(span.ended_ms, now_ms)))
        });
        let held = by_turns(self.held.keys(), self.digests, DIGEST_HELD_LIMIT);
        let quarantined = held.into_iter().filter_map(|part| {
            let remaining_ms = self.held.get(&part)?.until_ms.saturating_sub(now_ms);
            Some((part, u32::try_from(remaining_ms).unwrap_or(u32::MAX)))
        });
        QuarantineDigest {
            suspects,
            completed: completed.collect(),
            survivals: survivals.collect(),
            quarantined: quarantined.collect(),
        }
    }

    /// Replaces the parts that the store lists as quarantined. A part that it no longer lists may be
    /// tried again.
    pub fn set_listed(&mut self, listed: &[PartKey], now_ms: u64) {
        let listed: HashSet<PartKey> = listed.iter().copied().collect();
        for part in &listed {
            if !self.held.contains_key(part) {
                self.hold(*part, Source::Store, now_ms + QUARANTINE_MS, None);
            }
            if let Some(held) = self.held.get_mut(part) {
                held.is_listed = true;
            }
        }
        let unlisted =
            self.held.iter().filter(|(part, held)| held.is_listed && !listed.contains(part));
        let unlisted: Vec<PartKey> = unlisted.map(|(part, _)| *part).collect();
        unlisted.into_iter().for_each(|part| self.lift(part, now_ms));
    }

    /// Records that the store lost the records of these parts: they stay quarantined, and their
    /// records are to be written again.
    pub fn set_lapsed(&mut self, lapsed: &[PartKey]) {
        for part in lapsed {
            if let Some(held) = self.held.get_mut(part) {
                held.is_listed = false;
            }
        }
    }

    /// Returns the parts that the store does not list yet.
    pub fn unlisted(&self) -> Vec<HeldPart> {
        let unlisted = self.held.iter().filter(|(_, held)| !held.is_listed);
        unlisted.map(|(part, held)| self.held_part(*part, held)).collect()
    }

    /// Returns the quarantined parts.
    pub fn held(&self) -> impl Iterator<Item = PartKey> {
        self.held.keys().copied()
    }

    /// Returns the part of a prompt that is quarantined, if there is one.
    pub fn block(&mut self, service: &str, prompt: &DeclaredPrompt, now_ms: u64) -> Option<Block> {
        if now_ms >= self.counted_ms + COUNT_PERIOD_MS {
            self.count(now_ms);
        }
        if self.held.is_empty() {
            return None;
        }
        let part = self.held_of(&PartKey::shared_parts(service, prompt))?;
        let held = self.held.get(&part)?;
        // A part that the store still lists has a little time left at least.
        Some(Block { part, remaining_ms: held.until_ms.saturating_sub(now_ms).max(1_000) })
    }

    /// Returns the part among those of a prompt, or the two parts together, that is held.
    fn held_of(&self, parts: &[PartKey]) -> Option<PartKey> {
        let parts = &parts[..parts.len().min(PARTS_PER_ATTEMPT_LIMIT)];
        let pairs = parts
            .iter()
            .enumerate()
            .flat_map(|(index, part)| parts[index + 1..].iter().map(|other| part.joint(*other)));
        parts.iter().copied().chain(pairs).find(|part| self.held.contains_key(part))
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_events(&mut self) -> Vec<QuarantineEvent> {
        std::mem::take(&mut self.events)
    }

    /// Checks the bounds of the tables.
    ///
    /// # Errors
    ///
    /// Describes the first violated bound.
    pub fn verify(&self) -> Result<(), String> {
        self.evidence.verify()
    }

    /// How long a piece of evidence is reported, so that each node gets it several times.
    fn report_ms(&self) -> u64 {
        self.round_ms * REPEATED_ROUNDS
    }

    /// How long the other nodes have to report answers of a part.
    fn hearing_ms(&self) -> u64 {
        2 * self.round_ms + HEARING_MARGIN_MS
    }

    /// Counts the evidence, and quarantines the parts for which it suffices.
    fn count(&mut self, now_ms: u64) {
        self.counted_ms = now_ms;
        self.evidence.expire(now_ms);
        let is_over = |held: &Held| !held.is_listed && held.until_ms <= now_ms;
        let over = self.held.iter().filter(|(_, held)| is_over(held));
        let over: Vec<PartKey> = over.map(|(part, _)| *part).collect();
        over.into_iter().for_each(|part| self.lift(part, now_ms));
        self.lifted.retain(|_, at_ms| now_ms < *at_ms + QUARANTINE_MS);
        self.reported_parts.retain(|_, until_ms| now_ms < *until_ms);
        self.reported_engines.retain(|_, until_ms| now_ms < *until_ms);
        let Some(changed_ms) = self.changed_ms else { return };
        if now_ms > changed_ms + 2 * self.hearing_ms() {
            self.changed_ms = None;
        }
        loop {
            let found = self.next_sufficient(now_ms);
            if self.held.len() >= HELD_LIMIT {
                return;
            }
            let [first, others @ ..] = found.as_slice() else { return };
            let part = others.first().map_or(first.part, |other| first.part.joint(other.part));
            let counts = (first.generations, first.engines.len(), first.requests);
            self.hold(part, Source::Own, now_ms + QUARANTINE_MS, Some(counts));
        }
    }

    /// Returns the part that explains the breaks of most engines with the fewest attempts, if its
    /// evidence suffices; those with a completed answer on record come last. A part that only
    /// accompanies it loses its evidence once the other one is held. Parts that always came together
    /// can't be told apart and are returned together: only prompts with both are refused, so that a
    /// sound one of them can show it.
    fn next_sufficient(&self, now_ms: u64) -> Vec<Case> {
        let mut cases = self.cases(now_ms);
        cases.retain(|case| case.requests >= REQUESTS);
        cases.sort_by_key(|case| {
            (case.needed, usize::MAX - case.engines.len(), case.attempts.len(), case.part)
        });
        let best = cases.iter().position(|case| case.generations >= case.needed);
        let Some(best) = best.map(|index| (index, &cases[index])) else { return Vec::new() };
        let (index, best) = best;
        // A part that explains these breaks at least as well may only lack time.
        let is_explained = cases[..index]
            .iter()
            .any(|case| case.attempts != best.attempts && case.engines.is_superset(&best.engines));
        if is_explained || !best.is_settled {
            return Vec::new();
        }
        let (attempts, needed) = (best.attempts.clone(), best.needed);
        cases.retain(|case| case.attempts == attempts && case.needed == needed);
        cases
    }

    fn was_cleared_lately(&self, part: PartKey, now_ms: u64) -> bool {
        let completed_ms = self.evidence.completed_ms(part);
        completed_ms.is_some_and(|at_ms| now_ms < at_ms + CLEARED_MS)
    }

    /// Gathers what is known against each part that is not held.
    fn cases(&self, now_ms: u64) -> Vec<Case> {
        let hearing_ms = self.hearing_ms();
        let settled_ms = self.round_ms + HEARING_MARGIN_MS / 3;
        let explained = self.explained_breaks();
        let mut by_part: HashMap<PartKey, Vec<(&SuspectId, &Suspect)>> = HashMap::new();
        for (id, suspect) in self.evidence.suspects() {
            let is_explained = explained.get(&suspect.engine).is_some_and(|breaks_ms| {
                breaks_ms.iter().any(|at_ms| at_ms.abs_diff(suspect.broken_ms) <= SAME_BREAK_MS)
            });
            if suspect.has_survivor || is_explained {
                continue;
            }
            let accused = suspect.parts.iter().filter(|part| {
                !self.held.contains_key(part) && !self.was_cleared_lately(**part, now_ms)
            });
            for part in accused {
                by_part.entry(*part).or_default().push((id, suspect));
            }
        }
        let cases = by_part.into_iter().map(|(part, mut suspects)| {
            let completed_ms = self.evidence.completed_ms(part);
            let since_ms = completed_ms.max(self.lifted.get(&part).copied());
            suspects.retain(|(_, suspect)| since_ms.is_none_or(|at_ms| suspect.broken_ms > at_ms));
            let first_known_ms = self.evidence.first_known_ms(part);
            let mut all = Generations::default();
            let mut settled = Generations::default();
            for (_, suspect) in &suspects {
                all.add(suspect.engine, suspect.sent_ms, suspect.broken_ms);
                if suspect.known_ms + settled_ms <= now_ms {
                    settled.add(suspect.engine, suspect.sent_ms, suspect.broken_ms);
                }
            }
            let needed = if completed_ms.is_some() { CLEARED_GENERATIONS } else { GENERATIONS };
            let engines: HashSet<_> = suspects.iter().map(|(_, suspect)| suspect.engine).collect();
            let requests: HashSet<_> =
                suspects.iter().map(|(_, suspect)| suspect.request).collect();
            let is_heard = first_known_ms.is_some_and(|known_ms| known_ms + hearing_ms <= now_ms);
            Case {
                part,
                attempts: suspects.iter().map(|(id, _)| **id).collect(),
                generations: all.count(),
                engines,
                requests: requests.len(),
                needed,
                is_settled: is_heard && settled.count() >= needed,
            }
        });
        cases.collect()
    }

    /// Returns the breaks that quarantined parts explain, by engine.
    fn explained_breaks(&self) -> HashMap<UpstreamTag, Vec<u64>> {
        let mut breaks_ms: HashMap<UpstreamTag, Vec<u64>> = HashMap::new();
        if self.held.is_empty() {
            return breaks_ms;
        }
        for (_, suspect) in self.evidence.suspects() {
            if self.held_of(&suspect.parts).is_some() {
                breaks_ms.entry(suspect.engine).or_default().push(suspect.broken_ms);
            }
        }
        breaks_ms
    }

    fn hold(
        &mut self,
        part: PartKey,
        source: Source,
        until_ms: u64,
        counts: Option<(usize, usize, usize)>,
    ) {
        let (generations, engines, requests) = counts.unwrap_or_default();
        if self.held.len() >= HELD_LIMIT {
            return;
        }
        let held = Held { source, until_ms, generations, is_listed: false };
        let event =
            QuarantineEvent::Quarantined { held: self.held_part(part, &held), engines, requests };
        self.held.insert(part, held);
        self.events.push(event);
    }

    fn lift(&mut self, part: PartKey, now_ms: u64) {
        self.held.remove(&part);
        self.lifted.insert(part, now_ms);
        self.events.push(QuarantineEvent::Lifted { part });
    }

    fn held_part(&self, part: PartKey, held: &Held) -> HeldPart {
        HeldPart {
            part,
            source: held.source,
            until_ms: held.until_ms,
            scope: self.scopes.get(&part.scope).cloned(),
            generations: held.generations,
        }
    }
}

/// Returns up to `limit` of the keys: consecutive turns return consecutive ones, so that each key has
/// its turn.
fn by_turns<'a, K: Copy + Ord + 'a>(
    keys: impl Iterator<Item = &'a K>,
    turn: usize,
    limit: usize,
) -> Vec<K> {
    let mut keys: Vec<K> = keys.copied().collect();
    if keys.len() > limit {
        keys.sort_unstable();
        let first = turn.wrapping_mul(limit) % keys.len();
        keys.rotate_left(first);
        keys.truncate(limit);
    }
    keys
}
