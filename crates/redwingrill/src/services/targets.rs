//! Which upstreams of a service a call may go to, and in which order.
//!
//! An upstream that is drained or leaving gets no new call. One that just failed is tried last for
//! a while rather than left out: the fault may be that of a connection.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::time::Instant;

use crate::upstream::LeavingUpstreams;
use redwingrill_config::Service;
use redwingrill_config::Snapshot;
use redwingrill_config::Upstream;
use redwingrill_entity::EntityMap;
use redwingrill_entity::UpstreamId;

/// How long an upstream that failed is tried last.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);

/// An upstream that a call may go to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub id: UpstreamId,
    pub upstream: Upstream,
}

/// Chooses upstreams of services. Clones share what is known of failures.
#[derive(Clone, Debug)]
pub(super) struct Targets {
    leaving: LeavingUpstreams,
    failed_at: Arc<Mutex<EntityMap<UpstreamId, Instant>>>,
}

impl Targets {
    pub(super) fn new(leaving: LeavingUpstreams) -> Self {
        Self { leaving, failed_at: Arc::default() }
    }

    /// Returns the upstreams that take new work; `spread` picks the first of them.
    pub(super) fn candidates(
        &self,
        snapshot: &Snapshot,
        service: &Service,
        spread: u64,
    ) -> Vec<Target> {
        let leaving = self.leaving.get();
        let configured = service.upstreams.iter().filter_map(|&id| {
            let upstream = snapshot.state.upstreams.get(id)?.clone();
            Some(Target { id, upstream })
        });
        let takes_work =
            |target: &Target| !target.upstream.drained && !leaving.contains(&target.id);
        let mut targets: Vec<Target> = configured.filter(takes_work).collect();
        if !targets.is_empty() {
            let first = (spread % targets.len() as u64) as usize;
            targets.rotate_left(first);
        }
        targets
    }

    /// Moves upstreams that failed a short while ago to the end.
    pub(super) fn healthy_first(&self, targets: &mut [Target]) {
        let failed_at = self.failed_at.lock().expect("no holder panics");
        let is_failed = |target: &Target| {
            failed_at.get(target.id).is_some_and(|failed| failed.elapsed() < FAILURE_PENALTY)
        };
        // The sort is stable, so the order among equals stays.
        targets.sort_by_key(is_failed);
    }

    /// Notes that a call to an upstream failed.
    pub(super) fn record_failure(&self, upstream: UpstreamId) {
        self.failed_at.lock().expect("no holder panics").insert(upstream, Instant::now());
    }
}
