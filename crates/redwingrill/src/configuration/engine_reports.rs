//! Collects engine reports for the roll-out.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use redwingrill_entity::EntityMap;
use redwingrill_entity::UpstreamId;
use redwingrill_rollout::EngineReport;
use redwingrill_rollout::EngineReports;

/// Age at which a report is dropped, because its engine may no longer run.
const REPORT_TTL: Duration = Duration::from_secs(30);

/// Minimum time between two publications.
const PUBLISH_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct HubState {
    reports: EntityMap<UpstreamId, (EngineReport, Instant)>,
    published_at: Instant,
}

/// Collects reports and publishes them in batches. Clones share the reports.
#[derive(Clone, Debug)]
pub struct EngineReportHub {
    state: Arc<Mutex<HubState>>,
    published: Arc<watch::Sender<Arc<EngineReports>>>,
}

impl Default for EngineReportHub {
    fn default() -> Self {
        let state = HubState { reports: EntityMap::new(), published_at: Instant::now() };
        Self { state: Arc::new(Mutex::new(state)), published: Arc::default() }
    }
}

impl EngineReportHub {
    /// Records a report of an engine unless a newer one is known.
    pub fn observe(&self, engine: UpstreamId, report: EngineReport, observed: Instant) {
        let mut state = self.state.lock().expect("no thread panics while holding the lock");
        if state.reports.get(engine).is_some_and(|(_, known)| *known > observed) {
            return;
        }
        state.reports.insert(engine, (report, observed));
        if state.published_at.elapsed() < PUBLISH_PERIOD {
            return;
        }
        state.published_at = Instant::now();
        state.reports.retain(|_, (_, observed)| observed.elapsed() < REPORT_TTL);
        let snapshot = state.reports.iter().map(|(id, (report, _))| (id, *report)).collect();
        drop(state);
        self.published.send_replace(Arc::new(snapshot));
    }

    /// Subscribes to the published reports.
    pub fn subscribe(&self) -> watch::Receiver<Arc<EngineReports>> {
        self.published.subscribe()
    }
}
