//! Upstreams whose earlier write the store does late.

use std::time::Duration;

use tokio::time::Instant;

use super::check::Finding;
use super::plan::Fault;
use super::plan::Plan;
use crate::site_upstream::SiteUpstream;

/// The start of the upstreams, and the numbers of their writes.
const STARTED_UNIX_MS: u64 = 1_784_560_148_047;
const LATE_SEQUENCE: u64 = 2;
const DRAINING_SEQUENCE: u64 = 5;

/// How long after the late write requests are judged: nodes have seen it, and an upstream that is alive
/// would not have had to write again.
const JUDGED: Duration = Duration::from_millis(1_000);

/// How long a disturbance counts after it struck: a little longer than the longest one lasts.
const DISTURBED: Duration = Duration::from_millis(3_500);

/// Lets an upstream say that it drains.
pub(super) fn drain(upstream: &SiteUpstream) {
    upstream.list_numbered("draining", STARTED_UNIX_MS, DRAINING_SEQUENCE);
}

/// Does its earlier write.
pub(super) fn write_late(upstream: &SiteUpstream) {
    upstream.list_numbered("ready", STARTED_UNIX_MS, LATE_SEQUENCE);
}

/// Checks that no request went to a draining upstream after the late write, in a run that began at
/// `began`. Runs whose nodes, or whose way to the store, were disturbed meanwhile tell nothing.
pub(super) fn check_late_writes(
    plan: &Plan,
    began: Instant,
    upstreams: &[SiteUpstream],
) -> Vec<Finding> {
    let late_writes = plan.faults.iter().filter_map(|(at, fault)| match fault {
        Fault::LateWrite(upstream, late) => Some((*at, *upstream, *late)),
        _ => None,
    });
    let findings = late_writes.filter_map(|(at, upstream, late)| {
        let (done_at, until) = (at + late, at + late + JUDGED);
        let is_disturbed = plan.faults.iter().any(|(other_at, fault)| {
            disturbs(fault, upstream) && *other_at < until && *other_at + DISTURBED > at
        });
        if is_disturbed {
            return None;
        }
        let judged = began + done_at..began + until;
        let seen = upstreams[upstream].seen();
        let arrived = seen.iter().filter(|request| judged.contains(&request.arrived)).count();
        let seen = format!("{arrived} requests at a draining upstream after an earlier write");
        (arrived > 0).then_some(Finding { rule: "late write", seen })
    });
    findings.collect()
}

fn disturbs(fault: &Fault, upstream: usize) -> bool {
    match fault {
        Fault::Kill(_)
        | Fault::KillAll
        | Fault::Stop(_)
        | Fault::Pause(..)
        | Fault::Link(..)
        | Fault::Store(..)
        | Fault::Forgets
        | Fault::Restored { .. } => true,
        Fault::Leaves(other, _) | Fault::Lapses(other, _) | Fault::Retires(other, _) => {
            *other == upstream
        }
        _ => false,
    }
}
