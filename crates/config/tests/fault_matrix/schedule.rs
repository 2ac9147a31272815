//! A schedule: faults that are injected at steps while operators apply, with checks of the
//! invariants.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::faulty_store::FaultTrigger;
use crate::faulty_store::NodeStore;
use crate::faulty_store::Step;
use crate::fleet::Fleet;
use crate::fleet::marker;
use crate::support::apply_text;
use crate::support::config_text;
use redwingrill_config::Applied;
use redwingrill_config::ApplyError;
use redwingrill_config::read_state;
use redwingrill_entity::Names;
use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::WriteFault;

pub const NODES: usize = 5;

/// A live connected node must have an accepted configuration in force within this time.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(9);

const TICK: Duration = Duration::from_millis(100);

/// The maximum duration of a schedule.
const SCHEDULE_LIMIT: Duration = Duration::from_secs(180);

/// The limits on the store calls of one node: burst and rate.
const CALL_BURST: f64 = 40.0;
const CALLS_PER_S: f64 = 2.0;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    StoreDown,
    StoreFrozen,
    StoreSlow,
    ResponsesLost,
    RequestsLost,
    WatchesSilent,
    StoreRestored,
    Paused,
    Killed,
    FleetRestart,
    StorePartitioned,
    PeersIsolated,
    Reordered,
    OperatorRace,
}

pub const FAULTS: &[Fault] = &[
    Fault::StoreDown,
    Fault::StoreFrozen,
    Fault::StoreSlow,
    Fault::ResponsesLost,
    Fault::RequestsLost,
    Fault::WatchesSilent,
    Fault::StoreRestored,
    Fault::Paused,
    Fault::Killed,
    Fault::FleetRestart,
    Fault::StorePartitioned,
    Fault::PeersIsolated,
    Fault::Reordered,
    Fault::OperatorRace,
];

/// A fault, the step at which it is injected, its duration, and the node it affects if it affects
/// only one.
#[derive(Clone, Copy, Debug)]
pub struct Injection {
    pub fault: Fault,
    pub step: Step,
    pub duration_ms: u64,
    pub node: usize,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub injections: Vec<Injection>,
}

/// The counts of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Summary {
    pub injected: usize,
    pub accepted: usize,
    pub refused: usize,
    pub unknown: usize,
    pub overwritten: usize,
    pub calls_per_s: f64,
}

/// A configuration that was reported to an operator as accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedConfig {
    marker: u64,
    generation: u64,
    reported_at: Instant,
}

/// The results that were reported to operators.
#[derive(Debug, Default)]
struct OperatorResults {
    last_marker: u64,
    // Whether generations give the order of acceptance, as they do unless the store is restored
    // from an old copy. The order of reports does not: an operator may receive its result late.
    ordered_by_generation: bool,
    accepted: Vec<AcceptedConfig>,
    refused: Vec<u64>,
    unknown: Vec<u64>,
    running: usize,
}

type SharedResults = Arc<Mutex<OperatorResults>>;

