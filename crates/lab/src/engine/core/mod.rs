//! The state of an engine, shared by its connections and its tasks.
//!
//! Invariants: a stream of `request_of` is one of `streams` and has a job in the batch; a crash
//! replaces everything but the weights, the numbers of jobs and the totals.

mod orders;
mod reports;
mod requests;

use std::collections::HashMap;
use std::hash::BuildHasher;
use std::hash::Hasher;
use std::hash::RandomState;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::engine::Batch;
use crate::engine::EngineOptions;
use crate::engine::JobId;
use crate::engine::PrefixCache;
use crate::engine::Produced;
use crate::engine::Totals;
use crate::engine::blocks::BlockHash;
use crate::engine::cache_events::CacheEvents;
use crate::engine::orders::Fence;
use crate::engine::stream_log::StreamLog;
use crate::engine::transfer::Transfer;
use crate::faults::FaultPlan;
use crate::net::Connections;

/// What `/load` shows.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct LoadReport {
    pub incarnation: String,
    pub weights_version: String,
    pub running: usize,
    pub waiting: usize,
    pub waiting_tokens: u64,
    pub cached_blocks: usize,
    pub leaving: bool,
}

/// Why a request is not taken.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Refusal {
    /// The engine is leaving.
    Leaving,
    /// The engine loads weights.
    Loading,
    /// The engine serves another model.
    UnknownModel,
    /// The conversation is empty.
    Empty,
}

#[derive(Debug)]
struct State {
    incarnation: u64,
    weights_version: String,
    role: String,
    is_leaving: bool,
    is_loading: bool,
    away_until: Option<Instant>,
    fence: Fence,
    batch: Batch,
    cache: PrefixCache,
    events: CacheEvents,
    streams: HashMap<String, Arc<StreamLog>>,
    request_of: HashMap<JobId, Arc<StreamLog>>,
    // The chains of prompts that are exported at their first token.
    to_export: HashMap<JobId, Vec<BlockHash>>,
    next_job: u64,
    reported: LoadReport,
    past_totals: Totals,
}

/// The engine behind its HTTP interface.
#[derive(Debug)]
pub struct Core {
    pub options: EngineOptions,
    pub faults: Arc<FaultPlan>,
    pub connections: Connections,
    pub work: Notify,
    pub transfer: Transfer,
    state: Mutex<State>,
}

impl State {
    fn new(options: &EngineOptions) -> Self {
        Self {
            incarnation: new_incarnation(),
            weights_version: options.weights_version.clone(),
            role: "general".to_owned(),
            is_leaving: false,
            is_loading: false,
            away_until: None,
            fence: Fence::default(),
            batch: Batch::new(options.pace),
            cache: PrefixCache::new(options.cache_blocks_limit),
            events: CacheEvents::new(options.events_lag_ms, options.events_gap_every),
            streams: HashMap::new(),
            request_of: HashMap::new(),
            to_export: HashMap::new(),
            next_job: 0,
            reported: LoadReport::default(),
            past_totals: Totals::default(),
        }
    }

    fn load(&self) -> LoadReport {
        LoadReport {
            incarnation: format!("{:016x}", self.incarnation),
            weights_version: self.weights_version.clone(),
            running: self.batch.running(),
            waiting: self.batch.waiting(),
            waiting_tokens: self.batch.waiting_tokens(),
            cached_blocks: self.cache.len(),
            leaving: self.is_leaving,
        }
    }

    fn forget(&mut self, request_id: &str) -> bool {
        let Some(log) = self.streams.remove(request_id) else { return false };
        self.batch.cancel(log.job);
        self.request_of.remove(&log.job);
        self.to_export.remove(&log.job);
        log.set_gone();
        true
    }
}

impl Core {
    pub fn new(options: EngineOptions, connections: Connections, transfer: Transfer) -> Self {
        let mut state = State::new(&options);
        state.reported = state.load();
        Self {
            faults: options.faults.clone(),
            options,
            connections,
            work: Notify::new(),
            transfer,
            state: Mutex::new(state),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// Returns the incarnation and the weights version, as reply headers show them.
    pub fn identity(&self) -> (String, String) {
        let state = self.lock();
        (format!("{:016x}", state.incarnation), state.weights_version.clone())
    }

    /// Begins a step, if there is work, and returns its time.
    pub fn begin_step(&self) -> Option<Duration> {
        let mut state = self.lock();
        let State { batch, cache, .. } = &mut *state;
        (!batch.is_idle()).then(|| batch.begin_step(cache))
    }

    /// Ends a step and hands its tokens to the streams. `produced` is scratch memory.
    pub fn end_step(&self, produced: &mut Vec<Produced>) {
        produced.clear();
        let mut state = self.lock();
        let State { batch, cache, events, request_of, to_export, .. } = &mut *state;
        batch.end_step(cache, produced);
        events.record(Instant::now(), cache.take_changes());
        for token in produced {
            if let Some(chain) = to_export.remove(&token.id) {
                self.transfer.export(&chain);
            }
            let Some(log) = request_of.get(&token.id) else { continue };
            log.advance(token.generated_tokens, token.cached_tokens);
            if log.is_finished() {
                request_of.remove(&token.id);
            }
        }
    }

    /// Sets whether the engine is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().is_leaving = leaving;
    }

    /// Crashes: all connections, streams and cached blocks are lost. Connections are refused until
    /// the time has passed; then the engine is back under a new incarnation.
    pub fn crash(&self, away_ms: u64) {
        let mut state = self.lock();
        for log in state.streams.values() {
            log.set_gone();
        }
        let totals = add(state.past_totals, state.batch.totals());
        let kept = (state.weights_version.clone(), state.next_job, state.is_leaving);
        *state = State::new(&self.options);
        (state.weights_version, state.next_job, state.is_leaving) = kept;
        state.past_totals = totals;
        state.away_until = Some(Instant::now() + Duration::from_millis(away_ms));
        state.reported = state.load();
        drop(state);
        self.connections.close_all();
    }

    /// Returns whether the engine is away after a crash.
    pub fn is_away(&self) -> bool {
        self.lock().away_until.is_some_and(|until| Instant::now() < until)
    }
}

/// Returns a number that no other start has; the standard library's hash keys are random.
fn new_incarnation() -> u64 {
    RandomState::new().build_hasher().finish()
}

fn add(a: Totals, b: Totals) -> Totals {
    Totals {
        requests: a.requests + b.requests,
        cancelled: a.cancelled + b.cancelled,
        prompt_tokens: a.prompt_tokens + b.prompt_tokens,
        cached_tokens: a.cached_tokens + b.cached_tokens,
        imported_tokens: a.imported_tokens + b.imported_tokens,
        computed_tokens: a.computed_tokens + b.computed_tokens,
        generated_tokens: a.generated_tokens + b.generated_tokens,
    }
}
