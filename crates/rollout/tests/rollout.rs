//! Roll-outs to simulated engines: load limits, competing owners, takeovers, fencing and store
//! outages.

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
const LOAD_DURATION: Duration = Duration::from_millis(2_500);
const REPORT_LAG: Duration = Duration::from_secs(1);
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(900);

fn desired(version: &str) -> DesiredState {
    let mut text =
        format!("[model m]\nweights_version = {version}\nparallel_loads_limit = {LIMIT}\n");
    for index in 0..ENGINES {
        let fencing = if index % 2 == 0 { "checked" } else { "ignored" };
        text +=
            &format!("[upstream e{index:02}]\nkind = engine\naddress = 10.0.0.{}:80\n", index + 1);
        text += &format!("failure_domain = d{}\nmodel = m\nfencing = {fencing}\n", index % 3);
        text += if index < 2 { "role = prefill\n" } else { "" };
    }
    parse_str("site.ini", &text, &mut Names::default()).expect("the configuration is valid")
}

#[derive(Clone, Debug)]
struct Engine {
    incarnation: u32,
    weights: String,
    loading: Option<(String, Instant)>,
    highest_seen: u64,
    role: String,
    checks_fencing: bool,
    loads: u32,
}

/// Simulated engines. Loads take a fixed time, and the highest number of parallel loads is kept.
#[derive(Clone, Debug)]
struct Engines {
    all: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    max_loading: Arc<Mutex<usize>>,
    load: Duration,
    // The probability that a command is lost before, and that its response is lost after it took
    // effect.
    command_loss: Arc<Mutex<(f64, SmallRng)>>,
}

impl Engines {
    fn new(state: &DesiredState, seed: u64) -> Self {
        let engine = |checks_fencing| Engine {
            incarnation: 1,
            weights: "v1".to_owned(),
            loading: None,
            highest_seen: 0,
            role: String::new(),
            checks_fencing,
            loads: 0,
        };
        let checks_fencing =
            |u: &redwingrill_config::Upstream| u.fencing == redwingrill_config::Fencing::Checked;
        let all =
            state.upstreams.values().map(|u| (u.address, engine(checks_fencing(u)))).collect();
        let command_loss = (0.0, SmallRng::seed_from_u64(seed));
        Self {
            all: Arc::new(Mutex::new(all)),
            max_loading: Arc::default(),
            load: LOAD_DURATION,
            command_loss: Arc::new(Mutex::new(command_loss)),
        }
    }

    fn tick(&self) {
        let mut all = self.all.lock().expect("lock is not poisoned");
        for engine in all.values_mut() {
            if let Some((version, done)) = engine.loading.clone().filter(|l| l.1 <= Instant::now())
            {
                assert!(!version.is_empty() && done <= Instant::now());
                engine.weights = version;
                engine.loading = None;
            }
        }
        let loading = all.values().filter(|engine| engine.loading.is_some()).count();
        let mut max = self.max_loading.lock().expect("lock is not poisoned");
        *max = (*max).max(loading);
    }

