//! The model of one service.

use std::collections::HashMap;

use super::CurveFit;
use super::EngineSpeed;
use super::PauseEstimate;
use super::PrefillCurve;
use super::PromptWork;
use super::RouteTag;

/// The weight of one request in the averages.
const SAMPLE_WEIGHT: f64 = 0.02;

/// A response teaches the curve only if the queue before it was shorter than its own prefill
/// divided by this.
const QUEUE_DIVISOR: f64 = 4.0;

/// The time to fetch a thousand tokens before any fetch was observed, as a share of the time to
/// prefill them.
const PRIOR_FETCH_SHARE: f64 = 0.25;

/// A share of the decode steps, relative to the time to the first event without prefill.
const DECODE_SHARE: f64 = 0.08;

/// The share of an urgent request's target that the prefill of another prompt may take; a prompt
/// above it is long.
const LONG_TARGET_SHARE: f64 = 0.3;

/// The target of urgent requests before any was seen, in milliseconds.
const PRIOR_TARGET_MS: f64 = 500.0;

/// How fast the tightest target is forgotten, per request.
const TARGET_DRIFT: f64 = 0.000_5;

/// The first event of a response.
#[derive(Clone, Copy, Debug)]
pub struct FirstEventSample {
    /// The prefill of its prompt.
    pub work: PromptWork,
    /// Tokens that the engine fetched.
    pub fetched_tokens: u64,
    /// Tokens of other prompts that the engine had to prefill before.
    pub queued_tokens: u64,
    /// The time from sending the request to its first event, in milliseconds.
    pub observed_ms: f64,
}

/// The mean prompt of a class. The first samples weigh alike, so that one of unusual size does not
/// stand for the others.
#[derive(Clone, Copy, Debug, Default)]
struct UsualPrompt {
    prompt_tokens: f64,
    own_tokens: f64,
    samples: f64,
}

impl UsualPrompt {
    fn observe(&mut self, prompt_tokens: f64, own_tokens: f64) {
        self.samples += 1.0;
        let weight = SAMPLE_WEIGHT.max(1.0 / self.samples);
        self.prompt_tokens += weight * (prompt_tokens - self.prompt_tokens);
        self.own_tokens += weight * (own_tokens - self.own_tokens);
    }
}

/// The prompts of one route, which are of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct PromptKind {
    usual: UsualPrompt,
    // The mean tokens, counting only prompts that are long by themselves.
    long_tokens: UsualPrompt,
}

impl PromptKind {
    fn observe(&mut self, prompt_tokens: f64, own_tokens: f64, is_long: bool) {
        self.usual.observe(prompt_tokens, own_tokens);
        self.long_tokens.observe(if is_long { prompt_tokens } else { 0.0 }, 0.0);
    }

    /// Returns whether most of the tokens are of prompts that are long by themselves.
    fn is_long(&self) -> bool {
        2.0 * self.long_tokens.prompt_tokens > self.usual.prompt_tokens
    }
}

/// The times of a service that one decision uses.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// The curve of the service.
    pub curve: PrefillCurve,
    /// The target of the most urgent requests, in milliseconds; the unit of preferences that are
    /// no times.
    pub urgent_target_ms: f64,
    fetch_share: f64,
}

impl ServiceTimes {
    /// Returns the time to fetch tokens instead of prefilling them, in milliseconds.
    pub fn fetch_ms(&self, tokens: u64) -> f64 {
        self.curve.queue_ms(tokens) * self.fetch_share
    }
}

/// What is known of the upstreams and requests of one service.
#[derive(Clone, Debug)]
pub struct ServiceModel {
    fit: CurveFit,
    fetch_share: f64,
    tightest_target_ms: f64,
    short_prompt: UsualPrompt,
    long_prompt: UsualPrompt,
    kinds: HashMap<RouteTag, PromptKind>,
    pauses: PauseEstimate,
}

impl Default for ServiceModel {
    fn default() -> Self {
        Self {
            fit: CurveFit::default(),
            fetch_share: PRIOR_FETCH_SHARE,
            tightest_target_ms: PRIOR_TARGET_MS,
            short_prompt: UsualPrompt::default(),
            long_prompt: UsualPrompt::default(),
            kinds: HashMap::new(),
            pauses: PauseEstimate::default(),
        }
    }
}

impl ServiceModel {
    /// Returns the curve of the service.
    pub fn curve(&self) -> &PrefillCurve {
        self.fit.curve()
    }

    /// Returns the fit of the curve.
    pub fn fit(&self) -> &CurveFit {
        &self.fit
    }

    /// Returns the fit of the curve for modification.
    pub fn fit_mut(&mut self) -> &mut CurveFit {
        &mut self.fit
    }

    /// Returns the estimate of pauses in streams.
    pub fn pauses(&self) -> &PauseEstimate {
        &self.pauses
    }

    /// Records the longest pause of a stream that ended well.
    pub fn observe_pause(&mut self, longest_pause_ms: u64) {
        self.pauses.observe(longest_pause_ms);
    }

