//! The configured limits of accounts.

use super::BucketSpec;

/// The default burst of the token rate limit, in seconds of the rate.
const BURST_S: f64 = 2.0;

/// The configured limits of an account.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct LimitSpec {
    /// Tokens per second over the fleet; zero for no limit.
    pub tokens_per_s: u64,
    /// The tokens that may be used at once beyond the rate; zero for the default.
    pub burst_tokens: u64,
    /// Requests in flight over the fleet; zero for no limit.
    pub max_in_flight: u32,
}

impl LimitSpec {
    /// Returns the parameters of a bucket for a share of the token rate.
    pub fn bucket_spec(&self, share: f64, debt_limit_tokens: f64) -> BucketSpec {
        let burst_tokens = match self.burst_tokens {
            0 => self.tokens_per_s as f64 * BURST_S,
            burst_tokens => burst_tokens as f64,
        };
        BucketSpec {
            rate_per_ms: self.tokens_per_s as f64 * share / 1_000.0,
            burst_tokens: burst_tokens * share,
            debt_limit_tokens,
        }
    }
}
