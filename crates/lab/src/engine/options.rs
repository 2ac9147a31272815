//! How an engine stand-in behaves.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::engine::WeightLoader;
use crate::faults::FaultPlan;

/// Whether orders with an old fencing number are refused.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub enum FencingMode {
    /// They are refused.
    #[default]
    Checked,
    /// The number is ignored.
    Ignored,
}

/// The speed of an engine.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Pace {
    /// Requests that generate at the same time.
    pub slots: usize,
    /// Prompt tokens computed in a second.
    pub prefill_tokens_per_s: u32,
    /// The most prompt tokens computed in one step.
    pub prefill_step_tokens: u32,
    /// Prompt tokens imported in a second.
    pub import_tokens_per_s: u32,
    /// The time of a step that generates one token for one request.
    pub decode_us: u32,
    /// How much longer a step takes with all slots in use, in percent.
    pub full_batch_slowdown_percent: u32,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            slots: 32,
            prefill_tokens_per_s: 20_000,
            prefill_step_tokens: 2_048,
            import_tokens_per_s: 200_000,
            decode_us: 20_000,
            full_batch_slowdown_percent: 100,
        }
    }
}

/// How an engine stand-in starts.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// The name, that of the upstream in the configuration.
    pub name: String,
    /// The address that serves completions; port 0 for any.
    pub listen: SocketAddr,
    /// The administration address; port 0 for any.
    pub admin: SocketAddr,
    /// The model.
    pub model: String,
    /// The weights version.
    pub weights_version: String,
    /// The speed.
    pub pace: Pace,
    /// The size of the prefix cache.
    pub cache_blocks_limit: usize,
    /// The tokens of an answer that has no limit in its request.
    pub answer_tokens: u32,
    /// The KV cache store that computed blocks are exported to.
    pub export_to: Option<SocketAddr>,
    /// How late `/load` reports.
    pub load_lag_ms: u64,
    /// How late `/cache/events` reports.
    pub events_lag_ms: u64,
    /// One in so many cache events is lost; zero for none.
    pub events_gap_every: u64,
    /// How long a stream whose connection broke is held.
    pub resume_window_ms: u64,
    /// Whether orders with an old fencing number are refused.
    pub fencing: FencingMode,
    /// The faults that are to strike; engines that share it share the strikes.
    pub faults: Arc<FaultPlan>,
    /// Where weights come from; engines that share it slow each other down.
    pub weight_loader: Arc<WeightLoader>,
}

impl EngineOptions {
    /// Returns the options of an engine on free loopback ports.
    pub fn new(name: &str, model: &str, weights_version: &str) -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: name.to_owned(),
            listen: any,
            admin: any,
            model: model.to_owned(),
            weights_version: weights_version.to_owned(),
            pace: Pace::default(),
            cache_blocks_limit: 4_096,
            answer_tokens: 32,
            export_to: None,
            load_lag_ms: 500,
            events_lag_ms: 300,
            events_gap_every: 50,
            resume_window_ms: 5_000,
            fencing: FencingMode::Checked,
            faults: Arc::default(),
            weight_loader: Arc::default(),
        }
    }
}
