//! Sends planned calls at their times, whatever became of earlier ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;

use super::Balancer;
use super::PlannedCall;
use super::PromptLibrary;
use crate::caller::Caller;
use crate::caller::Outcome;

/// A planned call with what became of it.
#[derive(Clone, Debug)]
pub struct Record {
    /// The call.
    pub call: PlannedCall,
    /// What became of it.
    pub outcome: Outcome,
}

/// The times of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunWindow {
    /// When the run begins.
    pub started: Instant,
    /// When calls that have not ended are given up.
    pub ends: Instant,
}

/// Runs a plan against the routers that `balancer` holds at the time of each call.
/// Returns the records in the order of the plan.
pub async fn run(
    plan: &[PlannedCall],
    library: &Arc<PromptLibrary>,
    balancer: &Balancer,
    window: RunWindow,
) -> Vec<Record> {
    let caller = Caller::new();
    let mut calls = JoinSet::new();
    for planned in plan {
        tokio::time::sleep_until(window.started + Duration::from_micros(planned.at_us)).await;
        let address = balancer.choose(planned.node);
        calls.spawn(make_call(caller.clone(), address, library.clone(), *planned, window));
    }
    let mut records = calls.join_all().await;
    records.sort_by_key(|record| record.call.question);
    caller.close().await;
    records
}

async fn make_call(
    caller: Caller,
    address: SocketAddr,
    library: Arc<PromptLibrary>,
    planned: PlannedCall,
    window: RunWindow,
) -> Record {
    let call = library.call(&planned);
    let mut outcome = Outcome::unfinished();
    let completing = caller.complete_into(address, &call, &mut outcome);
    // A call that is given up keeps the outcome that it had reached.
    let _ = tokio::time::timeout_at(window.ends, completing).await;
    Record { call: planned, outcome }
}
