//! Roll-outs over fake engines: limits, two owners, takeovers, fencing and a lost store.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use redwingrill_config::DesiredState;
use redwingrill_config::Generation;
use redwingrill_config::Snapshot;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;
use redwingrill_entity::UpstreamId;
use redwingrill_fakes::Faults;
use redwingrill_fakes::MemoryStore;
use redwingrill_fakes::WriteFault;
use redwingrill_placement::fleet::EngineStart;
use redwingrill_placement::fleet::Incarnation;
use redwingrill_placement::fleet::WeightsTag;
use redwingrill_ports::Store;
use redwingrill_rollout::CommandKind;
use redwingrill_rollout::CommandOutcome;
use redwingrill_rollout::CommandSender;
use redwingrill_rollout::EngineCommand;
use redwingrill_rollout::EngineReport;
use redwingrill_rollout::EngineReports;
use redwingrill_rollout::ROLLOUT_KEY;
use redwingrill_rollout::RolloutInputs;
use redwingrill_rollout::RolloutRecord;
use redwingrill_rollout::RolloutTask;

const ENGINES: usize = 18;
const LIMIT: usize = 3;
const LOAD: Duration = Duration::from_millis(2_500);
const REPORT_LAG: Duration = Duration::from_secs(1);
const LONGEST: Duration = Duration::from_secs(900);

fn desired(version: &str) -> DesiredState {
    let mut text =
        format!("[model m]\nweights_version = {version}\nparallel_loads_limit = {LIMIT}\n");
    for at in 0..ENGINES {
        let fencing = if at % 2 == 0 { "checked" } else { "ignored" };
        text += &format!("[upstream e{at:02}]\nkind = engine\naddress = 10.0.0.{}:80\n", at + 1);
        text += &format!("failure_domain = d{}\nmodel = m\nfencing = {fencing}\n", at % 3);
        text += if at < 2 { "role = prefill\n" } else { "" };
    }
    parse_str("site.ini", &text, &mut Names::default()).expect("the text is valid")
}

#[derive(Clone, Debug)]
struct Engine {
    incarnation: u32,
    weights: String,
    loading: Option<(String, Instant)>,
    highest_seen: u64,
    role: String,
    checks: bool,
    loads: u32,
}

/// Engines that load for a while, and keep the most that loaded at once.
#[derive(Clone, Debug)]
struct Engines {
    all: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    most_loading: Arc<Mutex<usize>>,
    load: Duration,
    // How an order fares: lost before, lost after, or neither.
    lose: Arc<Mutex<(f64, SmallRng)>>,
}

impl Engines {
    fn new(state: &DesiredState, seed: u64) -> Self {
        let engine = |checks| Engine {
            incarnation: 1,
            weights: "v1".to_owned(),
            loading: None,
            highest_seen: 0,
            role: String::new(),
            checks,
            loads: 0,
        };
        let checks =
            |u: &redwingrill_config::Upstream| u.fencing == redwingrill_config::Fencing::Checked;
        let all = state.upstreams.values().map(|u| (u.address, engine(checks(u)))).collect();
        let lose = (0.0, SmallRng::seed_from_u64(seed));
        Self {
            all: Arc::new(Mutex::new(all)),
            most_loading: Arc::default(),
            load: LOAD,
            lose: Arc::new(Mutex::new(lose)),
        }
    }

    fn tick(&self) {
        let mut all = self.all.lock().expect("no holder panics");
        for engine in all.values_mut() {
            if let Some((version, done)) = engine.loading.clone().filter(|l| l.1 <= Instant::now())
            {
                assert!(!version.is_empty() && done <= Instant::now());
                engine.weights = version;
                engine.loading = None;
            }
        }
        let loading = all.values().filter(|engine| engine.loading.is_some()).count();
        let mut most = self.most_loading.lock().expect("no holder panics");
        *most = (*most).max(loading);
    }

    fn reports(&self, state: &DesiredState) -> EngineReports {
        let all = self.all.lock().expect("no holder panics");
        let report = |engine: &Engine| EngineReport {
            start: EngineStart {
                incarnation: Incarnation(u64::from(engine.incarnation)),
                weights: WeightsTag::of(&engine.weights),
            },
            running: 0,
            leaving: false,
        };
        state
            .upstreams
            .iter()
            .map(|(id, u): (UpstreamId, _)| (id, report(&all[&u.address])))
            .collect()
    }

