//! The state of an engine, shared by its connections and its tasks.

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
use crate::engine::ChatRequest;
use crate::engine::EngineOptions;
use crate::engine::Job;
use crate::engine::JobId;
use crate::engine::PrefixCache;
use crate::engine::Produced;
use crate::engine::Totals;
use crate::engine::blocks::BLOCK_TOKENS;
use crate::engine::blocks::BlockHash;
use crate::engine::blocks::Prompt;
use crate::engine::blocks::cut_prompt;
use crate::engine::cache_events::CacheEvent;
use crate::engine::cache_events::CacheEvents;
use crate::engine::orders::Fence;
use crate::engine::orders::Fenced;
use crate::engine::orders::LoadOrder;
use crate::engine::orders::RoleOrder;
use crate::engine::stream_log::StreamHead;
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

    /// Takes a request into the batch.
    pub async fn submit(
        &self,
        request_id: &str,
        request: &ChatRequest,
    ) -> Result<Arc<StreamLog>, Refusal> {
        let weights = self.identity().1;
        let prompt = cut_prompt(&request.cache_salt, &request.model, &weights, &request.messages);
        let importable_blocks = match request.import_from() {
            Some(store) => self.transfer.held(store, &prompt.blocks).await,
            None => 0,
        };
        self.admit(request_id, request, prompt, importable_blocks)
    }

    fn admit(
        &self,
        request_id: &str,
        request: &ChatRequest,
        prompt: Prompt,
        importable_blocks: usize,
    ) -> Result<Arc<StreamLog>, Refusal> {
        if request.messages.is_empty() {
            return Err(Refusal::Empty);
        }
        if request.model != self.options.model {
            return Err(Refusal::UnknownModel);
        }
        let (generate_tokens, is_limited) = request.tokens_to_generate(self.options.answer_tokens);
        let mut state = self.lock();
        if state.is_leaving {
            return Err(Refusal::Leaving);
        }
        if state.is_loading {
            return Err(Refusal::Loading);
        }
        let head = StreamHead {
            request_id: request_id.to_owned(),
            model: request.model.clone(),
            weights_version: state.weights_version.clone(),
            owner: request.owner(),
            first_token: request.delivered_tokens(),
            generate_tokens,
            is_limited,
            prompt_tokens: prompt.tokens,
        };
        let id = JobId(state.next_job);
        state.next_job += 1;
        let job = Job {
            id,
            priority: request.priority,
            prompt_tokens: head.prompt_tokens,
            blocks: prompt.blocks,
            generate_tokens,
            importable_tokens: importable_blocks as u32 * BLOCK_TOKENS,
        };
        let log = Arc::new(StreamLog::new(id, head));
        state.forget(request_id);
        state.streams.insert(request_id.to_owned(), log.clone());
        // An answer of no tokens is complete as it stands.
        if generate_tokens > 0 {
            state.request_of.insert(id, log.clone());
            if self.options.export_to.is_some() {
                state.to_export.insert(id, job.blocks.clone());
            }
            state.batch.submit(job);
            self.work.notify_one();
        }
        Ok(log)
    }

    /// Returns the log of a request that is still held.
    pub fn stream(&self, request_id: &str) -> Option<Arc<StreamLog>> {
        self.lock().streams.get(request_id).cloned()
    }

    /// Cancels a request. Returns whether it was held.
    pub fn cancel(&self, request_id: &str) -> bool {
        self.lock().forget(request_id)
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

    /// Forgets the streams that nobody has read for longer than the resume window.
    pub fn forget_unread(&self) {
        let window = Duration::from_millis(self.options.resume_window_ms);
        let now = Instant::now();
        let mut state = self.lock();
        let is_old = |log: &StreamLog| log.unread_since().is_some_and(|at| now - at >= window);
        let streams = state.streams.iter().filter(|(_, log)| is_old(log));
        let old: Vec<String> = streams.map(|(id, _)| id.clone()).collect();
        for request_id in old {
            state.forget(&request_id);
        }
    }

    /// Makes the present load the one that is reported.
    pub fn publish_load(&self) {
        let mut state = self.lock();
        state.reported = state.load();
    }

    /// Returns the load as reported, which lags.
    pub fn reported_load(&self) -> LoadReport {
        let state = self.lock();
        if self.options.load_lag_ms == 0 { state.load() } else { state.reported.clone() }
    }

    /// Returns the incarnation and the cache events after a number.
    pub fn cache_events(&self, after: u64) -> (String, Vec<CacheEvent>) {
        let state = self.lock();
        (format!("{:016x}", state.incarnation), state.events.after(after, Instant::now()))
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

    /// Admits an order to load weights.
    pub fn admit_load(&self, order: &LoadOrder) -> Result<(), Fenced> {
        let mut state = self.lock();
        state.fence.admit(self.options.fencing, order.fencing_number)?;
        if order.weights_version != state.weights_version {
            state.is_loading = true;
        }
        Ok(())
    }

    /// Loads weights that were admitted; the cache of the older ones is dropped.
    pub async fn load_weights(&self, weights_version: &str) {
        if !self.lock().is_loading {
            return;
        }
        self.options.weight_loader.load().await;
        let mut state = self.lock();
        state.weights_version = weights_version.to_owned();
        state.is_loading = false;
        state.cache.clear();
        let State { events, cache, .. } = &mut *state;
        events.record(Instant::now(), cache.take_changes());
    }

    /// Carries out an order to change role.
    pub fn change_role(&self, order: RoleOrder) -> Result<(), Fenced> {
        let mut state = self.lock();
        state.fence.admit(self.options.fencing, order.fencing_number)?;
        state.role = order.role;
        Ok(())
    }

    /// Returns the totals over all incarnations.
    pub fn totals(&self) -> Totals {
        let state = self.lock();
        add(state.past_totals, state.batch.totals())
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
