//! The time that a router adds to the first token.

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

const ENGINES: usize = 1;
const ANSWER_TOKENS: u32 = 2;
const WARM_UP_CALLS: u32 = 200;
/// An engine that answers at once.
const INSTANT: Pace = Pace {
    slots: 4_096,
    prefill_tokens_per_s: u32::MAX,
    prefill_step_tokens: u32::MAX,
    import_tokens_per_s: u32::MAX,
    decode_us: 0,
    full_batch_slowdown_percent: 0,
};

/// The figures of the first part.
#[derive(Clone, PartialEq, Debug, Serialize)]
pub struct FirstTokenFigures {
    /// Calls straight to the engine, and as many through the router.
    pub calls: usize,
    /// Calls of either kind whose answer was not whole.
    pub failed: usize,
    /// Calls through the router in a second.
    pub requests_per_s: f64,
    /// Straight from the engine.
    pub direct_p50_ms: Option<f64>,
    /// Straight from the engine.
    pub direct_p99_ms: Option<f64>,
    /// Through the router.
    pub routed_p50_ms: Option<f64>,
    /// Through the router.
    pub routed_p99_ms: Option<f64>,
    /// The difference of the medians.
    pub added_p50_ms: Option<f64>,
    /// The difference of the 99th percentiles.
    pub added_p99_ms: Option<f64>,
    /// Calls that one core of the router carries in a second.
    pub requests_per_s_per_core: f64,
}

pub(super) async fn measure(options: &OverheadOptions) -> Result<FirstTokenFigures, OverheadError> {
    let routed = RoutedEngines::start(ENGINES, INSTANT).await?;
    let (engine, router) = (routed.stand_ins.engines[0].address, routed.router.address);
    let caller = Caller::new();
    for n in 0..WARM_UP_CALLS {
        let address = if n % 2 == 0 { engine } else { router };
        caller.complete(address, &call(&routed, "warm", n)).await;
    }
    let before = routed.router.usage().context(MachineSnafu)?;
    let started = Instant::now();
    let calls = options.requests_per_s * options.duration_s * 2;
    let interval = Duration::from_secs(1) / (options.requests_per_s * 2);
    let mut running = JoinSet::new();
    for n in 0..calls {
        tokio::time::sleep_until(started + interval * n).await;
        let is_direct = n % 2 == 0;
        let address = if is_direct { engine } else { router };
        running.spawn(time_call(caller.clone(), address, call(&routed, "m", n), is_direct));
    }
    let timed = running.join_all().await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let after = routed.router.usage().context(MachineSnafu)?;
    caller.close().await;
    routed.stop().await?;
    let processor_s = (after.processor - before.processor).as_secs_f64();
    Ok(figures(&timed, elapsed_s, processor_s))
}

fn call(routed: &RoutedEngines, run: &str, n: u32) -> Call {
    routed.call(&format!("{run}-{n}"), &format!("question {n}"), ANSWER_TOKENS)
}

async fn time_call(
    caller: Caller,
    address: SocketAddr,
    call: Call,
    is_direct: bool,
) -> (bool, Outcome) {
    (is_direct, caller.complete(address, &call).await)
}

fn figures(timed: &[(bool, Outcome)], elapsed_s: f64, processor_s: f64) -> FirstTokenFigures {
    let latencies = |wanted: bool| -> Latencies {
        let of_kind = timed.iter().filter(|(is_direct, _)| *is_direct == wanted);
        of_kind.filter_map(|(_, outcome)| outcome.first_token_us).collect()
    };
    let (direct, routed) = (latencies(true), latencies(false));
    let added = |quantile: f64| Some(routed.quantile_ms(quantile)? - direct.quantile_ms(quantile)?);
    let calls = timed.len() / 2;
    FirstTokenFigures {
        calls,
        failed: timed.iter().filter(|(_, outcome)| !outcome.is_complete()).count(),
        requests_per_s: calls as f64 / elapsed_s,
        direct_p50_ms: direct.quantile_ms(0.50),
        direct_p99_ms: direct.quantile_ms(0.99),
        routed_p50_ms: routed.quantile_ms(0.50),
        routed_p99_ms: routed.quantile_ms(0.99),
        added_p50_ms: added(0.50),
        added_p99_ms: added(0.99),
        requests_per_s_per_core: calls as f64 / processor_s,
    }
}