    fn take(&self, order: &EngineCommand) -> CommandOutcome {
        let mut all = self.all.lock().expect("no holder panics");
        let engine = all.get_mut(&order.address).expect("the engine is there");
        if engine.checks && order.fencing_number < engine.highest_seen {
            return CommandOutcome::Refused { highest_seen: engine.highest_seen };
        }
        engine.highest_seen = engine.highest_seen.max(order.fencing_number);
        match &order.kind {
            CommandKind::Role(role) => engine.role = role.role.clone(),
            CommandKind::Load(load) => {
                let same = engine.loading.as_ref().is_some_and(|l| l.0 == load.weights_version);
                if engine.weights != load.weights_version && !same {
                    engine.loading =
                        Some((load.weights_version.clone(), Instant::now() + self.load));
                    engine.loads += 1;
                }
            }
        }
        CommandOutcome::Accepted
    }
}

impl CommandSender for Engines {
    async fn send(&self, order: &EngineCommand) -> CommandOutcome {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let (before, after) = {
            let (share, rng) = &mut *self.lose.lock().expect("no holder panics");
            (rng.random_bool(*share), rng.random_bool(*share))
        };
        if before {
            return CommandOutcome::NotExecuted;
        }
        let outcome = self.take(order);
        if after { CommandOutcome::Unknown } else { outcome }
    }
}

/// A node's task, which makes no progress while it is paused.
struct Pausable {
    run: Pin<Box<dyn Future<Output = ()> + Send>>,
    paused: watch::Receiver<bool>,
}

impl Future for Pausable {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        const RECHECK: Duration = Duration::from_millis(50);
        if !*self.paused.borrow() {
            return self.run.as_mut().poll(cx);
        }
        let waker = cx.waker().clone();
        tokio::spawn(async move {
            tokio::time::sleep(RECHECK).await;
            waker.wake();
        });
        Poll::Pending
    }
}

struct Running {
    task: tokio::task::JoinHandle<()>,
    paused: watch::Sender<bool>,
}

struct Site {
    store: MemoryStore,
    engines: Engines,
    state: DesiredState,
    configuration: watch::Sender<Arc<Snapshot>>,
    reports: watch::Sender<Arc<EngineReports>>,
    next_run_id: u64,
    record: Option<RolloutRecord>,
}

impl Site {
    fn new(seed: u64) -> Self {
        let state = desired("v1");
        let engines = Engines::new(&state, seed);
        Self {
            store: MemoryStore::new(),
            reports: watch::Sender::new(Arc::new(engines.reports(&state))),
            configuration: watch::Sender::new(snapshot(1, state.clone())),
            engines,
            state,
            next_run_id: 0,
            record: None,
        }
    }

    fn want(&mut self, generation: u64, version: &str) {
        self.state = desired(version);
        self.configuration.send_replace(snapshot(generation, self.state.clone()));
    }

    fn start(&mut self, name: &'static str, rank: usize) -> Running {
        let inputs = RolloutInputs {
            configuration: self.configuration.subscribe(),
            reports: self.reports.subscribe(),
            rank: watch::channel(rank).1,
        };
        let (task, _) = RolloutTask::new(self.store.clone(), self.engines.clone(), inputs);
        self.next_run_id += 1;
        let run = task.run(name, self.next_run_id, CancellationToken::new());
        let paused = watch::Sender::new(false);
        let task = tokio::spawn(Pausable { run: Box::pin(run), paused: paused.subscribe() });
        Running { task, paused }
    }

    /// Lets time pass, with reports that lag, and checks each record and the limit.
    async fn pass(&mut self, time: Duration) {
        const TICK: Duration = Duration::from_millis(100);
        let end = Instant::now() + time;
        let mut reported_at = Instant::now();
        while Instant::now() < end {
            tokio::time::sleep(TICK).await;
            self.engines.tick();
            if reported_at.elapsed() >= REPORT_LAG {
                reported_at = Instant::now();
                self.reports.send_replace(Arc::new(self.engines.reports(&self.state)));
            }
            self.check_record().await;
        }
    }

    async fn check_record(&mut self) {
        if self.store.faults() != Faults::default() {
            return;
        }
        let entry = self.store.get(ROLLOUT_KEY).await.expect("the store answers");
        let Some(entry) = entry else { return };
        let record = RolloutRecord::decode(&entry.value).expect("the record is readable");
        if self.record.as_ref() != Some(&record) {
            let limits = HashMap::from([("m".to_owned(), LIMIT)]);
            let verified = record.verify(self.record.as_ref(), &limits);
            assert_eq!(verified, Ok(()), "{record:?} after {:?}", self.record);
            self.record = Some(record);
        }
    }

    fn is_done(&self) -> bool {
        let wanted = &self.state.models.values().next().expect("one model").weights_version;
        let all = self.engines.all.lock().expect("no holder panics");
        let roles = all.values().filter(|engine| engine.role == "prefill").count();
        all.values().all(|engine| engine.weights == *wanted) && roles == 2
    }

