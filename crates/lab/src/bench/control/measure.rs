//! One run: form, a quiet window, a window with changes, restarts.

use std::time::Duration;

use serde_json::Value;
use snafu::ResultExt;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use super::ControlError;
use super::ControlOptions;
use super::MachineSnafu;
use super::fleet::ControlFleet;
use super::report::ControlReport;
use super::report::RestartFigures;
use super::report::WindowFigures;
use super::site::accept;
use crate::process::ProcessUsage;

/// How long the fleet may take for what it is waited for.
const LIMIT: Duration = Duration::from_secs(90);

/// From the forming of the fleet to the first window.
const SETTLE: Duration = Duration::from_secs(15);

/// How long calls are counted after a restart.
const RESTART_COUNTED: Duration = Duration::from_secs(20);

/// Bytes of a load poll both ways besides its reply's body: request and reply heads, and the TCP
/// and IP headers of two segments and two acknowledgements.
const POLL_BYTES: f64 = 480.0;

const MIB: f64 = 1_048_576.0;

/// Measures one size of the fleet.
pub(super) async fn measure(
    options: &ControlOptions,
    nodes: usize,
) -> Result<ControlReport, ControlError> {
    let program = std::env::current_exe().context(MachineSnafu)?;
    let mut fleet = ControlFleet::prepare(options, &program).await?;
    let outcome = run(options, nodes, &mut fleet).await;
    fleet.stop().await;
    outcome
}

async fn run(
    options: &ControlOptions,
    nodes: usize,
    fleet: &mut ControlFleet,
) -> Result<ControlReport, ControlError> {
    let port = fleet.loads.port();
    let first = accept(options, &fleet.platform, port, 1).await?;
    let started = Instant::now();
    let numbers: Vec<usize> = (0..nodes).collect();
    fleet.routers = fleet.start(&numbers).await?;
    fleet.in_force(first.0, LIMIT).await?;
    fleet.formed(LIMIT).await?;
    let formed_ms = started.elapsed().as_millis() as u64;
    sleep(SETTLE).await;
    let quiet = window(options, fleet, async |_| Ok(())).await?;
    let mut in_force_ms = Vec::new();
    let changing = window(options, fleet, async |fleet: &ControlFleet| {
        let spacing = Duration::from_secs(options.window_s) / options.changes.max(1) as u32;
        let began = Instant::now();
        for change in 0..options.changes {
            sleep_until(began + spacing * change as u32).await;
            let generation = accept(options, &fleet.platform, port, change + 2).await?;
            in_force_ms.push(fleet.in_force(generation.0, LIMIT).await?);
        }
        Ok(())
    })
    .await?;
    let (mut domain_restart, mut whole_restart) = (None, None);
    if options.restarts {
        let domain: Vec<usize> = numbers.iter().copied().step_by(options.domains).collect();
        domain_restart = Some(restart(fleet, &domain).await?);
        whole_restart = Some(restart(fleet, &numbers).await?);
    }
    Ok(ControlReport {
        scenario: "control",
        nodes,
        engines: options.engines,
        accounts: options.accounts,
        formed_ms,
        quiet,
        changing,
        changes: options.changes,
        in_force_ms,
        domain_restart,
        whole_restart,
    })
}

/// What has been spent at one time.
struct Reading {
    usage: Vec<ProcessUsage>,
    traffic: Vec<NodeTraffic>,
    store_calls: u64,
    list_reads: u64,
    polls: u64,
    at: Instant,
}

#[derive(Clone, Copy, Default)]
struct NodeTraffic {
    sent_bytes: u64,
    received_bytes: u64,
    sent_datagrams: u64,
    connections: u64,
}

impl NodeTraffic {
    fn of(dump: &Option<Value>) -> Self {
        let Some(dump) = dump else { return Self::default() };
        let count = |name: &str| dump["cluster"]["traffic"][name].as_u64().unwrap_or(0);
        Self {
            sent_bytes: count("sent_bytes"),
            received_bytes: count("received_bytes"),
            sent_datagrams: count("sent_datagrams"),
            connections: count("connections"),
        }
    }
}

