//! The explanation of a decision that is not made.
//!
//! It uses the functions of the decision itself on a copy of the scheduler, so it changes no state,
//! and the random numbers that it draws are those that the next decision draws.

use std::net::SocketAddr;

use super::Choice;
use super::Ineligibility;
use super::ScheduleRequest;
use super::Scheduler;
use super::UpstreamCost;
use super::choose::RequestContext;
use super::cost::pending_prefill_ms;
use super::shortage::CapacityLimit;
use crate::fleet::FleetEntry;
use crate::fleet::UpstreamIndex;
use crate::placement::PrefixTag;
use redwingrill_routing::WeightsVersion;

/// Where a request would go, and why.
#[derive(Clone, Debug)]
pub struct Explanation {
    /// Whether the prompt counts as long.
    pub is_long: bool,
    /// Whether the request can no longer meet its target, and gets only half of the limits.
    pub is_late: bool,
    /// Whether the request belongs to the share that the engines with the newest weights serve.
    pub prefers_newest: bool,
    /// The range of the random cost that is added to that of each candidate.
    pub noise_ms: f64,
    /// All upstreams of the service.
    pub upstreams: Vec<UpstreamExplanation>,
    /// The decision that would be made.
    pub choice: Choice,
    /// The requests that wait for the same capacity; `None` without a queue.
    pub queue: Option<QueueExplanation>,
}

/// One upstream from the point of view of a request.
#[derive(Clone, Debug)]
pub struct UpstreamExplanation {
    /// The upstream at this node.
    pub index: UpstreamIndex,
    /// The identity.
    pub id: String,
    /// The address.
    pub address: SocketAddr,
    /// The failure domain.
    pub failure_domain: String,
    /// The newest known version of the weights.
    pub version: Option<WeightsVersion>,
    /// Running and queued requests.
    pub load: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// The time that it needs to prefill the prompts that it has, in milliseconds.
    pub pending_prefill_ms: f64,
    /// The tokens that its requests reserve.
    pub reserved_tokens: u64,
    /// How much slower than the usual engine it is.
    pub time_factor: f64,
    /// Whether it is reserved for short prompts.
    pub is_for_short: bool,
    /// Whether it is the preferred engine for the prefix of the prompt.
    pub is_preferred: bool,
    /// Whether it is known to hold the prefix of the prompt.
    pub has_prefix: bool,
    /// Whether the request may go there.
    pub standing: Standing,
}

/// Whether a request may go to an upstream, and at what cost.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Standing {
    /// The upstream may not serve the request.
    Ineligible(Ineligibility),
    /// A limit of the upstream is exhausted.
    Full(CapacityLimit),
    /// It has capacity.
    Candidate {
        /// The cost of the request there.
        cost: UpstreamCost,
        /// Whether the decision compares it: it is neither paced nor left out of the random sample.
        is_compared: bool,
    },
}

/// The queue that a request would meet.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueueExplanation {
    /// Requests of its class that wait.
    pub waiting: usize,
    /// How many may wait.
    pub limit: usize,
    /// The minimum wait by the rate at which they leave, in milliseconds; `None` without any.
    pub expected_wait_ms: Option<u64>,
    /// How long the request may wait from its arrival, in milliseconds.
    pub wait_limit_ms: u64,
}

impl Scheduler {
    /// Explains the decision on a request; `is_late` states whether it can no longer meet its
    /// target.
    pub fn explain(&self, request: &ScheduleRequest, is_late: bool, now_ms: u64) -> Explanation {
        self.clone().into_explanation(request, is_late, now_ms)
    }

    fn into_explanation(
        mut self,
        request: &ScheduleRequest,
        is_late: bool,
        now_ms: u64,
    ) -> Explanation {
        let refusal = self.refuse_quarantined(request, now_ms);
        let context = self.context(request, is_late, now_ms);
        let is_strict = self.has_healthy(request, &context, now_ms);
        let entries = self.fleet.of_service(&request.service);
        let mut upstreams: Vec<_> = entries
            .map(|(index, entry)| {
                let standing = self.standing(index, entry, request, &context, is_strict, now_ms);
                self.explain_upstream(index, entry, request, &context, standing, now_ms)
            })
            .collect();
        upstreams.sort_by(|one, other| one.id.cmp(&other.id));
        let choice = match refusal {
            Some(refusal) => refusal,
            None => {
                let choice = self.choose_in_context(request, &context, now_ms);
                for upstream in &mut upstreams {
                    if let Standing::Candidate { is_compared, .. } = &mut upstream.standing {
                        *is_compared = self.has_compared(upstream.index);
                    }
                }
                choice
            }
        };
        Explanation {
            is_long: context.is_long,
            is_late,
            prefers_newest: context.prefers_newest,
            noise_ms: self.noise_ms(),
            upstreams,
            choice,
            queue: None,
        }
    }

    /// Returns whether an upstream is eligible by its health, too; otherwise health does not count.
    fn has_healthy(
        &self,
        request: &ScheduleRequest,
        context: &RequestContext,
        now_ms: u64,
    ) -> bool {
        self.fleet.of_service(&request.service).any(|(index, entry)| {
            self.ineligibility(index, entry, request, context, true, now_ms).is_none()
        })
    }

    fn standing(
        &self,
        index: UpstreamIndex,
        entry: &FleetEntry,
        request: &ScheduleRequest,
        context: &RequestContext,
        is_strict: bool,
        now_ms: u64,
    ) -> Standing {
        if let Some(reason) = self.ineligibility(index, entry, request, context, is_strict, now_ms)
        {
            return Standing::Ineligible(reason);
        }
        if let Some(limit) = self.exhausted_limit(request, context, index, entry, now_ms) {
            return Standing::Full(limit);
        }
        let cost = self.upstream_cost(request, context, index, entry, now_ms);
        Standing::Candidate { cost, is_compared: false }
    }

    fn explain_upstream(
        &self,
        index: UpstreamIndex,
        entry: &FleetEntry,
        request: &ScheduleRequest,
        context: &RequestContext,
        standing: Standing,
        now_ms: u64,
    ) -> UpstreamExplanation {
        let prompt = request.prompt.as_deref();
        let version = prompt.and_then(|prompt| entry.version_of(&prompt.model));
        let has_prefix = context.affinity.is_some_and(|key| {
            let scope = request.scope(version.unwrap_or_default());
            self.cache_index.has(PrefixTag::new(key, &scope), index, now_ms)
        });
        UpstreamExplanation {
            index,
            id: entry.upstream.id.clone(),
            address: entry.upstream.address,
            failure_domain: entry.upstream.failure_domain.clone(),
            version,
            load: entry.load(now_ms),
            slots: entry.slots(),
            pending_prefill_ms: pending_prefill_ms(context, entry),
            reserved_tokens: entry.total_reserved_tokens(),
            time_factor: entry.speed.time_factor(),
            is_for_short: context.roles.is_short(index),
            is_preferred: context.is_preferred(index),
            has_prefix,
            standing,
        }
    }
}