    /// Records the arrival of a prompt of a route, with `own_tokens` that no other request shares.
    pub fn observe_prompt(
        &mut self,
        route: RouteTag,
        prompt_tokens: u64,
        own_tokens: u64,
        target_ms: u64,
    ) {
        let target_ms = (target_ms as f64).max(1.0);
        let drift_ms = TARGET_DRIFT * (target_ms - self.tightest_target_ms);
        self.tightest_target_ms = (self.tightest_target_ms + drift_ms).min(target_ms);
        let is_long = self.is_long_prompt(prompt_tokens);
        let kind = self.kinds.entry(route).or_default();
        kind.observe(prompt_tokens as f64, own_tokens as f64, is_long);
        let usual = match self.is_long(route, prompt_tokens) {
            true => &mut self.long_prompt,
            false => &mut self.short_prompt,
        };
        usual.observe(prompt_tokens as f64, own_tokens as f64);
    }

    /// Records the first event of a response.
    pub fn observe_first_event(&mut self, sample: &FirstEventSample, speed: &mut EngineSpeed) {
        let own_ms = self.curve().first_event_ms(sample.work);
        if self.curve().queue_ms(sample.queued_tokens) * QUEUE_DIVISOR > own_ms {
            return;
        }
        // The time at the engine without other work on its machine.
        let usual_ms = sample.observed_ms / speed.latest_slowdown();
        if sample.fetched_tokens > 0 {
            self.observe_fetch(sample.fetched_tokens, usual_ms / speed.factor() - own_ms);
            return;
        }
        speed.observe_ratio(usual_ms / own_ms);
        // Short and long prompts go to engines of unlike speed. Without the division the curve would
        // take the difference for one between short and long prompts.
        self.fit.observe(sample.work, usual_ms / speed.own_class().time_factor());
    }

    /// Records the first event of a response of another node. It teaches the speed of the engine
    /// only: that node teaches its curve, and tells it.
    pub fn observe_peer_first_event(&self, sample: &FirstEventSample, speed: &mut EngineSpeed) {
        let own_ms = self.curve().first_event_ms(sample.work);
        let is_delayed = self.curve().queue_ms(sample.queued_tokens) * QUEUE_DIVISOR > own_ms;
        if sample.fetched_tokens == 0 && !is_delayed {
            speed.observe_ratio(sample.observed_ms / speed.latest_slowdown() / own_ms);
        }
    }

    fn observe_fetch(&mut self, fetched_tokens: u64, fetch_ms: f64) {
        let prefill_ms = self.curve().queue_ms(fetched_tokens).max(1e-3);
        let share = (fetch_ms / prefill_ms).clamp(0.0, 2.0);
        self.fetch_share += SAMPLE_WEIGHT * (share - self.fetch_share);
    }

    /// Returns the times that a decision uses.
    pub fn times(&self) -> ServiceTimes {
        ServiceTimes {
            curve: *self.curve(),
            urgent_target_ms: self.tightest_target_ms,
            fetch_share: self.fetch_share,
        }
    }

    /// Returns whether most of the prefill of a route's prompts delays urgent requests noticeably. All
    /// prompts of a route are of one class, whatever their size.
    pub fn is_long(&self, route: RouteTag, prompt_tokens: u64) -> bool {
        let kind = self.kinds.get(&route);
        kind.map_or_else(|| self.is_long_prompt(prompt_tokens), PromptKind::is_long)
    }

    fn is_long_prompt(&self, prompt_tokens: u64) -> bool {
        let work = PromptWork { unread_tokens: prompt_tokens, prompt_tokens };
        self.curve().prefill_ms(work) > self.tightest_target_ms * LONG_TARGET_SHARE
    }

    /// Returns the prefill of a route's usual prompt at an engine that holds nothing of it; that of
    /// `prompt_tokens` if no prompt of the route was seen.
    pub fn usual_work(&self, route: RouteTag, prompt_tokens: u64) -> PromptWork {
        let kind = self.kinds.get(&route);
        let prompt_tokens = kind.map_or(prompt_tokens, |kind| kind.usual.prompt_tokens as u64);
        PromptWork { unread_tokens: prompt_tokens, prompt_tokens }
    }

    /// Takes over what another model learned of the upstreams; what requests usually are stays.
    pub fn follow(&mut self, other: &Self) {
        self.fit = other.fit.clone();
        self.fetch_share = other.fetch_share;
        self.pauses = other.pauses;
    }

    /// Returns the share of the decode steps of a request, as engine time.
    pub fn decode_cost_ms(&self) -> f64 {
        self.curve().base_ms * DECODE_SHARE
    }

    /// Returns the engine time of a usual short prompt: its prefill and its share of the decode
    /// steps.
    pub fn short_cost_ms(&self) -> f64 {
        self.curve().queue_ms(self.short_prompt.prompt_tokens as u64) + self.decode_cost_ms()
    }

    /// Returns the engine time of a usual long prompt whose shared prefix is cached.
    pub fn long_cost_ms(&self) -> f64 {
        self.curve().queue_ms(self.long_prompt.own_tokens as u64) + self.decode_cost_ms()
    }

    /// Returns the shared tokens of a usual long prompt.
    pub fn long_shared_tokens(&self) -> f64 {
        (self.long_prompt.prompt_tokens - self.long_prompt.own_tokens).max(0.0)
    }

    /// Returns the engine time of a usual long prompt of which nothing is cached.
    pub fn cold_long_cost_ms(&self) -> f64 {
        self.curve().queue_ms(self.long_prompt.prompt_tokens as u64)
    }
}
