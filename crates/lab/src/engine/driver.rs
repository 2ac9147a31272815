//! The tasks of an engine.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::engine::core::Core;

const HOUSEKEEPING: Duration = Duration::from_millis(100);
const TIMER_UNIT: Duration = Duration::from_millis(1);

/// Steps the batch until told to stop.
///
/// Steps are timed from the end of the one before, so that the coarseness of timers does not add up.
pub async fn step_batch(core: Arc<Core>, stop: CancellationToken) {
    let mut produced = Vec::new();
    let mut due = Instant::now();
    while !stop.is_cancelled() {
        let Some(time) = core.begin_step() else {
            tokio::select! {
                () = stop.cancelled() => return,
                () = core.work.notified() => {}
            }
            due = Instant::now();
            continue;
        };
        due += time;
        tokio::select! {
            () = stop.cancelled() => return,
            () = wait_until(due) => {}
        }
        core.end_step(&mut produced);
        // A machine too slow for the pace shall not run steps in a burst afterwards.
        due = due.max(Instant::now() - HOUSEKEEPING);
    }
}

/// Waits until a step is over. Timers count in milliseconds, so that shorter waits are left out; the
/// next step makes up for them.
async fn wait_until(due: Instant) {
    if due > Instant::now() + TIMER_UNIT / 2 {
        tokio::time::sleep_until(due).await;
    } else {
        tokio::task::yield_now().await;
    }
}

/// Publishes the load with its lag and forgets unread streams, until told to stop.
pub async fn report_load(core: Arc<Core>, stop: CancellationToken) {
    let lag = Duration::from_millis(core.options.load_lag_ms);
    let mut published = Instant::now();
    let mut ticks = tokio::time::interval(HOUSEKEEPING);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        core.forget_unread();
        if published.elapsed() >= lag {
            core.publish_load();
            published = Instant::now();
        }
    }
}
