//! An engine with continuous batching, as in the data sheets of deployments.
//!
//! A step generates a token for each running request and prefills a chunk of the prompts in front.
//! Running requests and cached prefixes share the memory; unused prefixes are evicted, the least
//! recently used first. More urgent requests are admitted first and preempt others.

use std::collections::HashMap;
use std::collections::HashSet;

/// The data sheet of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSheet {
    pub slots: usize,
    pub queue_limit: usize,
    pub memory_tokens: u64,
    pub step_ms: f64,
    pub step_ms_per_slot: f64,
    pub prefill_tokens_per_ms: f64,
    pub chunk_tokens: u64,
    /// From the admission of a request to its prefill.
    pub setup_ms: f64,
    /// The fetch of a thousand tokens from another engine.
    pub fetch_ms_per_1k_tokens: f64,
    pub load_weights_ms: f64,
    pub tokens_per_event: u64,
}

/// The engines of a deployment with many engines of few slots.
pub const GROWN_SITE_SHEET: EngineSheet = EngineSheet {
    slots: 16,
    queue_limit: 48,
    memory_tokens: 162_694,
    step_ms: 6.45,
    step_ms_per_slot: 0.0967,
    prefill_tokens_per_ms: 56.1,
    chunk_tokens: 4_096,
    setup_ms: 75.0,
    fetch_ms_per_1k_tokens: 1.5,
    load_weights_ms: 2_500.0,
    tokens_per_event: 5,
};

/// A request at an engine.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: u64,
    pub urgency: u8,
    /// Identifies the shared prefix within its scope; `None` if it is too short to cache.
    pub prefix: Option<u64>,
    pub prefix_tokens: u64,
    pub own_tokens: u64,
    pub output_tokens: u64,
    /// When a fetch of the prefix ends, if it is fetched.
    pub fetched_ms: Option<f64>,
    pub progress: Progress,
}

#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    sequence: u64,
    ready_ms: f64,
    unread_prefix_tokens: u64,
    unread_own_tokens: u64,
    produced_tokens: u64,
}

impl Run {
    pub fn new(urgency: u8, prefix: Option<u64>, tokens: [u64; 3]) -> Self {
        let [prefix_tokens, own_tokens, output_tokens] = tokens;
        Self {
            id: 0,
            urgency,
            prefix,
            prefix_tokens,
            own_tokens,
            output_tokens,
            fetched_ms: None,
            progress: Progress::default(),
        }
    }

    fn first_event_tokens(&self, tokens_per_event: u64) -> u64 {
        tokens_per_event.min(self.output_tokens).max(1)
    }

    fn unread_tokens(&self) -> u64 {
        self.progress.unread_prefix_tokens + self.progress.unread_own_tokens
    }

    fn private_tokens(&self, cached: &HashMap<u64, Cached>) -> u64 {
        let is_shared = self.prefix.is_some_and(|prefix| cached.contains_key(&prefix));
        let prefix_tokens = if is_shared { 0 } else { self.prefix_tokens };
        prefix_tokens + self.own_tokens + self.output_tokens
    }
}

#[derive(Clone, Copy, Debug)]
struct Cached {
    tokens: u64,
    used_ms: f64,
}

/// What happened to a request at an engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EngineEvent {
    FirstEvent(u64),
    Ended(u64),
    /// A request that had not started was rejected.
    Rejected(u64),
}

/// A step of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub begin_ms: f64,
    pub step_ms: f64,
    /// The part of it that is prefill.
    pub prefill_ms: f64,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub steps: Vec<Step>,
    pub sheet: EngineSheet,
    /// How long its steps and prefill take, relative to the sheet of the deployment.
    pub time_factor: f64,
    pub version: u64,
    /// Whether it does not respond at all.
    pub is_dark: bool,
    pub running: Vec<Run>,
    pub waiting: Vec<Run>,
    cached: HashMap<u64, Cached>,
    step_ends_ms: Option<f64>,
    next_sequence: u64,
    // The version that it loads, and when it has it; the time is set once it is idle.
    loading: Option<(u64, Option<f64>)>,
    pub preempted: u64,
}