    async fn finish(&mut self, case: &str) -> Duration {
        let started = Instant::now();
        while !self.is_done() {
            let stuck = started.elapsed() > LONGEST;
            assert!(!stuck, "{case}: {:?} {:?}", self.record, self.engines.all);
            self.pass(Duration::from_secs(1)).await;
        }
        let most = *self.engines.most_loading.lock().expect("no holder panics");
        assert!(most <= LIMIT, "{case}: {most} loads at once");
        started.elapsed()
    }
}

fn snapshot(generation: u64, state: DesiredState) -> Arc<Snapshot> {
    Arc::new(Snapshot::new(Generation(generation), state))
}

#[tokio::test(start_paused = true)]
async fn one_owner_rolls_out_within_the_limit_and_then_makes_no_calls() {
    let mut site = Site::new(0);
    for (name, rank) in [("n0", 0), ("n1", 1), ("n2", 2), ("n3", 3)] {
        site.start(name, rank);
    }
    site.finish("roles only").await;
    site.want(2, "v2");
    let elapsed = site.finish("alone").await;
    site.pass(Duration::from_secs(20)).await;
    let before = site.store.counts();
    tokio::time::sleep(Duration::from_secs(600)).await;
    let idle = site.store.counts().total() - before.total();
    println!(
        "rolled_out_s={:.1} writes={} idle_calls={idle}",
        elapsed.as_secs_f64(),
        before.writes
    );
    assert_eq!(idle, 0);
    let all = site.engines.all.lock().expect("no holder panics");
    assert!(all.values().all(|engine| engine.loads == 1), "no load ran twice");
}

#[tokio::test(start_paused = true)]
async fn any_number_of_owners_with_faults_harm_nothing() {
    const SEEDS: u64 = 60;
    let mut takeovers = 0;
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut site = Site::new(seed);
        site.engines.load = Duration::from_millis(rng.random_range(2_500..30_000));
        site.engines.lose.lock().expect("no holder panics").0 = 0.05;
        // Two nodes believe that they are the first.
        let mut running = vec![site.start("n0", 0), site.start("n1", 0), site.start("n2", 1)];
        for version in ["v2", "v3", "v4"] {
            let number = version[1..].parse().expect("a number");
            site.want(number, version);
            site.pass(Duration::from_millis(rng.random_range(0..20_000))).await;
            strike(&mut site, &mut rng, &mut running).await;
        }
        site.finish(&format!("seed {seed}")).await;
        takeovers += site.record.as_ref().map_or(0, |record| record.fencing_number - 1);
        running.iter().for_each(|node| node.task.abort());
    }
    println!("seeds={SEEDS} takeovers={takeovers}");
    assert!(takeovers > SEEDS, "owners changed");
}

async fn strike(site: &mut Site, rng: &mut SmallRng, running: &mut [Running]) {
    let lasts = Duration::from_millis(rng.random_range(100..40_000));
    match rng.random_range(0..7) {
        0 => {
            // A node restarts under its old name.
            let at = rng.random_range(0..running.len());
            running[at].task.abort();
            let name = ["n0", "n1", "n2"][at];
            running[at] = site.start(name, at / 2);
        }
        1 => site.store.set_faults(Faults { down: true, ..Faults::default() }),
        2 => {
            let write = WriteFault::LoseResponse;
            site.store.set_faults(Faults { write, ..Faults::default() });
        }
        3 => {
            // An engine starts anew, with the weights that it had.
            let mut all = site.engines.all.lock().expect("no holder panics");
            let engine = all.values_mut().next().expect("there are engines");
            engine.incarnation += 1;
            engine.loading = None;
        }
        4 | 5 => {
            // Whoever owns the roll-out is paused, and goes on after another took over.
            let owner = site.record.as_ref().map(|record| record.owner.clone());
            let at = ["n0", "n1", "n2"].iter().position(|n| owner.as_deref() == Some(*n));
            running[at.unwrap_or(0)].paused.send_replace(true);
        }
        _ => site.store.set_faults(Faults { frozen: true, ..Faults::default() }),
    }
    site.pass(lasts).await;
    site.store.set_faults(Faults::default());
    running.iter().for_each(|node| {
        node.paused.send_replace(false);
    });
}

#[tokio::test(start_paused = true)]
async fn numbers_below_those_of_engines_are_raised() {
    let mut site = Site::new(1);
    for engine in site.engines.all.lock().expect("no holder panics").values_mut() {
        engine.highest_seen = 40;
    }
    site.start("n0", 0);
    site.want(2, "v2");
    site.finish("raised").await;
    assert!(site.record.as_ref().is_some_and(|record| record.fencing_number > 40));
}
