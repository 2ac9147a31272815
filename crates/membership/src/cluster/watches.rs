//! Assignment of engines to watchers, and the engine loads that watchers publish.

use std::collections::BTreeMap;

use super::state::Cluster;
use crate::Digest;
use crate::EngineLevel;
use crate::EngineLevels;
use crate::EngineStart;
use crate::EngineWatch;
use crate::ItemKind;
use crate::MemberState;
use crate::NodeKey;
use crate::Payload;
use crate::UpstreamKey;
use crate::WatchList;
use crate::overlay::WatchPlan;
use crate::overlay::watchers_per_engine;

/// How long a watcher keeps polling after the plan reassigned its engine, while no new watcher
/// reports the engine.
const HANDOVER_TIMEOUT_MS: u64 = 10_000;

/// How long the plan must assign an engine to this node before it starts polling. A node that just
/// started knows few members, so its plan assigns it all engines.
const ASSIGNMENT_DELAY_MS: u64 = 3_000;

/// Minimum interval between publications of a changed watch list.
const WATCH_LIST_MIN_INTERVAL_MS: u64 = 2_000;

/// Interval between checks for assignments to start and handovers to complete.
const WATCH_UPDATE_PERIOD_MS: u64 = 1_000;

/// Loads are republished after this time even if unchanged, so that readers can tell that the
/// watcher is alive.
const LOAD_REFRESH_MS: u64 = 15_000;

/// Load periods, in addition to the refresh interval, after which a load expires.
const STALE_PERIODS: u64 = 4;

/// Number of nodes that read the platform's instance list on behalf of the fleet.
const INSTANCE_LIST_READERS: usize = 2;

/// The load of one engine, as published by its watcher.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct EngineLoad {
    /// The engine.
    pub engine: UpstreamKey,
    /// The engine's incarnation and weights; none while it does not respond to its watcher.
    pub start: Option<EngineStart>,
    /// The quantised load.
    pub level: EngineLevel,
    /// When this node received the load, in milliseconds of its monotonic clock.
    pub received_ms: u64,
}

/// A watch that the plan reassigned to other nodes.
#[derive(Clone, Debug)]
struct Handover {
    since_ms: u64,
    watchers: Vec<NodeKey>,
}

#[derive(Clone, Debug, Default)]
struct WatchState {
    start: Option<EngineStart>,
    level: EngineLevel,
    handover: Option<Handover>,
}

/// The configured engines, and the subset that this node watches.
#[derive(Clone, Debug, Default)]
pub struct Watches {
    engines: BTreeMap<UpstreamKey, String>,
    /// Engines that the plan assigns to this node, with the time of the assignment.
    assigned: BTreeMap<UpstreamKey, u64>,
    watched: BTreeMap<UpstreamKey, WatchState>,
    published: Vec<EngineWatch>,
    published_levels: Vec<EngineLevel>,
    published_ms: u64,
    updated_ms: u64,
    tag: u8,
    /// Whether this node reads the platform's instance list on behalf of the fleet.
    pub reads_instance_list: bool,
}

impl Watches {
    /// Returns the number of configured engines.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }
}

impl Cluster {
    /// Sets the engines of the configuration in force, with their failure domains.
    pub fn set_engines(&mut self, engines: impl IntoIterator<Item = (UpstreamKey, String)>) {
        self.watches.engines = engines.into_iter().collect();
        self.is_plan_stale = true;
    }

    /// Returns the engines that this node watches.
    pub fn watched_engines(&self) -> impl Iterator<Item = UpstreamKey> {
        self.watches.watched.keys().copied()
    }

    /// Records the load that a watched engine reported.
    pub fn record_load(&mut self, engine: UpstreamKey, start: EngineStart, level: EngineLevel) {
        if let Some(watched) = self.watches.watched.get_mut(&engine) {
            watched.start = Some(start);
            watched.level = level;
        }
    }

    /// Records that a watched engine did not respond to a poll.
    pub fn record_no_response(&mut self, engine: UpstreamKey) {
        if let Some(watched) = self.watches.watched.get_mut(&engine) {
            watched.start = None;
        }
    }

    pub(super) fn plan_watches(&mut self, now_ms: u64) {
        let plan = WatchPlan::new(&self.members);
        self.watches.reads_instance_list =
            plan.instance_list_readers(INSTANCE_LIST_READERS).contains(&self.key);
        let count = watchers_per_engine(self.watches.engines.len());
        let Watches { engines, assigned, watched, .. } = &mut self.watches;
        watched.retain(|engine, _| engines.contains_key(engine));
        assigned.retain(|engine, _| engines.contains_key(engine));
        let own_domain = &self.own_record.info.failure_domain;
        for (&engine, domain) in engines.iter() {
            let is_watched = watched.contains_key(&engine);
            if !is_watched && !plan.can_watch(own_domain, domain, count) {
                assigned.remove(&engine);
                continue;
            }
            let watchers = plan.watchers(engine, domain, count);
            if watchers.contains(&self.key) {
                assigned.entry(engine).or_insert(now_ms);
                if let Some(watched) = watched.get_mut(&engine) {
                    watched.handover = None;
                }
                continue;
            }
            assigned.remove(&engine);
            if let Some(watched) = watched.get_mut(&engine) {
                let since_ms =
                    watched.handover.as_ref().map_or(now_ms, |handover| handover.since_ms);
                watched.handover = Some(Handover { since_ms, watchers });
            }
        }
    }

