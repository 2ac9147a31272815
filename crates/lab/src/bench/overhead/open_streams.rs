//! What many open streams cost a router.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use snafu::ResultExt;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::MachineSnafu;
use super::OverheadError;
use super::OverheadOptions;
use super::router::RoutedEngines;
use crate::caller::Call;
use crate::caller::Caller;
use crate::caller::Outcome;
use crate::engine::Pace;
use crate::load::Latencies;

/// The time between tokens at the target size.
const TOKEN_US: u32 = 69_000;
/// A tenth of the engines of the target size.
const ENGINES: usize = 85;
const WARM_UP_CALLS: u32 = 50;
const SETTLE: Duration = Duration::from_millis(1_500);
const WINDOW: Duration = Duration::from_secs(6);
const BETWEEN_STARTS: Duration = Duration::from_millis(1);
/// An engine whose tokens come at the pace of the target size, however many streams are open.
const STEADY: Pace = Pace {
    slots: 4_096,
    prefill_tokens_per_s: u32::MAX,
    prefill_step_tokens: u32::MAX,
    import_tokens_per_s: u32::MAX,
    decode_us: TOKEN_US,
    full_batch_slowdown_percent: 0,
};

/// The figures of the second part.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct OpenStreamFigures {
    /// The streams that were open.
    pub streams: usize,
    /// Streams whose answer was not whole.
    pub failed: usize,
    /// Tokens relayed in a second.
    pub tokens_per_s: f64,
    /// Tokens that one core of the router relays in a second.
    pub tokens_per_s_per_core: f64,
    /// The longest time between two tokens of a stream, for 95 of 100 streams.
    pub longest_gap_p95_ms: Option<f64>,
    /// The memory that each open stream takes.
    pub memory_per_stream_kib: f64,
}

pub(super) async fn measure(options: &OverheadOptions) -> Result<OpenStreamFigures, OverheadError> {
    let routed = RoutedEngines::start(ENGINES, STEADY).await?;
    let router = routed.router.address;
    let caller = Caller::new();
    let mut warm = JoinSet::new();
    for n in 0..WARM_UP_CALLS {
        let call = routed.call("", &format!("warm {n}"), 2);
        warm.spawn(stream(caller.clone(), router, call));
    }
    warm.join_all().await;
    let idle = routed.router.usage().context(MachineSnafu)?;
    let mut running = JoinSet::new();
    for n in 0..options.open_streams {
        let call = routed.call("", &format!("question {n}"), options.stream_tokens);
        running.spawn(stream(caller.clone(), router, call));
        tokio::time::sleep(BETWEEN_STARTS).await;
    }
    tokio::time::sleep(SETTLE).await;
    let tokens_before = generated_tokens(&routed);
    let before = routed.router.usage().context(MachineSnafu)?;
    let window = Instant::now();
    tokio::time::sleep(WINDOW).await;
    let after = routed.router.usage().context(MachineSnafu)?;
    let tokens = generated_tokens(&routed) - tokens_before;
    let window_s = window.elapsed().as_secs_f64();
    let outcomes = running.join_all().await;
    caller.close().await;
    routed.stop().await?;
    let processor_s = (after.processor - before.processor).as_secs_f64();
    let held_bytes = after.resident_bytes.saturating_sub(idle.resident_bytes);
    let gaps: Latencies = outcomes.iter().map(|outcome| outcome.longest_gap_us).collect();
    Ok(OpenStreamFigures {
        streams: outcomes.len(),
        failed: outcomes.iter().filter(|outcome| !outcome.is_complete()).count(),
        tokens_per_s: tokens as f64 / window_s,
        tokens_per_s_per_core: tokens as f64 / processor_s,
        longest_gap_p95_ms: gaps.quantile_ms(0.95),
        memory_per_stream_kib: held_bytes as f64 / 1_024.0 / outcomes.len() as f64,
    })
}

fn generated_tokens(routed: &RoutedEngines) -> u64 {
    let engines = routed.stand_ins.engines.iter();
    engines.map(|engine| engine.totals().generated_tokens).sum()
}

async fn stream(caller: Caller, address: SocketAddr, call: Call) -> Outcome {
    caller.complete(address, &call).await
}
