//! Continuous batching.
//!
//! A step gives free slots to waiting jobs by priority, then computes a bounded number of missing
//! prompt tokens and one token for each job whose prompt is computed. The caller waits as long as
//! the step takes and then ends it.
//!
//! Invariants: at most `slots` jobs run; a job either waits or runs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::engine::Job;
use crate::engine::JobId;
use crate::engine::Pace;
use crate::engine::PrefixCache;
use crate::engine::Totals;
use crate::engine::blocks::BLOCK_TOKENS;
use crate::engine::job::Running;
use crate::engine::job::Step;

/// A token that a step generated.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Produced {
    /// The job.
    pub id: JobId,
    /// The tokens generated so far.
    pub generated_tokens: u32,
    /// The prompt tokens that came from the cache.
    pub cached_tokens: u32,
}

/// The jobs of an engine.
#[derive(Debug)]
pub struct Batch {
    pace: Pace,
    waiting: BTreeMap<(i32, JobId), Job>,
    running: Vec<Running>,
    totals: Totals,
}

impl Batch {
    /// Makes an empty batch.
    pub fn new(pace: Pace) -> Self {
        Self { pace, waiting: BTreeMap::new(), running: Vec::new(), totals: Totals::default() }
    }

    /// Returns how many jobs run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns how many jobs wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the prompt tokens that wait to be computed, as far as they are not known as cached.
    pub fn waiting_tokens(&self) -> u64 {
        let waiting = self.waiting.values().map(|job| u64::from(job.prompt_tokens));
        let running = self.running.iter().map(|running| u64::from(running.missing_tokens()));
        waiting.chain(running).sum()
    }

    /// Returns whether nothing is to be done.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.running.is_empty()
    }

    /// Returns what was done so far.
    pub fn totals(&self) -> Totals {
        self.totals
    }

    /// Adds a job.
    pub fn submit(&mut self, job: Job) {
        self.totals.requests += 1;
        self.waiting.insert((job.priority, job.id), job);
    }

    /// Removes a job.
    pub fn cancel(&mut self, id: JobId) {
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|(_, waiting), _| *waiting != id);
        self.running.retain(|running| running.job.id != id);
        self.totals.cancelled += (before - self.waiting.len() - self.running.len()) as u64;
    }

    /// Forgets all jobs.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.running.clear();
    }

    /// Begins a step and returns how long it takes.
    pub fn begin_step(&mut self, cache: &mut PrefixCache) -> Duration {
        self.fill_slots(cache);
        let generating = self.running.iter().filter(|running| running.is_prefilled()).count();
        let prefill = self.plan_prefill();
        self.decode_time(generating) + prefill
    }

    fn fill_slots(&mut self, cache: &mut PrefixCache) {
        while self.running.len() < self.pace.slots {
            let Some((_, job)) = self.waiting.pop_first() else { return };
            let held = cache.lookup(&job.blocks) * BLOCK_TOKENS as usize;
            // The last token is always computed, since it gives the first generated one.
            let most_cached = job.prompt_tokens.saturating_sub(1);
            let cached_tokens = u32::try_from(held).unwrap_or(u32::MAX).min(most_cached);
            let importable = job.importable_tokens.min(most_cached);
            let to_import_tokens = importable.saturating_sub(cached_tokens);
            let to_compute_tokens = job.prompt_tokens - cached_tokens - to_import_tokens;
            self.totals.prompt_tokens += u64::from(job.prompt_tokens);
            self.totals.cached_tokens += u64::from(cached_tokens);
            self.running.push(Running {
                job,
                cached_tokens,
                to_import_tokens,
                to_compute_tokens,
                generated_tokens: 0,
                step: Step::default(),
            });
        }
    }

    fn decode_time(&self, generating: usize) -> Duration {
        if generating == 0 {
            return Duration::ZERO;
        }
        let share = (generating - 1) as f64 / self.pace.slots.max(1) as f64;
        let slowdown = 1.0 + share * f64::from(self.pace.full_batch_slowdown_percent) / 100.0;
        Duration::from_micros(u64::from(self.pace.decode_us)).mul_f64(slowdown)
    }

    /// Shares the step's prompt tokens out by priority and returns the time they take.
    fn plan_prefill(&mut self) -> Duration {
        let mut left = self.pace.prefill_step_tokens;
        let mut time = Duration::ZERO;
        self.running.sort_by_key(|running| (running.job.priority, running.job.id));
        for running in self.running.iter_mut().filter(|running| !running.is_prefilled()) {
            let imported_tokens = running.to_import_tokens;
            let computed_tokens = running.to_compute_tokens.min(left);
            left -= computed_tokens;
            running.step = Step { imported_tokens, computed_tokens };
            time += time_at(imported_tokens, self.pace.import_tokens_per_s);
            time += time_at(computed_tokens, self.pace.prefill_tokens_per_s);
        }
        time
    }

    /// Ends the step: appends the generated tokens to `produced` and stores the computed blocks.
    pub fn end_step(&mut self, cache: &mut PrefixCache, produced: &mut Vec<Produced>) {
        for running in &mut self.running {
            let Step { imported_tokens, computed_tokens } = std::mem::take(&mut running.step);
            if imported_tokens + computed_tokens > 0 {
                running.to_import_tokens -= imported_tokens;
                running.to_compute_tokens -= computed_tokens;
                running.cached_tokens += imported_tokens;
                store_computed(running, cache);
                self.totals.imported_tokens += u64::from(imported_tokens);
                self.totals.computed_tokens += u64::from(computed_tokens);
            }
            if !running.is_prefilled() {
                continue;
            }
            running.generated_tokens += 1;
            self.totals.generated_tokens += 1;
            produced.push(Produced {
                id: running.job.id,
                generated_tokens: running.generated_tokens,
                cached_tokens: running.cached_tokens,
            });
        }
        self.running.retain(|running| !running.is_finished());
    }

    /// Checks the invariants.
    pub fn verify(&self) {
        assert!(self.running.len() <= self.pace.slots, "slots are bounded");
        for running in &self.running {
            let key = (running.job.priority, running.job.id);
            assert!(!self.waiting.contains_key(&key), "a running job does not wait");
        }
    }
}

fn time_at(tokens: u32, tokens_per_s: u32) -> Duration {
    Duration::from_secs_f64(f64::from(tokens) / f64::from(tokens_per_s.max(1)))
}

fn store_computed(running: &Running, cache: &mut PrefixCache) {
    let computed = running.job.prompt_tokens - running.missing_tokens();
    let blocks = ((computed / BLOCK_TOKENS) as usize).min(running.job.blocks.len());
    cache.store(&running.job.blocks[..blocks]);
}
