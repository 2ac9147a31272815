//! Schedules the polls of watched engines and the reads of the instance list.

use std::collections::BTreeMap;

use rand::Rng;
use rand::rngs::SmallRng;

use redwingrill_membership::Cluster;
use redwingrill_membership::UpstreamKey;

/// Period of list reads on a node that is one of the list readers.
const LIST_PERIOD_MS: u64 = 1_000;

/// Period of list reads on a node that has not found a peer.
const ISOLATED_LIST_PERIOD_MS: u64 = 10_000;

/// Time for which a node tries its seeds before it reads the list.
const ISOLATED_GRACE_MS: u64 = 3_000;

/// The due times of the next reads.
#[derive(Debug)]
pub(super) struct PollSchedule {
    engines: BTreeMap<UpstreamKey, u64>,
    list_read_ms: u64,
    // When a node without peers reads the list next.
    isolated_due_ms: u64,
    is_reading_list: bool,
    rng: SmallRng,
}

impl PollSchedule {
    pub fn new(now_ms: u64, mut rng: SmallRng) -> Self {
        let isolated_due_ms =
            now_ms + ISOLATED_GRACE_MS + rng.random_range(0..ISOLATED_LIST_PERIOD_MS);
        Self {
            engines: BTreeMap::new(),
            list_read_ms: 0,
            isolated_due_ms,
            is_reading_list: false,
            rng,
        }
    }

    /// Returns the watched engines that are due and schedules their next poll.
    pub fn engines_due(&mut self, now_ms: u64, cluster: &Cluster) -> Vec<UpstreamKey> {
        let period_ms = cluster.pacing().load_period_ms;
        let watched: Vec<UpstreamKey> = cluster.watched_engines().collect();
        self.engines.retain(|engine, _| watched.binary_search(engine).is_ok());
        let mut due = Vec::new();
        for engine in watched {
            // The first poll is jittered, so that new watches do not poll at the same time.
            let rng = &mut self.rng;
            let due_ms = self
                .engines
                .entry(engine)
                .or_insert_with(|| now_ms + rng.random_range(0..period_ms / 4));
            if now_ms >= *due_ms {
                *due_ms = now_ms + period_ms;
                due.push(engine);
            }
        }
        due
    }

    /// Returns whether a list read is due, and marks it as started if so.
    pub fn list_due(&mut self, now_ms: u64, cluster: &Cluster) -> bool {
        let is_isolated = cluster.usable_members().count() <= 1;
        let is_due = match is_isolated {
            true => now_ms >= self.isolated_due_ms,
            false => cluster.reads_instance_list() && now_ms >= self.list_read_ms + LIST_PERIOD_MS,
        };
        if self.is_reading_list || !is_due {
            return false;
        }
        let jitter_ms = self.rng.random_range(0..ISOLATED_LIST_PERIOD_MS);
        self.isolated_due_ms = now_ms + ISOLATED_LIST_PERIOD_MS + jitter_ms;
        self.list_read_ms = now_ms;
        self.is_reading_list = true;
        true
    }

    /// Records that the list read has ended.
    pub fn record_list_read(&mut self) {
        self.is_reading_list = false;
    }
}