    fn reports(&self, state: &DesiredState) -> EngineReports {
        let all = self.all.lock().expect("lock is not poisoned");
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

    fn apply(&self, command: &EngineCommand) -> CommandOutcome {
        let mut all = self.all.lock().expect("lock is not poisoned");
        let engine = all.get_mut(&command.address).expect("every command addresses a known engine");
        if engine.checks_fencing && command.fencing_number < engine.highest_seen {
            return CommandOutcome::Refused { highest_seen: engine.highest_seen };
        }
        engine.highest_seen = engine.highest_seen.max(command.fencing_number);
        match &command.kind {
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
    async fn send(&self, command: &EngineCommand) -> CommandOutcome {
        tokio::time::sleep(Duration::from_millis(2)).await;
        let (before, after) = {
            let (share, rng) = &mut *self.command_loss.lock().expect("lock is not poisoned");
            (rng.random_bool(*share), rng.random_bool(*share))
        };
        if before {
            return CommandOutcome::NotExecuted;
        }
        let outcome = self.apply(command);
        if after { CommandOutcome::Unknown } else { outcome }
    }
}

/// The task of a node. It makes no progress while paused.
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

struct RunningNode {
    task: tokio::task::JoinHandle<()>,
    paused: watch::Sender<bool>,
}

struct Deployment {
    store: MemoryStore,
    engines: Engines,
    state: DesiredState,
    configuration: watch::Sender<Arc<Snapshot>>,
    reports: watch::Sender<Arc<EngineReports>>,
    next_run_id: u64,
    record: Option<RolloutRecord>,
}

impl Deployment {
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

    fn set_desired(&mut self, generation: u64, version: &str) {
        self.state = desired(version);
        self.configuration.send_replace(snapshot(generation, self.state.clone()));
    }

    fn start(&mut self, name: &'static str, rank: usize) -> RunningNode {
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
        RunningNode { task, paused }
    }

    /// Advances time with lagging engine reports, and checks each record and the load limit.
    async fn advance(&mut self, time: Duration) {
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
        let entry = self.store.get(ROLLOUT_KEY).await.expect("the store has no fault");
        let Some(entry) = entry else { return };
        let record = RolloutRecord::decode(&entry.value).expect("the record decodes");
        if self.record.as_ref() != Some(&record) {
            let limits = HashMap::from([("m".to_owned(), LIMIT)]);
            let verified = record.verify(self.record.as_ref(), &limits);
            assert_eq!(verified, Ok(()), "{record:?} after {:?}", self.record);
            self.record = Some(record);
        }
    }

    fn is_done(&self) -> bool {
        let wanted = &self.state.models.values().next().expect("one model").weights_version;
        let all = self.engines.all.lock().expect("lock is not poisoned");
        let roles = all.values().filter(|engine| engine.role == "prefill").count();
        all.values().all(|engine| engine.weights == *wanted) && roles == 2
    }

    async fn finish(&mut self, case: &str) -> Duration {
        let started = Instant::now();
        while !self.is_done() {
            let stuck = started.elapsed() > ROLLOUT_TIMEOUT;
            assert!(!stuck, "{case}: {:?} {:?}", self.record, self.engines.all);
            self.advance(Duration::from_secs(1)).await;
        }
        let max = *self.engines.max_loading.lock().expect("lock is not poisoned");
        assert!(max <= LIMIT, "{case}: {max} loads at once");
        started.elapsed()
    }
}

fn snapshot(generation: u64, state: DesiredState) -> Arc<Snapshot> {
    Arc::new(Snapshot::new(Generation(generation), state))
}

#[tokio::test(start_paused = true)]
async fn single_owner_respects_load_limit_and_is_idle_afterwards() {
    let mut deployment = Deployment::new(0);
    for (name, rank) in [("n0", 0), ("n1", 1), ("n2", 2), ("n3", 3)] {
        deployment.start(name, rank);
    }
    deployment.finish("roles only").await;
    deployment.set_desired(2, "v2");
    let elapsed = deployment.finish("alone").await;
    deployment.advance(Duration::from_secs(20)).await;
    let before = deployment.store.counts();
    tokio::time::sleep(Duration::from_secs(600)).await;
    let idle = deployment.store.counts().total() - before.total();
    println!(
        "rolled_out_s={:.1} writes={} idle_calls={idle}",
        elapsed.as_secs_f64(),
        before.writes
    );
    assert_eq!(idle, 0);
    let all = deployment.engines.all.lock().expect("lock is not poisoned");
    assert!(all.values().all(|engine| engine.loads == 1), "each engine loaded exactly once");
}

#[tokio::test(start_paused = true)]
async fn competing_owners_keep_record_invariants_under_faults() {
    const SEEDS: u64 = 60;
    let mut takeovers = 0;
    for seed in 0..SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut deployment = Deployment::new(seed);
        deployment.engines.load = Duration::from_millis(rng.random_range(2_500..30_000));
        deployment.engines.command_loss.lock().expect("lock is not poisoned").0 = 0.05;
        // Two nodes have rank zero.
        let mut running =
            vec![deployment.start("n0", 0), deployment.start("n1", 0), deployment.start("n2", 1)];
        for version in ["v2", "v3", "v4"] {
            let number = version[1..].parse().expect("the version ends in a number");
            deployment.set_desired(number, version);
            deployment.advance(Duration::from_millis(rng.random_range(0..20_000))).await;
            inject_fault(&mut deployment, &mut rng, &mut running).await;
        }
        deployment.finish(&format!("seed {seed}")).await;
        takeovers += deployment.record.as_ref().map_or(0, |record| record.fencing_number - 1);
        running.iter().for_each(|node| node.task.abort());
    }
    println!("seeds={SEEDS} takeovers={takeovers}");
    assert!(takeovers > SEEDS, "the owner changed more than once per seed on average");
}

async fn inject_fault(
    deployment: &mut Deployment,
    rng: &mut SmallRng,
    running: &mut [RunningNode],
) {
    let duration = Duration::from_millis(rng.random_range(100..40_000));
    match rng.random_range(0..7) {
        0 => {
            // A node restarts under the same name.
            let index = rng.random_range(0..running.len());
            running[index].task.abort();
            let name = ["n0", "n1", "n2"][index];
            running[index] = deployment.start(name, index / 2);
        }
        1 => deployment.store.set_faults(Faults { down: true, ..Faults::default() }),
        2 => {
            let write = WriteFault::LoseResponse;
            deployment.store.set_faults(Faults { write, ..Faults::default() });
        }
        3 => {
            // An engine restarts with the weights that it served before.
            let mut all = deployment.engines.all.lock().expect("lock is not poisoned");
            let engine = all.values_mut().next().expect("the deployment has engines");
            engine.incarnation += 1;
            engine.loading = None;
        }
        4 | 5 => {
            // The owner is paused, and resumes after another node may have taken over.
            let owner = deployment.record.as_ref().map(|record| record.owner.clone());
            let index = ["n0", "n1", "n2"].iter().position(|n| owner.as_deref() == Some(*n));
            running[index.unwrap_or(0)].paused.send_replace(true);
        }
        _ => deployment.store.set_faults(Faults { frozen: true, ..Faults::default() }),
    }
    deployment.advance(duration).await;
    deployment.store.set_faults(Faults::default());
    running.iter().for_each(|node| {
        node.paused.send_replace(false);
    });
}

#[tokio::test(start_paused = true)]
async fn owner_raises_fencing_number_above_the_engines_highest() {
    let mut deployment = Deployment::new(1);
    for engine in deployment.engines.all.lock().expect("lock is not poisoned").values_mut() {
        engine.highest_seen = 40;
    }
    deployment.start("n0", 0);
    deployment.set_desired(2, "v2");
    deployment.finish("raised").await;
    assert!(deployment.record.as_ref().is_some_and(|record| record.fencing_number > 40));
}