async fn run_operator(store: NodeStore, results: SharedResults) {
    const ATTEMPTS: usize = 8;
    for _ in 0..ATTEMPTS {
        let marker = next_marker(&results);
        store.trigger.reach(Step::Validate).await;
        let result = apply_text(&store, &config_text(3, marker), marker).await;
        if record_result(&results, marker, &result) {
            break;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    results.lock().expect("no thread panics while holding the lock").running -= 1;
}

fn next_marker(results: &SharedResults) -> u64 {
    let mut results = results.lock().expect("no thread panics while holding the lock");
    results.last_marker += 1;
    results.last_marker
}

/// Records an operator's result. Returns whether its configuration was accepted.
fn record_result(
    results: &SharedResults,
    marker: u64,
    result: &Result<Applied, ApplyError>,
) -> bool {
    let mut results = results.lock().expect("no thread panics while holding the lock");
    match result {
        Ok(applied) => {
            let generation = applied.generation.0;
            let earlier = |other: &AcceptedConfig| other.generation < generation;
            let last = results.accepted.len();
            let index = if results.ordered_by_generation {
                results.accepted.partition_point(earlier)
            } else {
                last
            };
            results
                .accepted
                .insert(index, AcceptedConfig { marker, generation, reported_at: Instant::now() });
        }
        Err(ApplyError::OutcomeUnknown { .. }) => results.unknown.push(marker),
        Err(_) => results.refused.push(marker),
    }
    result.is_ok()
}

pub struct Driver<'a> {
    schedule: &'a Schedule,
    fleet: Fleet,
    results: SharedResults,
    injected: mpsc::UnboundedReceiver<(usize, oneshot::Sender<()>)>,
    recoveries: Vec<(Instant, usize)>,
    started: Instant,
    summary: Summary,
    // Accepted markers that the faults removed from the store and from all nodes.
    overwritten: Vec<u64>,
}

/// Runs a schedule and checks the invariants at each tick. Panics if one is violated.
pub async fn run(schedule: &Schedule) -> Summary {
    let (trigger, injected) = FaultTrigger::new();
    let store = MemoryStore::new();
    let mut driver = Driver {
        schedule,
        fleet: Fleet::start(store.clone(), trigger.clone(), NODES, schedule.seed),
        results: SharedResults::default(),
        injected,
        recoveries: Vec::new(),
        started: Instant::now(),
        summary: Summary::default(),
        overwritten: Vec::new(),
    };
    driver.results.lock().expect("no thread panics while holding the lock").ordered_by_generation =
        !driver.has_fault(Fault::StoreRestored);
    driver.start_operator();
    driver.run_until_settled().await;
    store.save();
    for (index, injection) in schedule.injections.iter().enumerate() {
        trigger.arm(injection.step, index);
    }
    driver.start_operator();
    driver.run_until_settled().await;
    driver.finish().await
}

impl Driver<'_> {
    fn start_operator(&self) {
        self.results.lock().expect("no thread panics while holding the lock").running += 1;
        let store = NodeStore::new(self.fleet.store.clone(), self.fleet.trigger.clone());
        tokio::spawn(run_operator(store, self.results.clone()));
    }

    /// Advances time until all operators are done, all faults are cleared, and nodes had time to
    /// converge.
    async fn run_until_settled(&mut self) {
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() <= IN_FORCE_LIMIT + TICK {
            let busy =
                self.results.lock().expect("no thread panics while holding the lock").running > 0;
            if busy || !self.recoveries.is_empty() {
                quiet_since = Instant::now();
            }
            assert!(self.started.elapsed() < SCHEDULE_LIMIT, "{:?}: did not end", self.schedule);
            self.tick().await;
        }
    }

    async fn tick(&mut self) {
        let until = Instant::now() + TICK;
        loop {
            tokio::select! {
                biased;
                injected = self.injected.recv() => {
                    let (index, done) = injected.expect("the fleet owns a sender");
                    self.inject(index);
                    self.record_overwritten().await;
                    // Sending fails if the waiting node was killed.
                    let _ = done.send(());
                }
                () = tokio::time::sleep_until(until) => break,
            }
        }
        let now = Instant::now();
        let due: Vec<usize> =
            self.recoveries.iter().filter(|(t, _)| *t <= now).map(|h| h.1).collect();
        self.recoveries.retain(|(time, _)| *time > now);
        due.into_iter().for_each(|index| self.recover(index));
        self.record_overwritten().await;
        self.check();
    }

    fn inject(&mut self, index: usize) {
        let injection = self.schedule.injections[index];
        self.summary.injected += 1;
        self.recoveries
            .push((Instant::now() + Duration::from_millis(injection.duration_ms), index));
        let node = injection.node;
        match injection.fault {
            Fault::StoreDown => self.change_store_faults(|f| f.down = true),
            Fault::StoreFrozen => self.change_store_faults(|f| f.frozen = true),
            Fault::StoreSlow => self.change_store_faults(|f| f.delay = Duration::from_millis(800)),
            Fault::ResponsesLost => self.change_store_faults(|f| f.write = WriteFault::LoseAnswer),
            Fault::RequestsLost => self.change_store_faults(|f| f.write = WriteFault::LoseCall),
            Fault::WatchesSilent => self.change_store_faults(|f| f.silent_watches = true),
            Fault::StoreRestored => self.fleet.store.restore(),
            Fault::Paused => self.fleet.set_node_faults(node, |f| f.paused = true),
            Fault::Killed => self.fleet.kill_node(node),
            Fault::FleetRestart => (0..NODES).for_each(|index| self.fleet.kill_node(index)),
            Fault::StorePartitioned => self.fleet.set_node_faults(node, |f| f.partitioned = true),
            Fault::PeersIsolated => {
                (0..NODES).for_each(|index| self.fleet.set_isolated(index, true))
            }
            Fault::Reordered => {
                (0..NODES).for_each(|index| self.fleet.set_node_faults(index, |f| f.stale = true));
            }
            Fault::OperatorRace => self.start_operator(),
        }
    }

    fn recover(&mut self, index: usize) {
        let injection = self.schedule.injections[index];
        let node = injection.node;
        match injection.fault {
            Fault::StoreDown => self.change_store_faults(|f| f.down = false),
            Fault::StoreFrozen => self.change_store_faults(|f| f.frozen = false),
            Fault::StoreSlow => self.change_store_faults(|f| f.delay = Duration::ZERO),
            Fault::ResponsesLost | Fault::RequestsLost => {
                self.change_store_faults(|f| f.write = WriteFault::None);
            }
            Fault::WatchesSilent => self.change_store_faults(|f| f.silent_watches = false),
            Fault::Paused => self.fleet.set_node_faults(node, |f| f.paused = false),
            Fault::Killed => self.restart(node),
            Fault::FleetRestart => (0..NODES).for_each(|index| self.restart(index)),
            Fault::StorePartitioned => self.fleet.set_node_faults(node, |f| f.partitioned = false),
            Fault::PeersIsolated => {
                (0..NODES).for_each(|index| self.fleet.set_isolated(index, false))
            }
            Fault::Reordered => {
                (0..NODES).for_each(|index| self.fleet.set_node_faults(index, |f| f.stale = false));
            }
            Fault::StoreRestored | Fault::OperatorRace => {}
        }
    }

    fn restart(&mut self, index: usize) {
        if !self.fleet.nodes[index].is_running() {
            self.fleet.start_node(index);
        }
    }

    fn change_store_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.fleet.store.faults();
        change(&mut faults);
        self.fleet.store.set_faults(faults);
    }

    fn has_fault(&self, fault: Fault) -> bool {
        self.schedule.injections.iter().any(|injection| injection.fault == fault)
    }

    /// Records accepted markers that neither the store nor any node has any more.
    async fn record_overwritten(&mut self) {
        if !self.has_fault(Fault::StoreRestored) {
            return;
        }
        let stored = self.stored_marker().await;
        let is_present = |marker: u64| {
            let nodes = self.fleet.nodes.iter().filter_map(|node| node.in_force());
            stored == marker || nodes.into_iter().any(|(_, in_force)| in_force == marker)
        };
        let results = self.results.lock().expect("no thread panics while holding the lock");
        let last = results.accepted.last().map(|last| last.marker);
        if let Some(marker) =
            last.filter(|&marker| !is_present(marker) && !self.overwritten.contains(&marker))
        {
            self.overwritten.push(marker);
        }
    }

    /// Reads the store's marker with all faults suspended.
    async fn stored_marker(&self) -> u64 {
        let faults = self.fleet.store.faults();
        let silent_watches = faults.silent_watches;
        self.fleet.store.set_faults(Faults { silent_watches, ..Faults::default() });
        let read = read_state(&self.fleet.store, &mut Names::default()).await;
        self.fleet.store.set_faults(faults);
        read.ok().flatten().map_or(0, |(_, state)| marker(&state))
    }

    fn check(&mut self) {
        let now = Instant::now();
        let store = self.fleet.store.faults();
        let writes_impaired =
            self.has_fault(Fault::StoreRestored) && store.write != WriteFault::None;
        let store_impaired = store.down || store.frozen || writes_impaired;
        let store_restored = self.has_fault(Fault::StoreRestored);
        self.fleet.check_observers();
        let results = self.results.lock().expect("no thread panics while holding the lock");
        let due = results
            .accepted
            .iter()
            .rposition(|accepted| now - accepted.reported_at >= IN_FORCE_LIMIT);
        for (index, node) in self.fleet.nodes.iter_mut().enumerate() {
            let faults = node.faults();
            if store_impaired || faults.partitioned || faults.paused || !node.is_running() {
                node.impaired_at = now;
            }
            let Some((generation, marker)) = node.in_force() else { continue };
            let name = format!(
                "node {index} at {:?} of {:?}: {results:?}",
                self.started.elapsed(),
                self.schedule
            );
            assert!(!results.refused.contains(&marker), "refused marker {marker} in force; {name}");
            let unimpaired = now - node.impaired_at;
            let decreased = generation < node.highest_generation && unimpaired >= IN_FORCE_LIMIT;
            assert!(
                store_restored || !decreased,
                "{generation} after {}; {name}",
                node.highest_generation
            );
            node.highest_generation = node.highest_generation.max(generation);
            let Some(due) = due.filter(|_| unimpaired >= IN_FORCE_LIMIT) else { continue };
            let allowed_markers: Vec<u64> =
                results.accepted[due..].iter().map(|accepted| accepted.marker).collect();
            // Its operator has received no result yet, or the outcome is unknown.
            let undecided = results.accepted.iter().all(|accepted| accepted.marker != marker);
            let all_overwritten =
                allowed_markers.iter().all(|marker| self.overwritten.contains(marker));
            assert!(
                allowed_markers.contains(&marker) || undecided || all_overwritten,
                "unexpected marker {marker}; {name}"
            );
        }
    }

    async fn finish(mut self) -> Summary {
        let stored = self.stored_marker().await;
        let results = self.results.lock().expect("no thread panics while holding the lock");
        let last = results
            .accepted
            .last()
            .map(|last| last.marker)
            .expect("at least one apply was accepted");
        let is_expected =
            stored == last || results.unknown.contains(&stored) || self.overwritten.contains(&last);
        assert!(
            is_expected,
            "unexpected marker {stored} in the store: {results:?} {:?}",
            self.schedule
        );
        let in_force: Vec<_> = self.fleet.nodes.iter().map(|node| node.in_force()).collect();
        let all_equal = in_force.iter().all(|one| *one == in_force[0] && one.is_some());
        assert!(all_equal, "{in_force:?} {results:?} {:?}", self.schedule);
        let elapsed_s = self.started.elapsed().as_secs_f64();
        for node in &self.fleet.nodes {
            let calls = node.calls() as f64;
            let calls_limit = CALL_BURST + CALLS_PER_S * elapsed_s;
            assert!(calls <= calls_limit, "{calls} calls in {elapsed_s} s: {:?}", self.schedule);
            self.summary.calls_per_s = self.summary.calls_per_s.max(calls / elapsed_s);
        }
        self.summary.accepted = results.accepted.len();
        self.summary.refused = results.refused.len();
        self.summary.unknown = results.unknown.len();
        self.summary.overwritten = self.overwritten.len();
        self.summary
    }
}
