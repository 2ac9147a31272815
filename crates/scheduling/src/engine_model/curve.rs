//! The time that an engine takes to prefill a prompt.

/// The parameters of the time to the first event.
pub(super) const PARAMETERS: usize = 3;

/// The size above which pending tokens count as several prompts.
const QUEUED_PROMPT_TOKENS: f64 = 16_000.0;

/// The prefill of one prompt.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct PromptWork {
    /// Tokens that the engine prefills; the others are cached or fetched.
    pub unread_tokens: u64,
    /// All tokens of the prompt.
    pub prompt_tokens: u64,
}

impl PromptWork {
    /// Returns millions of pairs of a prefilled token and a token before it, which attention
    /// computes.
    fn pairs_m(self) -> f64 {
        let unread = self.unread_tokens as f64;
        let before = (self.prompt_tokens.max(self.unread_tokens) as f64) - unread / 2.0;
        unread * before / 1e6
    }

    /// Returns the factors of the parameters of [`PrefillCurve`].
    pub(super) fn features(self) -> [f64; PARAMETERS] {
        [1.0, self.unread_tokens as f64 / 1_000.0, self.pairs_m()]
    }
}

/// The time to the first event of a response at an otherwise idle upstream of a service.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct PrefillCurve {
    /// The time without any prefill, in milliseconds.
    pub base_ms: f64,
    /// The prefill of a thousand tokens, in milliseconds.
    pub ms_per_1k_tokens: f64,
    /// The additional time for a million pairs of tokens, in milliseconds.
    pub ms_per_1m_pairs: f64,
}

impl PrefillCurve {
    /// The curve that is assumed before any response.
    pub const PRIOR: Self = Self { base_ms: 80.0, ms_per_1k_tokens: 18.0, ms_per_1m_pairs: 0.1 };

    /// The range of each parameter; a sample cannot move it further.
    const MIN: [f64; PARAMETERS] = [0.5, 0.05, 0.0];
    const MAX: [f64; PARAMETERS] = [5_000.0, 2_000.0, 100.0];

    pub(super) fn parameters(&self) -> [f64; PARAMETERS] {
        [self.base_ms, self.ms_per_1k_tokens, self.ms_per_1m_pairs]
    }

    /// Creates a curve from parameters, limited to their ranges.
    pub(super) fn from_parameters(parameters: [f64; PARAMETERS]) -> Self {
        let prior = Self::PRIOR.parameters();
        let limited = std::array::from_fn(|i| match parameters[i].is_finite() {
            true => parameters[i].clamp(Self::MIN[i], Self::MAX[i]),
            false => prior[i],
        });
        let [base_ms, ms_per_1k_tokens, ms_per_1m_pairs]: [f64; PARAMETERS] = limited;
        Self { base_ms, ms_per_1k_tokens, ms_per_1m_pairs }
    }

    /// Returns the time to prefill a prompt, in milliseconds.
    pub fn prefill_ms(&self, work: PromptWork) -> f64 {
        let [_, tokens_1k, pairs_m] = work.features();
        self.ms_per_1k_tokens * tokens_1k + self.ms_per_1m_pairs * pairs_m
    }

    /// Returns the time to the first event at an idle upstream, in milliseconds.
    pub fn first_event_ms(&self, work: PromptWork) -> f64 {
        self.base_ms + self.prefill_ms(work)
    }

    /// Returns the time to prefill tokens of several prompts, in milliseconds. Their pairs count,
    /// because a fit may explain most of the time of long prompts by them: without, 35,000 pending
    /// tokens took no time in a replay on engines of three speeds.
    pub fn queue_ms(&self, tokens: u64) -> f64 {
        let tokens = tokens as f64;
        let pairs_m = tokens * tokens.min(QUEUED_PROMPT_TOKENS) / 2.0 / 1e6;
        self.ms_per_1k_tokens * tokens / 1_000.0 + self.ms_per_1m_pairs * pairs_m
    }
}
