//! One schedule: faults that strike at steps while operators apply, and what must hold throughout.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::faulty::NodeStore;
use crate::faulty::Step;
use crate::faulty::Trip;
use crate::fleet::Fleet;
use crate::fleet::mark;
use crate::support::apply_text;
use crate::support::site;
use redwingrill_config::Applied;
use redwingrill_config::ApplyError;
use redwingrill_config::read_state;
use redwingrill_entity::Names;
use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::WriteFault;

pub const NODES: usize = 5;

/// A live connected node has an accepted configuration in force within this time.
const IN_FORCE: Duration = Duration::from_secs(9);

const TICK: Duration = Duration::from_millis(100);

/// No schedule takes longer.
const LONGEST: Duration = Duration::from_secs(180);

/// The calls of one node: what it may make at once, and each second.
const CALL_BURST: f64 = 40.0;
const CALLS_PER_S: f64 = 2.0;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Fault {
    StoreDown,
    StoreFrozen,
    StoreSlow,
    AnswersLost,
    CallsLost,
    WatchesSilent,
    OldCopy,
    Paused,
    Killed,
    HerdRestart,
    StoreCut,
    PeersGone,
    Reordered,
    Race,
}

pub const FAULTS: &[Fault] = &[
    Fault::StoreDown,
    Fault::StoreFrozen,
    Fault::StoreSlow,
    Fault::AnswersLost,
    Fault::CallsLost,
    Fault::WatchesSilent,
    Fault::OldCopy,
    Fault::Paused,
    Fault::Killed,
    Fault::HerdRestart,
    Fault::StoreCut,
    Fault::PeersGone,
    Fault::Reordered,
    Fault::Race,
];

/// A fault, the step it strikes at, how long it lasts and the node that it concerns, if it is one.
#[derive(Clone, Copy, Debug)]
pub struct Strike {
    pub fault: Fault,
    pub step: Step,
    pub lasts_ms: u64,
    pub node: usize,
}

#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub strikes: Vec<Strike>,
}

/// What came of a schedule.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub struck: usize,
    pub accepted: usize,
    pub refused: usize,
    pub unknown: usize,
    pub destroyed: usize,
    pub calls_per_s: f64,
}

/// A configuration that an operator was told is accepted.
#[derive(Clone, Copy, Debug)]
struct Acceptance {
    mark: u64,
    generation: u64,
    told_at: Instant,
}

/// What operators were told.
#[derive(Debug, Default)]
struct Told {
    next_mark: u64,
    // Generations tell the order of acceptance, unless an old copy takes them back. An operator may
    // be told late.
    by_generation: bool,
    accepted: Vec<Acceptance>,
    refused: Vec<u64>,
    unknown: Vec<u64>,
    running: usize,
}

type Log = Arc<Mutex<Told>>;