impl Reading {
    /// Reads the counts. Dumps cost the routers time, so they lie outside the window of usage:
    /// `is_start` says on which side.
    async fn take(fleet: &ControlFleet, is_start: bool) -> Result<Self, ControlError> {
        let early = if is_start { Some(fleet.read_all("/dump").await) } else { None };
        let usage: Result<Vec<_>, _> = fleet.routers.iter().map(|router| router.usage()).collect();
        let usage = usage.context(MachineSnafu)?;
        let store_calls = fleet.platform.store.counts().total();
        let list_reads = fleet.platform.instances.reads();
        let (polls, at) = (fleet.loads.polls(), Instant::now());
        let dumps = match early {
            Some(dumps) => dumps,
            None => fleet.read_all("/dump").await,
        };
        let traffic = dumps.iter().map(NodeTraffic::of).collect();
        Ok(Self { usage, traffic, store_calls, list_reads, polls, at })
    }
}

async fn window(
    options: &ControlOptions,
    fleet: &ControlFleet,
    during: impl AsyncFnOnce(&ControlFleet) -> Result<(), ControlError>,
) -> Result<WindowFigures, ControlError> {
    let before = Reading::take(fleet, true).await?;
    during(fleet).await?;
    sleep_until(before.at + Duration::from_secs(options.window_s)).await;
    let after = Reading::take(fleet, false).await?;
    Ok(figures(&before, &after))
}

fn figures(before: &Reading, after: &Reading) -> WindowFigures {
    let window_s = (after.at - before.at).as_secs_f64();
    let nodes = after.usage.len() as f64;
    let spent = before.traffic.iter().zip(&after.traffic);
    let sent: Vec<u64> = spent.clone().map(|(b, a)| a.sent_bytes - b.sent_bytes).collect();
    let received: Vec<u64> =
        spent.clone().map(|(b, a)| a.received_bytes - b.received_bytes).collect();
    let datagrams: u64 = spent.clone().map(|(b, a)| a.sent_datagrams - b.sent_datagrams).sum();
    let busiest = sent.iter().zip(&received).map(|(s, r)| s + r).max().unwrap_or(0);
    let usage = before.usage.iter().zip(&after.usage);
    let processor: Vec<f64> =
        usage.map(|(b, a)| (a.processor - b.processor).as_secs_f64() / window_s * 100.0).collect();
    let resident: Vec<f64> =
        after.usage.iter().map(|usage| usage.resident_bytes as f64 / MIB).collect();
    let largest = |values: &[f64]| values.iter().copied().fold(0.0, f64::max);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / nodes;
    let per_node_s = |total: u64| total as f64 / window_s / nodes;
    let polls_per_s = (after.polls - before.polls) as f64 / window_s;
    WindowFigures {
        window_s,
        sent_bytes_per_s: per_node_s(sent.iter().sum()),
        received_bytes_per_s: per_node_s(received.iter().sum()),
        busiest_bytes_per_s: busiest as f64 / window_s,
        sent_datagrams_per_s: per_node_s(datagrams),
        connections_made: spent.map(|(b, a)| a.connections - b.connections).sum(),
        poll_bytes_per_s: polls_per_s / nodes * POLL_BYTES,
        polls_per_s,
        processor_percent: mean(&processor),
        busiest_processor_percent: largest(&processor),
        resident_mib: mean(&resident),
        largest_resident_mib: largest(&resident),
        store_calls_per_s: (after.store_calls - before.store_calls) as f64 / window_s,
        list_reads_per_s: (after.list_reads - before.list_reads) as f64 / window_s,
    }
}

async fn restart(
    fleet: &mut ControlFleet,
    numbers: &[usize],
) -> Result<RestartFigures, ControlError> {
    let (calls, reads) = (fleet.platform.store.counts().total(), fleet.platform.instances.reads());
    let store = fleet.platform.store.clone();
    let peak = tokio::spawn(async move {
        let (mut peak, mut last) = (0, store.counts().total());
        for _ in 0..RESTART_COUNTED.as_secs() {
            sleep(Duration::from_secs(1)).await;
            let now = store.counts().total();
            peak = peak.max(now - last);
            last = now;
        }
        peak
    });
    let started = Instant::now();
    fleet.restart(numbers).await?;
    fleet.in_force(1, LIMIT).await?;
    let ready_ms = started.elapsed().as_millis() as u64;
    let peak = peak.await.unwrap_or(0);
    fleet.formed(LIMIT).await?;
    Ok(RestartFigures {
        nodes: numbers.len(),
        ready_ms,
        store_calls: fleet.platform.store.counts().total() - calls,
        store_calls_peak_per_s: peak,
        list_reads: fleet.platform.instances.reads() - reads,
        counted_s: started.elapsed().as_secs_f64(),
    })
}