    /// Starts watches that have been assigned for `ASSIGNMENT_DELAY_MS`, and ends those that other
    /// nodes have taken over.
    pub(super) fn update_watches(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.watches.updated_ms) < WATCH_UPDATE_PERIOD_MS {
            return;
        }
        self.watches.updated_ms = now_ms;
        let Watches { assigned, watched, .. } = &mut self.watches;
        for (&engine, &since_ms) in assigned.iter() {
            if now_ms.saturating_sub(since_ms) >= ASSIGNMENT_DELAY_MS {
                watched.entry(engine).or_default();
            }
        }
        let digest = &self.digest;
        self.watches.watched.retain(|&engine, watched| {
            let Some(handover) = &watched.handover else { return true };
            let is_taken_over =
                handover.watchers.iter().any(|&watcher| reports_engine(digest, watcher, engine));
            now_ms.saturating_sub(handover.since_ms) < HANDOVER_TIMEOUT_MS && !is_taken_over
        });
    }

    fn live_origins(&self) -> impl Iterator<Item = NodeKey> {
        let is_dead = |origin| {
            self.members.get(origin).is_some_and(|record| record.state == MemberState::Dead)
        };
        self.digest.origins().filter(move |&origin| !is_dead(origin))
    }

    pub(super) fn publish_due_loads(&mut self, now_ms: u64) {
        let watches = &mut self.watches;
        let age_ms = now_ms.saturating_sub(watches.published_ms);
        let is_due = age_ms >= self.pacing.load_period_ms || watches.published_ms == 0;
        if !is_due && age_ms < WATCH_LIST_MIN_INTERVAL_MS {
            return;
        }
        let list: Vec<EngineWatch> = watches
            .watched
            .iter()
            .map(|(&engine, watched)| EngineWatch { engine, start: watched.start })
            .collect();
        let levels: Vec<EngineLevel> =
            watches.watched.values().map(|watched| watched.level).collect();
        let is_list_changed = list != watches.published;
        let pairs = levels.iter().zip(&watches.published_levels);
        let is_level_changed =
            is_due && pairs.into_iter().any(|(level, published)| level.differs_from(*published));
        let is_refresh_due = age_ms >= LOAD_REFRESH_MS && !list.is_empty();
        if !(is_list_changed || is_level_changed || is_refresh_due) {
            return;
        }
        watches.published_ms = now_ms;
        watches.published = list.clone();
        watches.published_levels.clone_from(&levels);
        if is_list_changed {
            watches.tag = watches.tag.wrapping_add(1);
        }
        let tag = watches.tag;
        if is_list_changed {
            self.publish(now_ms, ItemKind::WatchList, WatchList { tag, engines: list }.encode());
        }
        let levels = EngineLevels { tag, levels };
        self.publish(now_ms, ItemKind::EngineLevels, levels.encode());
        self.changes.engines = true;
    }

    /// Returns the newest known load of each engine, in key order. Expired loads are left out.
    pub fn engine_loads(&self, now_ms: u64) -> BTreeMap<UpstreamKey, EngineLoad> {
        let limit_ms = LOAD_REFRESH_MS + STALE_PERIODS * self.pacing.load_period_ms;
        let mut loads = BTreeMap::new();
        for origin in self.live_origins() {
            let Some(received_ms) = self.digest.received_ms(origin, ItemKind::EngineLevels) else {
                continue;
            };
            if now_ms.saturating_sub(received_ms) <= limit_ms {
                self.add_loads(origin, received_ms, &mut loads);
            }
        }
        loads
    }

    fn add_loads(
        &self,
        origin: NodeKey,
        received_ms: u64,
        loads: &mut BTreeMap<UpstreamKey, EngineLoad>,
    ) {
        let Some(list) = self.digest.payload::<WatchList>(origin) else { return };
        let Some(levels) = self.digest.payload::<EngineLevels>(origin) else { return };
        // Levels are meaningful only together with the watch list of the same tag.
        if list.tag != levels.tag || list.engines.len() != levels.levels.len() {
            return;
        }
        for (watch, level) in list.engines.iter().zip(levels.levels) {
            let EngineWatch { engine, start } = *watch;
            let load = EngineLoad { engine, start, level, received_ms };
            let best = loads.entry(engine).or_insert(load);
            if preference(&load) > preference(best) {
                *best = load;
            }
        }
    }
}

fn reports_engine(digest: &Digest, watcher: NodeKey, engine: UpstreamKey) -> bool {
    let list: WatchList = digest.payload(watcher).unwrap_or_default();
    list.engines.iter().any(|watch| watch.engine == engine && watch.start.is_some())
}

/// Prefers loads of responding engines, then the most recently received.
fn preference(load: &EngineLoad) -> (bool, u64) {
    (load.start.is_some(), load.received_ms)
}
