//! Token buckets.

/// The parameters of a bucket.
#[derive(Clone, Copy, PartialEq, Debug, Default)]
pub struct BucketSpec {
    /// The tokens that flow in per millisecond.
    pub rate_per_ms: f64,
    /// The highest level.
    pub burst_tokens: f64,
    /// How far below zero the level may go.
    pub debt_limit_tokens: f64,
}

/// A token bucket.
///
/// Invariant: the level is between the negative debt limit and the burst.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    spec: BucketSpec,
    level_tokens: f64,
    updated_ms: u64,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub fn empty(spec: BucketSpec, now_ms: u64) -> Self {
        Self { spec, level_tokens: 0.0, updated_ms: now_ms }
    }

    /// Creates a full bucket.
    pub fn full(spec: BucketSpec, now_ms: u64) -> Self {
        Self { spec, level_tokens: spec.burst_tokens, updated_ms: now_ms }
    }

    /// Returns the parameters.
    pub fn spec(&self) -> &BucketSpec {
        &self.spec
    }

    /// Replaces the parameters. The level is brought into the new bounds at once.
    pub fn set_spec(&mut self, spec: BucketSpec, now_ms: u64) {
        self.refill(now_ms);
        self.spec = spec;
        self.level_tokens = self.level_tokens.clamp(-spec.debt_limit_tokens, spec.burst_tokens);
    }

    /// Returns the level.
    pub fn level(&mut self, now_ms: u64) -> f64 {
        self.refill(now_ms);
        self.level_tokens
    }

    /// Takes at most `tokens`, and only so many that the level stays at `floor_tokens` or above.
    /// Returns the tokens taken.
    pub fn take_up_to(&mut self, tokens: u64, floor_tokens: f64, now_ms: u64) -> u64 {
        self.refill(now_ms);
        let floor_tokens = floor_tokens.max(-self.spec.debt_limit_tokens);
        let taken = tokens.min((self.level_tokens - floor_tokens).max(0.0) as u64);
        self.level_tokens -= taken as f64;
        taken
    }

    /// Puts tokens back that were taken and not used. What exceeds the burst is lost.
    pub fn put_back(&mut self, tokens: u64, now_ms: u64) {
        self.refill(now_ms);
        self.level_tokens = (self.level_tokens + tokens as f64).min(self.spec.burst_tokens);
    }

    /// Returns in how many milliseconds `tokens` can be taken with the level staying at
    /// `floor_tokens` or above. Tokens beyond the burst count as flowing in, too.
    pub fn wait_ms(&mut self, tokens: u64, floor_tokens: f64, now_ms: u64) -> u64 {
        let missing = tokens as f64 + floor_tokens - self.level(now_ms);
        if missing <= 0.0 {
            return 0;
        }
        (missing / self.spec.rate_per_ms.max(f64::MIN_POSITIVE)).ceil() as u64
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let refilled = self.level_tokens + elapsed_ms * self.spec.rate_per_ms;
        self.level_tokens = refilled.min(self.spec.burst_tokens);
        self.updated_ms = self.updated_ms.max(now_ms);
    }
}
