//! What upstreams say of themselves, and whether the nodes kept to it.
//!
//! A kill, a stop or a suspension of a node excuses it, and what reaches an upstream does not tell
//! which node sent it. A signal is therefore judged until the first such fault after it.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::Instant;

use super::Fault;
use super::Finding;
use crate::site_upstream::Behaviour;
use crate::site_upstream::SiteUpstream;

/// The span in which signals begin; a limit or a leaving lasts to the end of the faults.
const SPAN_MS: std::ops::Range<u64> = 500..3_000;

/// The time after which each node with requests for the upstream has received its signal.
const KNOWN_AFTER: Duration = Duration::from_millis(1_500);

/// How long before a signal a suspended node may have received what it sends after it.
const SUSPENDED: Duration = Duration::from_secs(3);

/// The length of a pause, and the window of a limit.
const PAUSE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(4);

/// What an upstream says of itself.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Signal {
    /// It takes so many requests a second from all nodes together.
    Limit {
        /// Requests per second.
        per_s: u32,
    },
    /// It turns requests away and wants none for a while.
    Pause,
    /// It leaves.
    Leaving,
}

/// Draws at most two signals, by the time since the start of a run. They come from a generator of
/// their own, so that the other faults of a seed stay the same.
pub(super) fn draw_signals(seed: u64, upstreams: usize) -> Vec<(Duration, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed ^ 0x5167_4e41);
    let signals = (0..rng.random_range(0..3)).map(|_| {
        let at = Duration::from_millis(rng.random_range(SPAN_MS));
        let signal = match rng.random_range(0..3) {
            0 => Signal::Limit { per_s: rng.random_range(1..12) },
            1 => Signal::Pause,
            _ => Signal::Leaving,
        };
        (at, Fault::Signal(rng.random_range(0..upstreams), signal))
    });
    let mut signals: Vec<_> = signals.collect();
    signals.sort_by_key(|(at, _)| *at);
    signals
}

/// A signal that an upstream gave.
#[derive(Clone, Copy, Debug)]
pub(super) struct GivenSignal {
    pub upstream: usize,
    pub signal: Signal,
    pub since: Instant,
    /// When it was withdrawn.
    pub until: Instant,
}

/// Lets an upstream give a signal.
pub(super) fn give(upstream: &SiteUpstream, signal: Signal) {
    match signal {
        Signal::Limit { per_s } => upstream.add_signal("server-limit", &per_s.to_string()),
        Signal::Leaving => upstream.add_signal("server-leaving", "1"),
        Signal::Pause => {
            upstream.add_signal("retry-after", &PAUSE.as_secs().to_string());
            upstream.set(Behaviour::Sheds);
        }
    }
}

/// Ends a signal. An upstream that said that it leaves comes back as another start.
pub(super) fn withdraw(upstream: &SiteUpstream, signal: Signal) {
    upstream.clear_signals();
    match signal {
        Signal::Limit { .. } => {}
        Signal::Leaving => upstream.start_again(),
        Signal::Pause => upstream.set(Behaviour::Serves),
    }
}

/// Returns whether a fault excuses a node from keeping to signals.
pub(super) fn excuses(fault: &Fault) -> bool {
    matches!(fault, Fault::Kill(_) | Fault::KillAll | Fault::Stop(_) | Fault::Pause(..))
}

/// Checks that `nodes` nodes kept to a signal. `excused` holds the times of the faults that excuse
/// them from it.
pub(super) fn check_signal(
    given: &GivenSignal,
    upstream: &SiteUpstream,
    nodes: usize,
    excused: &[Instant],
) -> Option<Finding> {
    let from = given.since + KNOWN_AFTER;
    let excuses = excused.iter().filter(|at| **at + SUSPENDED > given.since);
    let judged_until = excuses.min().map_or(given.until, |at| given.until.min(*at));
    let (rule, until, allowed) = match given.signal {
        Signal::Limit { per_s } => ("limit", judged_until, 6 * per_s as usize + 5),
        // Each node may send once more before it is told, and a few requests at that moment.
        Signal::Leaving => ("leaving", judged_until, 4 * nodes),
        Signal::Pause => ("pause", judged_until.min(given.since + PAUSE), 4 * nodes),
    };
    let arrivals: Vec<Instant> = upstream.seen().iter().map(|seen| seen.arrived).collect();
    let counted: Vec<Instant> =
        arrivals.into_iter().filter(|at| (from..until).contains(at)).collect();
    let most = match given.signal {
        Signal::Limit { .. } => {
            let in_window = |end: &Instant| {
                counted.iter().filter(|at| *at <= end && **at + WINDOW > *end).count()
            };
            counted.iter().map(in_window).max().unwrap_or(0)
        }
        Signal::Leaving | Signal::Pause => counted.len(),
    };
    let seen = format!("{:?}: {most} requests, allowed {allowed}", given.signal);
    (most > allowed).then_some(Finding { rule, seen })
}