impl Engine {
    pub fn new(sheet: EngineSheet) -> Self {
        Self {
            steps: Vec::new(),
            sheet,
            time_factor: 1.0,
            version: 1,
            is_dark: false,
            running: Vec::new(),
            waiting: Vec::new(),
            cached: HashMap::new(),
            step_ends_ms: None,
            next_sequence: 0,
            loading: None,
            preempted: 0,
        }
    }

    /// Creates an engine whose steps and prefill take `time_factor` times as long as on the sheet.
    pub fn with_time_factor(sheet: EngineSheet, time_factor: f64) -> Self {
        let sheet = EngineSheet {
            step_ms: sheet.step_ms * time_factor,
            step_ms_per_slot: sheet.step_ms_per_slot * time_factor,
            prefill_tokens_per_ms: sheet.prefill_tokens_per_ms / time_factor,
            setup_ms: sheet.setup_ms * time_factor,
            ..sheet
        };
        Self { time_factor, ..Self::new(sheet) }
    }

    pub fn load(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    pub fn is_loading(&self) -> bool {
        self.loading.is_some()
    }

    pub fn holds(&self, prefix: u64) -> bool {
        self.cached.contains_key(&prefix)
    }

    /// Loads new weights as soon as the running requests end.
    pub fn load_weights(&mut self, version: u64) {
        if self.loading.is_none() && self.version < version {
            self.loading = Some((version, None));
        }
    }

    /// Offers a request. Returns whether it is accepted.
    pub fn offer(&mut self, mut run: Run, now_ms: f64) -> bool {
        if self.loading.is_some() || self.waiting.len() >= self.sheet.queue_limit {
            return false;
        }
        run.progress.sequence = self.next_sequence;
        self.next_sequence += 1;
        self.waiting.push(run);
        if self.step_ends_ms.is_none() {
            self.start_step(now_ms);
        }
        true
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, id: u64) {
        self.running.retain(|run| run.id != id);
        self.waiting.retain(|run| run.id != id);
    }

    /// Runs all steps that end until `now_ms`.
    pub fn advance(&mut self, now_ms: f64, events: &mut Vec<EngineEvent>) {
        if self.is_dark {
            return;
        }
        self.advance_loading(now_ms, events);
        while let Some(ends_ms) = self.step_ends_ms.filter(|ends_ms| *ends_ms <= now_ms) {
            self.end_step(ends_ms, events);
            self.start_step(ends_ms);
        }
    }

    fn advance_loading(&mut self, now_ms: f64, events: &mut Vec<EngineEvent>) {
        let Some((version, loaded_ms)) = self.loading else { return };
        events.extend(self.waiting.drain(..).map(|run| EngineEvent::Rejected(run.id)));
        match loaded_ms {
            Some(loaded_ms) if now_ms >= loaded_ms => {
                self.version = version;
                self.cached.clear();
                self.loading = None;
            }
            None if self.running.is_empty() => {
                self.loading = Some((version, Some(now_ms + self.sheet.load_weights_ms)));
            }
            _ => {}
        }
    }

    fn end_step(&mut self, now_ms: f64, events: &mut Vec<EngineEvent>) {
        let (stride, mut budget) = (self.sheet.tokens_per_event, self.sheet.chunk_tokens);
        let mut finished_prefixes = Vec::new();
        self.running.sort_by_key(|run| (run.urgency, run.progress.sequence));
        for run in &mut self.running {
            if run.progress.ready_ms > now_ms {
                continue;
            }
            if run.unread_tokens() == 0 {
                run.progress.produced_tokens += 1;
                if run.progress.produced_tokens == run.first_event_tokens(stride) {
                    events.push(EngineEvent::FirstEvent(run.id));
                }
                continue;
            }
            let prefix_tokens = run.progress.unread_prefix_tokens.min(budget);
            run.progress.unread_prefix_tokens -= prefix_tokens;
            budget -= prefix_tokens;
            let own_tokens = run.progress.unread_own_tokens.min(budget);
            run.progress.unread_own_tokens -= own_tokens;
            budget -= own_tokens;
            if prefix_tokens > 0 && run.progress.unread_prefix_tokens == 0 {
                finished_prefixes.extend(run.prefix.map(|prefix| (prefix, run.prefix_tokens)));
            }
            if run.unread_tokens() == 0 {
                run.progress.produced_tokens = 1;
                if run.first_event_tokens(stride) == 1 {
                    events.push(EngineEvent::FirstEvent(run.id));
                }
            }
        }
        for (prefix, tokens) in finished_prefixes {
            self.cached.insert(prefix, Cached { tokens, used_ms: now_ms });
        }
        let ended = |run: &Run| run.progress.produced_tokens >= run.output_tokens.max(1);
        for run in self.running.iter().filter(|run| ended(run)) {
            events.push(EngineEvent::Ended(run.id));
            if let Some(cached) = run.prefix.and_then(|prefix| self.cached.get_mut(&prefix)) {
                cached.used_ms = now_ms;
            }
        }
        self.running.retain(|run| !ended(run));
    }

    fn start_step(&mut self, now_ms: f64) {
        self.admit(now_ms);
        if self.running.is_empty() {
            self.step_ends_ms = None;
            return;
        }
        let ready = self.running.iter().filter(|run| run.progress.ready_ms <= now_ms);
        let unread: u64 = ready.map(Run::unread_tokens).sum();
        let prefill_ms =
            unread.min(self.sheet.chunk_tokens) as f64 / self.sheet.prefill_tokens_per_ms;
        let slots_ms = self.sheet.step_ms_per_slot * self.running.len() as f64;
        let step_ms = self.sheet.step_ms + slots_ms + prefill_ms;
        self.steps.push(Step { begin_ms: now_ms, step_ms, prefill_ms });
        self.step_ends_ms = Some(now_ms + step_ms);
    }

    fn admit(&mut self, now_ms: f64) {
        self.waiting.sort_by_key(|run| (run.urgency, run.progress.sequence));
        let mut next = 0;
        while next < self.waiting.len() {
            let run = &self.waiting[next];
            if self.running.len() >= self.sheet.slots && !self.preempt(run.urgency) {
                return;
            }
            let run = &self.waiting[next];
            if !self.make_room(run.private_tokens(&self.cached), run.prefix) {
                next += 1;
                continue;
            }
            let mut run = self.waiting.remove(next);
            run.progress.ready_ms = now_ms + self.sheet.setup_ms;
            run.progress.unread_own_tokens = run.own_tokens;
            run.progress.produced_tokens = 0;
            let cached = run.prefix.and_then(|prefix| self.cached.get_mut(&prefix));
            run.progress.unread_prefix_tokens = match cached {
                Some(cached) => {
                    cached.used_ms = now_ms;
                    0
                }
                None => match run.fetched_ms {
                    Some(fetched_ms) => {
                        run.progress.ready_ms = run.progress.ready_ms.max(fetched_ms);
                        if let Some(prefix) = run.prefix {
                            let tokens = run.prefix_tokens;
                            self.cached.insert(prefix, Cached { tokens, used_ms: now_ms });
                        }
                        0
                    }
                    None => run.prefix_tokens,
                },
            };
            self.running.push(run);
        }
    }

    /// Preempts the newest of the least urgent requests. Returns whether there is a less urgent one.
    fn preempt(&mut self, urgency: u8) -> bool {
        let victims = self.running.iter().enumerate().filter(|(_, run)| run.urgency > urgency);
        let Some((index, _)) = victims.max_by_key(|(_, run)| (run.urgency, run.progress.sequence))
        else {
            return false;
        };
        let victim = self.running.remove(index);
        self.preempted += 1;
        self.waiting.push(victim);
        self.waiting.sort_by_key(|run| (run.urgency, run.progress.sequence));
        true
    }

    /// Evicts unused prefixes until `tokens` fit. Returns whether they do.
    fn make_room(&mut self, tokens: u64, keep: Option<u64>) -> bool {
        let mut in_use: HashSet<u64> = self.running.iter().filter_map(|run| run.prefix).collect();
        in_use.extend(keep);
        let private: u64 = self.running.iter().map(|run| run.private_tokens(&self.cached)).sum();
        let mut cached: u64 = self.cached.values().map(|cached| cached.tokens).sum();
        while private + cached + tokens > self.sheet.memory_tokens {
            let unused = self.cached.iter().filter(|(prefix, _)| !in_use.contains(prefix));
            let oldest =
                unused.min_by(|(_, one), (_, other)| one.used_ms.total_cmp(&other.used_ms));
            let Some((&prefix, _)) = oldest else { return false };
            cached -= self.cached.remove(&prefix).map_or(0, |evicted| evicted.tokens);
        }
        true
    }
}