async fn operate(store: NodeStore, log: Log) {
    const ATTEMPTS: usize = 8;
    for _ in 0..ATTEMPTS {
        let mark = draw_mark(&log);
        store.trip.hit(Step::Validate).await;
        let result = apply_text(&store, &site(3, mark), mark).await;
        if note_result(&log, mark, &result) {
            break;
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    log.lock().expect("no holder panics").running -= 1;
}

fn draw_mark(log: &Log) -> u64 {
    let mut told = log.lock().expect("no holder panics");
    told.next_mark += 1;
    told.next_mark
}

/// Notes what an operator was told. Returns whether its configuration was accepted.
fn note_result(log: &Log, mark: u64, result: &Result<Applied, ApplyError>) -> bool {
    let mut told = log.lock().expect("no holder panics");
    match result {
        Ok(applied) => {
            let generation = applied.generation.0;
            let earlier = |other: &Acceptance| other.generation < generation;
            let last = told.accepted.len();
            let at = if told.by_generation { told.accepted.partition_point(earlier) } else { last };
            told.accepted.insert(at, Acceptance { mark, generation, told_at: Instant::now() });
        }
        Err(ApplyError::OutcomeUnknown { .. }) => told.unknown.push(mark),
        Err(_) => told.refused.push(mark),
    }
    result.is_ok()
}

pub struct Driver<'a> {
    schedule: &'a Schedule,
    fleet: Fleet,
    log: Log,
    struck: mpsc::UnboundedReceiver<(usize, oneshot::Sender<()>)>,
    heals: Vec<(Instant, usize)>,
    started: Instant,
    tally: Tally,
    // Accepted marks that the faults left nobody to hold.
    destroyed: Vec<u64>,
}

/// Runs a schedule and checks the invariants at each tick.
pub async fn run(schedule: &Schedule) -> Tally {
    let (trip, struck) = Trip::new();
    let store = MemoryStore::new();
    let mut driver = Driver {
        schedule,
        fleet: Fleet::start(store.clone(), trip.clone(), NODES, schedule.seed),
        log: Log::default(),
        struck,
        heals: Vec::new(),
        started: Instant::now(),
        tally: Tally::default(),
        destroyed: Vec::new(),
    };
    driver.log.lock().expect("no holder panics").by_generation = !driver.has(Fault::OldCopy);
    driver.start_operator();
    driver.settle().await;
    store.save();
    for (at, strike) in schedule.strikes.iter().enumerate() {
        trip.arm(strike.step, at);
    }
    driver.start_operator();
    driver.settle().await;
    driver.finish().await
}

impl Driver<'_> {
    fn start_operator(&self) {
        self.log.lock().expect("no holder panics").running += 1;
        let store = NodeStore::new(self.fleet.store.clone(), self.fleet.trip.clone());
        tokio::spawn(operate(store, self.log.clone()));
    }

    /// Ticks until operators are done, faults are healed, and the time for convergence is over.
    async fn settle(&mut self) {
        let mut quiet_since = Instant::now();
        while quiet_since.elapsed() <= IN_FORCE + TICK {
            let busy = self.log.lock().expect("no holder panics").running > 0;
            if busy || !self.heals.is_empty() {
                quiet_since = Instant::now();
            }
            assert!(self.started.elapsed() < LONGEST, "{:?}: no end", self.schedule);
            self.tick().await;
        }
    }

    async fn tick(&mut self) {
        let until = Instant::now() + TICK;
        loop {
            tokio::select! {
                biased;
                struck = self.struck.recv() => {
                    let (at, done) = struck.expect("the fleet lives");
                    self.strike(at);
                    self.note_destroyed().await;
                    // A node that was killed waits no more.
                    let _ = done.send(());
                }
                () = tokio::time::sleep_until(until) => break,
            }
        }
        let now = Instant::now();
        let due: Vec<usize> = self.heals.iter().filter(|(t, _)| *t <= now).map(|h| h.1).collect();
        self.heals.retain(|(time, _)| *time > now);
        due.into_iter().for_each(|at| self.heal(at));
        self.note_destroyed().await;
        self.check();
    }

    fn strike(&mut self, at: usize) {
        let strike = self.schedule.strikes[at];
        self.tally.struck += 1;
        self.heals.push((Instant::now() + Duration::from_millis(strike.lasts_ms), at));
        let node = strike.node;
        match strike.fault {
            Fault::StoreDown => self.store_faults(|f| f.down = true),
            Fault::StoreFrozen => self.store_faults(|f| f.frozen = true),
            Fault::StoreSlow => self.store_faults(|f| f.delay = Duration::from_millis(800)),
            Fault::AnswersLost => self.store_faults(|f| f.write = WriteFault::LoseResponse),
            Fault::CallsLost => self.store_faults(|f| f.write = WriteFault::LoseRequest),
            Fault::WatchesSilent => self.store_faults(|f| f.silent_watches = true),
            Fault::OldCopy => self.fleet.store.restore(),
            Fault::Paused => self.fleet.set_node_faults(node, |f| f.paused = true),
            Fault::Killed => self.fleet.kill_node(node),
            Fault::HerdRestart => (0..NODES).for_each(|at| self.fleet.kill_node(at)),
            Fault::StoreCut => self.fleet.set_node_faults(node, |f| f.cut = true),
            Fault::PeersGone => (0..NODES).for_each(|at| self.fleet.set_alone(at, true)),
            Fault::Reordered => {
                (0..NODES).for_each(|at| self.fleet.set_node_faults(at, |f| f.stale = true));
            }
            Fault::Race => self.start_operator(),
        }
    }

    fn heal(&mut self, at: usize) {
        let strike = self.schedule.strikes[at];
        let node = strike.node;
        match strike.fault {
            Fault::StoreDown => self.store_faults(|f| f.down = false),
            Fault::StoreFrozen => self.store_faults(|f| f.frozen = false),
            Fault::StoreSlow => self.store_faults(|f| f.delay = Duration::ZERO),
            Fault::AnswersLost | Fault::CallsLost => {
                self.store_faults(|f| f.write = WriteFault::None);
            }
            Fault::WatchesSilent => self.store_faults(|f| f.silent_watches = false),
            Fault::Paused => self.fleet.set_node_faults(node, |f| f.paused = false),
            Fault::Killed => self.restart(node),
            Fault::HerdRestart => (0..NODES).for_each(|at| self.restart(at)),
            Fault::StoreCut => self.fleet.set_node_faults(node, |f| f.cut = false),
            Fault::PeersGone => (0..NODES).for_each(|at| self.fleet.set_alone(at, false)),
            Fault::Reordered => {
                (0..NODES).for_each(|at| self.fleet.set_node_faults(at, |f| f.stale = false));
            }
            Fault::OldCopy | Fault::Race => {}
        }
    }

    fn restart(&mut self, at: usize) {
        if !self.fleet.nodes[at].is_running() {
            self.fleet.start_node(at);
        }
    }

    fn store_faults(&self, change: impl FnOnce(&mut Faults)) {
        let mut faults = self.fleet.store.faults();
        change(&mut faults);
        self.fleet.store.set_faults(faults);
    }

    fn has(&self, fault: Fault) -> bool {
        self.schedule.strikes.iter().any(|strike| strike.fault == fault)
    }

    /// Notes accepted marks that neither the store nor any node holds any more.
    async fn note_destroyed(&mut self) {
        if !self.has(Fault::OldCopy) {
            return;
        }
        let stored = self.stored_mark().await;
        let held = |mark: u64| {
            let nodes = self.fleet.nodes.iter().filter_map(|node| node.in_force());
            stored == mark || nodes.into_iter().any(|(_, in_force)| in_force == mark)
        };
        let told = self.log.lock().expect("no holder panics");
        let last = told.accepted.last().map(|last| last.mark);
        if let Some(mark) = last.filter(|&mark| !held(mark) && !self.destroyed.contains(&mark)) {
            self.destroyed.push(mark);
        }
    }

    /// Reads the store's mark past all faults.
    async fn stored_mark(&self) -> u64 {
        let faults = self.fleet.store.faults();
        let silent_watches = faults.silent_watches;
        self.fleet.store.set_faults(Faults { silent_watches, ..Faults::default() });
        let read = read_state(&self.fleet.store, &mut Names::default()).await;
        self.fleet.store.set_faults(faults);
        read.ok().flatten().map_or(0, |(_, state)| mark(&state))
    }

    fn check(&mut self) {
        let now = Instant::now();
        let store = self.fleet.store.faults();
        let writes_matter = self.has(Fault::OldCopy) && store.write != WriteFault::None;
        let store_impaired = store.down || store.frozen || writes_matter;
        let old_copy = self.has(Fault::OldCopy);
        self.fleet.check_observers();
        let told = self.log.lock().expect("no holder panics");
        let due = told.accepted.iter().rposition(|accepted| now - accepted.told_at >= IN_FORCE);
        for (at, node) in self.fleet.nodes.iter_mut().enumerate() {
            let faults = node.faults();
            if store_impaired || faults.cut || faults.paused || !node.is_running() {
                node.impaired_at = now;
            }
            let Some((generation, mark)) = node.in_force() else { continue };
            let name = format!(
                "node {at} at {:?} of {:?}: {told:?}",
                self.started.elapsed(),
                self.schedule
            );
            assert!(!told.refused.contains(&mark), "refused mark {mark} in force; {name}");
            let unimpaired = now - node.impaired_at;
            let went_down = generation < node.highest && unimpaired >= IN_FORCE;
            assert!(old_copy || !went_down, "{generation} after {}; {name}", node.highest);
            node.highest = node.highest.max(generation);
            let Some(due) = due.filter(|_| unimpaired >= IN_FORCE) else { continue };
            let wanted: Vec<u64> =
                told.accepted[due..].iter().map(|accepted| accepted.mark).collect();
            // Its operator was told nothing yet, or that the outcome is unknown.
            let undecided = told.accepted.iter().all(|accepted| accepted.mark != mark);
            let lost = wanted.iter().all(|mark| self.destroyed.contains(mark));
            assert!(wanted.contains(&mark) || undecided || lost, "mark {mark}; {name}");
        }
    }

    async fn finish(mut self) -> Tally {
        let stored = self.stored_mark().await;
        let told = self.log.lock().expect("no holder panics");
        let last = told
            .accepted
            .last()
            .map(|last| last.mark)
            .expect("an operator came through in the end");
        let fine =
            stored == last || told.unknown.contains(&stored) || self.destroyed.contains(&last);
        assert!(fine, "the store holds {stored}: {told:?} {:?}", self.schedule);
        let in_force: Vec<_> = self.fleet.nodes.iter().map(|node| node.in_force()).collect();
        let same = in_force.iter().all(|one| *one == in_force[0] && one.is_some());
        assert!(same, "{in_force:?} {told:?} {:?}", self.schedule);
        let elapsed_s = self.started.elapsed().as_secs_f64();
        for node in &self.fleet.nodes {
            let calls = node.calls() as f64;
            let allowed = CALL_BURST + CALLS_PER_S * elapsed_s;
            assert!(calls <= allowed, "{calls} calls in {elapsed_s} s: {:?}", self.schedule);
            self.tally.calls_per_s = self.tally.calls_per_s.max(calls / elapsed_s);
        }
        self.tally.accepted = told.accepted.len();
        self.tally.refused = told.refused.len();
        self.tally.unknown = told.unknown.len();
        self.tally.destroyed = self.destroyed.len();
        self.tally
    }
}
