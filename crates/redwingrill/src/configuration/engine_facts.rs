//! The reports of engines, gathered for the roll-out.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use redwingrill_entity::EntityMap;
use redwingrill_entity::UpstreamId;
use redwingrill_rollout::EngineReport;
use redwingrill_rollout::EngineReports;

/// Reports older than this are of engines that may be gone.
const KEPT: Duration = Duration::from_secs(30);

/// Reports are published at most this often.
const PUBLISHED_EVERY: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Gathered {
    reports: EntityMap<UpstreamId, (EngineReport, Instant)>,
    published_at: Instant,
}

/// Gathers reports and publishes them together. Clones share the reports.
#[derive(Clone, Debug)]
pub struct EngineFactsHub {
    gathered: Arc<Mutex<Gathered>>,
    published: Arc<watch::Sender<Arc<EngineReports>>>,
}

impl Default for EngineFactsHub {
    fn default() -> Self {
        let gathered = Gathered { reports: EntityMap::new(), published_at: Instant::now() };
        Self { gathered: Arc::new(Mutex::new(gathered)), published: Arc::default() }
    }
}

impl EngineFactsHub {
    /// Takes a report of an engine. An older one never replaces a newer.
    pub fn observe(&self, engine: UpstreamId, fact: EngineReport, observed: Instant) {
        let mut gathered = self.gathered.lock().expect("no holder panics");
        if gathered.reports.get(engine).is_some_and(|(_, known)| *known > observed) {
            return;
        }
        gathered.reports.insert(engine, (fact, observed));
        if gathered.published_at.elapsed() < PUBLISHED_EVERY {
            return;
        }
        gathered.published_at = Instant::now();
        gathered.reports.retain(|_, (_, observed)| observed.elapsed() < KEPT);
        let facts = gathered.reports.iter().map(|(id, (fact, _))| (id, *fact)).collect();
        drop(gathered);
        self.published.send_replace(Arc::new(facts));
    }

    /// Returns a reader of the reports.
    pub fn subscribe(&self) -> watch::Receiver<Arc<EngineReports>> {
        self.published.subscribe()
    }
}
