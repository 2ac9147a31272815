//! The cost of a request at an upstream, in milliseconds of waiting.
//!
//! The cost has three parts: the base cost of the upstream (role and weights), which is the same at
//! every node; the cost of a missing shared prefix; and the cost of its load, failure domain and
//! health.

use super::ScheduleRequest;
use super::Scheduler;
use super::choose::RequestContext;
use crate::fleet::FleetEntry;
use crate::fleet::UpstreamIndex;
use crate::placement::CacheLocation;
use crate::placement::PrefixTag;

/// Prompt tokens that an engine prefills per millisecond, from the engines' data sheet.
pub(super) const PREFILL_TOKENS_PER_MS: f64 = 50.0;

/// The cost of fetching a shared prefix instead of finding it in the engine.
const FETCH_COST_MS: f64 = 60.0;

/// The cost of an upstream in another failure domain.
const DOMAIN_COST_MS: f64 = 12.0;

/// The cost of older weights.
const OLD_WEIGHTS_COST_MS: f64 = 400.0;

/// The cost of each request in excess of the upstream's slots.
const QUEUE_COST_MS: f64 = 15.0;

/// The cost of fully occupied slots; scaled by the occupied share.
const BUSY_COST_MS: f64 = 40.0;

/// The cost if all requests fail; scaled by the failure share.
const FAILURE_COST_MS: f64 = 400.0;

/// The cost of an upstream that is still slow after its start.
const WARM_UP_COST_MS: f64 = 100.0;

/// The cost of an engine for short prompts for a long prompt.
const LONG_AMONG_SHORT_COST_MS: f64 = 600.0;

/// The cost of an engine for long prompts for a short one, which concurrent long prompts slow down.
const SHORT_AMONG_LONG_COST_MS: f64 = 80.0;

impl Scheduler {
    /// Returns the cost of an upstream's role and weights.
    pub(super) fn base_cost_ms(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> f64 {
        let mut cost_ms = 0.0;
        if entry.is_warming_up(now_ms) {
            cost_ms += WARM_UP_COST_MS;
        }
        let Some(prompt) = &request.prompt else { return cost_ms };
        cost_ms += match (context.is_long, context.roles.is_short(index)) {
            (true, true) => LONG_AMONG_SHORT_COST_MS,
            (false, false) => SHORT_AMONG_LONG_COST_MS,
            _ => 0.0,
        };
        let version = entry.version_of(&prompt.model).unwrap_or_default();
        if context.prefers_newest && version < self.newest(&prompt.model) {
            cost_ms += OLD_WEIGHTS_COST_MS;
        }
        cost_ms
    }

    /// Returns the cost of a shared prefix that the upstream may lack.
    pub(super) fn prefix_cost_ms(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> f64 {
        let (Some(prompt), Some(key)) = (&request.prompt, context.affinity) else { return 0.0 };
        let scope = request.scope(entry.version_of(&prompt.model).unwrap_or_default());
        let tag = PrefixTag::new(key, &scope);
        if self.cache_index.has(tag, index, now_ms) {
            return 0.0;
        }
        if self.stored_tokens(&scope, prompt, now_ms) >= prompt.shared_tokens() {
            return FETCH_COST_MS;
        }
        match self.cache_index.location(tag, now_ms) {
            CacheLocation::Cached => FETCH_COST_MS,
            // A concurrent second prefill of the prefix costs time at both engines.
            CacheLocation::Prefilling => {
                2.0 * f64::from(prompt.shared_tokens()) / PREFILL_TOKENS_PER_MS
            }
            CacheLocation::Unknown if context.is_preferred(index) => 0.0,
            CacheLocation::Unknown => FETCH_COST_MS,
        }
    }

    /// Returns the cost of an upstream's load, failure domain and health.
    pub(super) fn load_cost_ms(&self, entry: &FleetEntry, now_ms: u64) -> f64 {
        let mut cost_ms = self.estimated_wait_ms(entry, now_ms);
        if entry.upstream.failure_domain != self.options.failure_domain {
            cost_ms += DOMAIN_COST_MS;
        }
        cost_ms + entry.health.failure_share() * FAILURE_COST_MS
    }

    /// Estimates how long a new request waits at an upstream.
    fn estimated_wait_ms(&self, entry: &FleetEntry, now_ms: u64) -> f64 {
        let (load, slots) = (entry.load(now_ms), entry.slots());
        let prefill_ms = entry.total_pending_prefill_tokens() as f64 / PREFILL_TOKENS_PER_MS;
        let queued = f64::from(load.saturating_sub(slots));
        let busy = f64::from(load) / f64::from(slots);
        prefill_ms + queued * QUEUE_COST_MS + busy * BUSY_COST_MS
    }
}
