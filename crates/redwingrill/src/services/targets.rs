//! Selection of the upstreams of a service for a call.
//!
//! A drained or leaving upstream gets no new calls. An upstream that failed recently is tried last
//! rather than excluded, because the failure may be limited to one connection.

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

/// How long an upstream is tried last after a failure.
const FAILURE_PENALTY: Duration = Duration::from_secs(2);

/// An upstream that a call may be sent to.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub id: UpstreamId,
    pub upstream: Upstream,
}

/// When an upstream is tried.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetStanding {
    /// Before those that failed recently.
    First,
    /// After the others, as it failed recently.
    Last,
    /// Never: it is drained or leaves.
    Closed,
}

/// Selects upstreams of services. Clones share the recorded failures.
#[derive(Clone, Debug)]
pub(super) struct Targets {
    leaving: LeavingUpstreams,
    failed_at: Arc<Mutex<EntityMap<UpstreamId, Instant>>>,
}

impl Targets {
    pub(super) fn new(leaving: LeavingUpstreams) -> Self {
        Self { leaving, failed_at: Arc::default() }
    }

    /// Returns the upstreams that accept new calls, rotated so that `spread` selects the first.
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

    /// Returns the upstreams of a service and whether each of them is tried first, last or never.
    pub(super) fn standings(
        &self,
        snapshot: &Snapshot,
        service: &Service,
    ) -> Vec<(UpstreamId, TargetStanding)> {
        let open = self.candidates(snapshot, service, 0);
        let standing = |id: UpstreamId| match open.iter().find(|target| target.id == id) {
            None => TargetStanding::Closed,
            Some(_) if self.has_failed(id) => TargetStanding::Last,
            Some(_) => TargetStanding::First,
        };
        service.upstreams.iter().map(|&id| (id, standing(id))).collect()
    }

    fn has_failed(&self, upstream: UpstreamId) -> bool {
        let failed_at = self.failed_at.lock().expect("no thread panics while holding the lock");
        is_failed(&failed_at, upstream)
    }

    /// Moves upstreams that failed recently to the end.
    pub(super) fn healthy_first(&self, targets: &mut [Target]) {
        let failed_at = self.failed_at.lock().expect("no thread panics while holding the lock");
        // The sort is stable, which keeps the rotation among healthy upstreams.
        targets.sort_by_key(|target| is_failed(&failed_at, target.id));
    }

    /// Records that a call to an upstream failed.
    pub(super) fn record_failure(&self, upstream: UpstreamId) {
        self.failed_at
            .lock()
            .expect("no thread panics while holding the lock")
            .insert(upstream, Instant::now());
    }
}

fn is_failed(failed_at: &EntityMap<UpstreamId, Instant>, upstream: UpstreamId) -> bool {
    failed_at.get(upstream).is_some_and(|failed| failed.elapsed() < FAILURE_PENALTY)
}
