//! The cost of a request at an upstream, in milliseconds of waiting.
//!
//! The cost has three parts: the base cost of the upstream (role and weights), which is the same at
//! every node; the time of the prompt itself, with a missing shared prefix; and the cost of its
//! load, failure domain and health. All times come from the learned model of the engines.

use super::ScheduleRequest;
use super::Scheduler;
use super::choose::RequestContext;
use crate::engine_model::PromptWork;
use crate::fleet::FleetEntry;
use crate::fleet::UpstreamIndex;
use crate::placement::CacheLocation;
use crate::placement::PrefixTag;

/// The cost of an upstream in another failure domain.
const DOMAIN_COST_MS: f64 = 12.0;

/// The cost of older weights, relative to the target of urgent requests, like the costs below.
const OLD_WEIGHTS_COST: f64 = 0.8;

/// The cost if all requests fail; scaled by the failure share.
const FAILURE_COST: f64 = 0.8;

/// The cost of an upstream that is still slow after its start.
const WARM_UP_COST: f64 = 0.2;

/// The cost of an engine for short prompts for a long prompt.
const LONG_AMONG_SHORT_COST: f64 = 1.2;

/// The cost of an engine for long prompts for a short one, which concurrent long prompts slow down.
const SHORT_AMONG_LONG_COST: f64 = 0.16;

/// The preference for a limited upstream while a request may be sent to it: only a few nodes may,
/// and would otherwise leave it idle. A limited engine has no role. Requests with a long shared
/// prefix stay where it is cached.
const LIMITED_PREFERENCE: f64 = 0.2;

/// The wait for each request in excess of the upstream's slots, relative to the time to the first
/// event without prefill.
const QUEUE_WAIT: f64 = 0.16;

/// The delay by fully occupied slots, relative to the same time; scaled by the occupied share.
const BUSY_DELAY: f64 = 0.4;

/// The time of a prompt at an idle upstream of usual speed, by what it consists of.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PromptTime {
    /// Its own tokens, until the first event.
    own_ms: f64,
    /// The prefill of a shared prefix that no upstream is known to hold.
    prefix_ms: f64,
    /// The fetch of a shared prefix, which does not depend on the engine's speed.
    pub(super) fetch_ms: f64,
    /// What it costs all to prefill the prefix here and not at the preferred upstream.
    detour_ms: f64,
}

impl PromptTime {
    /// Returns the time that depends on the engine's speed.
    pub(super) fn engine_ms(&self) -> f64 {
        self.own_ms + self.prefix_ms
    }
}

/// The cost of a request at an upstream by components, in milliseconds.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct UpstreamCost {
    /// Its role and weights.
    pub base_ms: f64,
    /// The prompt itself, with a shared prefix that it may lack.
    pub prompt_ms: f64,
    /// Its load, failure domain and health.
    pub load_ms: f64,
}

impl UpstreamCost {
    /// Returns the sum of the components.
    pub fn total_ms(&self) -> f64 {
        self.base_ms + self.prompt_ms + self.load_ms
    }
}

impl Scheduler {
    /// Returns the cost of a request at an upstream.
    pub(super) fn upstream_cost(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> UpstreamCost {
        UpstreamCost {
            base_ms: self.base_cost_ms(request, context, index, entry, now_ms),
            prompt_ms: self.prompt_cost_ms(request, context, index, entry, now_ms),
            load_ms: self.load_cost_ms(request, context, entry, now_ms),
        }
    }

    /// Returns the cost of an upstream's role and weights.
    fn base_cost_ms(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> f64 {
        let unit_ms = context.times.urgent_target_ms;
        let mut cost_ms = 0.0;
        if entry.is_warming_up(now_ms) {
            cost_ms += WARM_UP_COST * unit_ms;
        }
        if entry.signals.gate.limit().is_some() && context.affinity.is_none() {
            cost_ms -= LIMITED_PREFERENCE * unit_ms;
        }
        let Some(prompt) = &request.prompt else { return cost_ms };
        if entry.signals.gate.limit().is_none() {
            cost_ms += match (context.is_long, context.roles.is_short(index)) {
                (true, true) => LONG_AMONG_SHORT_COST * unit_ms,
                (false, false) => SHORT_AMONG_LONG_COST * unit_ms,
                _ => 0.0,
            };
        }
        let version = entry.version_of(&prompt.model).unwrap_or_default();
        if context.prefers_newest && version < self.newest(&prompt.model) {
            cost_ms += OLD_WEIGHTS_COST * unit_ms;
        }
        cost_ms
    }

    /// Returns the cost of the prompt itself at an upstream: the prefill of its own tokens, and the
    /// fetch or prefill of a shared prefix that the upstream may lack.
    fn prompt_cost_ms(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> f64 {
        let Some(time) = self.prompt_time(request, context, index, entry, now_ms) else {
            return 0.0;
        };
        let speed_factor = entry.speed.time_factor();
        // The prefill of a prefix that no engine holds is the same work everywhere: only the
        // difference by speed counts.
        let prefix_ms = time.prefix_ms * (entry.speed.class().time_factor() - 1.0);
        time.own_ms * speed_factor + time.fetch_ms + prefix_ms + time.detour_ms
    }

    /// Returns the time of the prompt itself at an upstream; `None` for a request without prompt.
    pub(super) fn prompt_time(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        index: UpstreamIndex,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> Option<PromptTime> {
        let prompt = request.prompt.as_deref()?;
        let times = &context.times;
        let shared_tokens = u64::from(prompt.shared_tokens());
        let prompt_tokens = u64::from(prompt.prompt_tokens);
        let own = PromptWork {
            unread_tokens: prompt_tokens.saturating_sub(shared_tokens),
            prompt_tokens,
        };
        let own_ms = times.curve.first_event_ms(own);
        let own = PromptTime { own_ms, ..PromptTime::default() };
        let Some(key) = context.affinity else { return Some(own) };
        let scope = request.scope(entry.version_of(&prompt.model).unwrap_or_default());
        let tag = PrefixTag::new(key, &scope);
        if self.cache_index.has(tag, index, now_ms) {
            return Some(own);
        }
        let fetch_ms = times.fetch_ms(shared_tokens);
        if self.stored_tokens(&scope, prompt, now_ms) >= prompt.shared_tokens() {
            return Some(PromptTime { fetch_ms, ..own });
        }
        let prefix_ms = times.curve.first_event_ms(request.cold_work()) - own_ms;
        let time = match self.cache_index.location(tag, now_ms) {
            CacheLocation::Cached => PromptTime { fetch_ms, ..own },
            // A concurrent second prefill of the prefix costs time at both engines.
            CacheLocation::Prefilling => PromptTime {
                prefix_ms,
                detour_ms: 2.0 * times.curve.queue_ms(shared_tokens),
                ..own
            },
            CacheLocation::Unknown if context.is_preferred(index) => {
                PromptTime { prefix_ms, ..own }
            }
            CacheLocation::Unknown => PromptTime { prefix_ms, detour_ms: fetch_ms, ..own },
        };
        Some(time)
    }

    /// Returns the cost of an upstream's load, failure domain and health.
    fn load_cost_ms(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        entry: &FleetEntry,
        now_ms: u64,
    ) -> f64 {
        let mut cost_ms = estimated_wait_ms(context, entry, now_ms);
        let origin = request.origin_domain.as_ref().unwrap_or(&self.options.failure_domain);
        if entry.upstream.failure_domain != *origin {
            cost_ms += DOMAIN_COST_MS;
        }
        cost_ms + entry.health.failure_share() * FAILURE_COST * context.times.urgent_target_ms
    }
}

/// Estimates how long a new request waits at an upstream.
fn estimated_wait_ms(context: &RequestContext, entry: &FleetEntry, now_ms: u64) -> f64 {
    let (load, slots) = (entry.load(now_ms), entry.slots());
    let queued = f64::from(load.saturating_sub(slots));
    let busy = f64::from(load) / f64::from(slots);
    let base_ms = context.times.curve.base_ms;
    pending_prefill_ms(context, entry) + (queued * QUEUE_WAIT + busy * BUSY_DELAY) * base_ms
}

/// Returns the time that an upstream needs to prefill the prompts that it has, in milliseconds.
pub(super) fn pending_prefill_ms(context: &RequestContext, entry: &FleetEntry) -> f64 {
    let queue_ms = context.times.curve.queue_ms(entry.total_pending_prefill_tokens());
    queue_ms * entry.speed.time_factor()
}
