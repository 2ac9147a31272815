//! One run: stand-ins, daemons, callers, faults, healing, verdict.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use futures::future::try_join_all;
use rand::RngCore;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use super::Fault;
use super::Finding;
use super::Plan;
use super::callers::Asked;
use super::callers::Call;
use super::callers::ask;
use super::callers::keep_asking;
use super::callers::knows_route;
use super::check::check;
use super::check::join_attempts;
use super::late_writes::check_late_writes;
use super::late_writes::drain;
use super::late_writes::write_late;
use super::link::Link;
use super::link::LinkState;
use super::node::SoakNode;
use super::signals::GivenSignal;
use super::signals::check_signal;
use super::signals::excuses;
use super::signals::give;
use super::signals::withdraw;
use super::site::Kind;
use super::site::configuration_of;
use super::site::version_route;
use crate::metadata_store::MetadataStore;
use crate::metadata_store::StoreCopy;
use crate::metadata_store::StoreFault;
use crate::metadata_store::StoreState;
use crate::on_platform::is_ready;
use crate::site_upstream::Behaviour;
use crate::site_upstream::SeenRequest;
use crate::site_upstream::SiteUpstream;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;

/// How long nodes may take until they are ready at the start.
const START_LIMIT: Duration = Duration::from_secs(10);

/// How long faults strike; the last ones begin a second before.
const SPAN: Duration = Duration::from_secs(10);

/// How long after the healing all must be served; the platform's `recover_s` is twelve.
const RECOVERY: Duration = Duration::from_secs(12);

/// The requests of each kind that each node must serve after the recovery, one after the other.
const LAST_REQUESTS: usize = 3;

/// How often the store is copied, and how long after its return what it lost is written again.
const COPY_PERIOD: Duration = Duration::from_millis(500);
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(300);

/// The version of the software of all upstreams at the start.
const FIRST_VERSION: u32 = 1;

/// How often processes that ended are looked for.
const WATCH: Duration = Duration::from_millis(50);

/// What a run is made with.
#[derive(Clone, Debug)]
pub struct SoakOptions {
    /// Decides what strikes when.
    pub seed: u64,
    /// The daemon's program.
    pub program: PathBuf,
    /// Where settings and logs are written.
    pub folder: PathBuf,
    /// Daemons.
    pub nodes: usize,
    /// Engines and plain upstreams, so many of each.
    pub upstreams: usize,
    /// Callers.
    pub callers: usize,
}

/// What became of a run.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// What struck.
    pub plan: Plan,
    /// Requests that callers sent.
    pub asked: usize,
    /// Those that were answered with a success.
    pub served: usize,
    /// Streams that callers took up again after they had been interrupted.
    pub taken_up: usize,
    /// Those of them that went on to their end.
    pub went_on: usize,
    /// Promises that did not hold.
    pub findings: Vec<Finding>,
}

/// Why a run told nothing.
#[derive(Debug, Snafu)]
#[snafu(display("soak: {source}"))]
pub struct SoakError {
    source: io::Error,
}

struct Soak {
    store: MetadataStore,
    nodes: Vec<SoakNode>,
    upstreams: Vec<SiteUpstream>,
    // The link to each upstream.
    upstream_links: Vec<Link>,
    pool: Pool,
    version: u64,
    // The version of the last configuration.
    configured: u64,
    // Copies of the store, one for each period, the oldest first.
    copies: Vec<(Instant, StoreCopy)>,
    // When the operator and the engines write again what the store has lost.
    written_again_at: Option<Instant>,
    findings: Vec<Finding>,
    // What is healed when.
    healing: Vec<(Instant, Fault)>,
    // What upstreams said of themselves.
    signals: Vec<GivenSignal>,
    // When faults struck that excuse nodes from keeping to that.
    excused: Vec<Instant>,
}

/// Plays the faults of a seed.
///
/// # Errors
///
/// The cause if the processes or stand-ins could not be started.
pub async fn run(options: &SoakOptions) -> Result<SoakReport, SoakError> {
    let plan = Plan::draw(options.seed, options.nodes, 2 * options.upstreams);
    let mut soak = Soak::start(options).await.context(SoakSnafu)?;
    let stopping = CancellationToken::new();
    let addresses = Arc::new(soak.nodes.iter().map(|node| node.callers).collect::<Vec<_>>());
    let mut callers = JoinSet::new();
    let mut rng = SmallRng::seed_from_u64(options.seed);
    for name in 0..options.callers {
        let (nodes, pool) = (addresses.clone(), Pool::new());
        callers.spawn(keep_asking(name, rng.next_u64(), nodes, pool, stopping.clone()));
    }
    soak.play(&plan).await.context(SoakSnafu)?;
    stopping.cancel();
    let mut asked: Vec<Asked> = callers.join_all().await.into_iter().flatten().collect();
    asked.extend(soak.recover(&addresses).await);
    let is_served = |one: &&Asked| one.answer.as_ref().is_some_and(|answer| answer.status == 200);
    let served = asked.iter().filter(is_served).count();
    let streams = join_attempts(&asked);
    let taken_up: Vec<_> = streams.values().filter(|stream| stream.is_taken_up()).collect();
    let went_on = taken_up.iter().filter(|stream| stream.is_whole()).count();
    let (asked_count, taken_up) = (asked.len(), taken_up.len());
    soak.check_signals(&plan);
    let findings = soak.finish(&asked).await;
    Ok(SoakReport { plan, asked: asked_count, served, taken_up, went_on, findings })
}

impl Soak {
    async fn start(options: &SoakOptions) -> io::Result<Self> {
        std::fs::create_dir_all(&options.folder)?;
        let state = StoreState::default();
        let store = MetadataStore::start(state.clone()).await?;
        state.put("op/config", configuration_of(1));
        state.put("op/version/m", r#"{"model":"m","version":1}"#);
        let mut soak = Self {
            store,
            nodes: Vec::new(),
            upstreams: Vec::new(),
            upstream_links: Vec::new(),
            pool: Pool::new(),
            version: 1,
            configured: 1,
            copies: Vec::new(),
            written_again_at: None,
            findings: Vec::new(),
            healing: Vec::new(),
            signals: Vec::new(),
            excused: Vec::new(),
        };
        for (service, name) in [("llm", "e"), ("shop", "s")] {
            for _ in 0..options.upstreams {
                soak.start_upstream(service, name, FIRST_VERSION).await?;
            }
        }
        // Loopback addresses of this run's own, so that several may run side by side.
        let process = std::process::id();
        let ip = |n: usize| {
            Ipv4Addr::new(127, 1 + (process % 250) as u8, options.seed as u8, 1 + n as u8)
        };
        for n in 0..options.nodes {
            let (program, folder, name) = (&options.program, &options.folder, format!("n{n}"));
            let node = SoakNode::start(program, folder, ip(n), &name, soak.store.address(), ip(0));
            soak.nodes.push(node.await?);
        }
        soak.wait_ready().await?;
        Ok(soak)
    }

    /// Starts an upstream with a version of its software behind a link of its own.
    async fn start_upstream(&mut self, service: &str, name: &str, version: u32) -> io::Result<()> {
        let (id, software) = (format!("{name}{}", self.upstreams.len()), format!("v{version}"));
        let state = &self.store.state;
        let mut upstream = SiteUpstream::start_unlisted(&id, service, state, &software).await?;
        let link = Link::start(upstream.address()).await?;
        upstream.list_at(link.address);
        self.upstreams.push(upstream);
        self.upstream_links.push(link);
        Ok(())
    }

    async fn wait_ready(&self) -> io::Result<()> {
        let ends = Instant::now() + START_LIMIT;
        for node in &self.nodes {
            while !is_ready(&self.pool, node.readiness, START_LIMIT).await {
                if Instant::now() > ends {
                    return Err(io::Error::other(format!("{} is not ready", node.readiness)));
                }
                sleep(WATCH).await;
            }
        }
        Ok(())
    }

    async fn play(&mut self, plan: &Plan) -> io::Result<()> {
        let began = Instant::now();
        for (at, fault) in &plan.faults {
            self.watch_until(began + *at).await?;
            self.strike(fault).await?;
        }
        self.watch_until(began + SPAN).await?;
        // All that is still broken is healed.
        for (_, fault) in std::mem::take(&mut self.healing) {
            self.heal(&fault)?;
        }
        self.store.state.write_lost_again();
        for (_, fault) in &plan.faults {
            if let Fault::LateWrite(upstream, _) = fault {
                self.upstreams[*upstream].list("ready");
            }
        }
        let findings = check_late_writes(plan, began, &self.upstreams);
        self.findings.extend(findings);
        Ok(())
    }

    /// Heals what is due and starts processes that ended, until `end`.
    async fn watch_until(&mut self, end: Instant) -> io::Result<()> {
        while Instant::now() < end {
            let now = Instant::now();
            let (due, later) = self.healing.drain(..).partition(|(at, _)| *at <= now);
            self.healing = later;
            for (_, fault) in due {
                self.heal(&fault)?;
            }
            if self.written_again_at.is_some_and(|at| at <= now) {
                self.written_again_at = None;
                self.store.state.write_lost_again();
            }
            if self.copies.last().is_none_or(|(at, _)| *at + COPY_PERIOD <= now) {
                self.copies.push((now, self.store.state.copy()));
            }
            for node in &mut self.nodes {
                node.revive()?;
            }
            sleep_until(end.min(now + WATCH)).await;
        }
        Ok(())
    }

    async fn strike(&mut self, fault: &Fault) -> io::Result<()> {
        if excuses(fault) {
            self.excused.push(Instant::now());
        }
        let lasts = match fault {
            Fault::Kill(node) => {
                self.nodes[*node].kill().await?;
                None
            }
            Fault::KillAll => {
                try_join_all(self.nodes.iter_mut().map(SoakNode::kill)).await?;
                None
            }
            Fault::Starts(version) => {
                self.start_upstream("llm", "e", *version).await?;
                None
            }
            Fault::Lapses(upstream, away) => {
                self.upstreams[*upstream].unlist();
                Some(*away)
            }
            Fault::Retires(upstream, drains) => {
                self.upstreams[*upstream].list("draining");
                Some(*drains)
            }
            Fault::Stop(node) => {
                self.stop(*node).await?;
                None
            }
            Fault::Pause(node, lasts) => {
                self.nodes[*node].pause(true)?;
                Some(*lasts)
            }
            Fault::Link(node, state, lasts) => {
                self.nodes[*node].link.set(*state);
                Some(*lasts)
            }
            Fault::Store(fault, lasts) => {
                self.store.state.set_fault(*fault);
                Some(*lasts)
            }
            Fault::Forgets => {
                self.store.state.drop_history();
                None
            }
            Fault::Restored { away, .. } => {
                self.store.state.set_fault(StoreFault::Silent);
                Some(*away)
            }
            Fault::Upstream(upstream, behaviour, lasts) => {
                self.upstreams[*upstream].set(*behaviour);
                Some(*lasts)
            }
            Fault::UpstreamLink(upstream, state, lasts) => {
                self.upstream_links[*upstream].set(*state);
                Some(*lasts)
            }
            Fault::Leaves(upstream, lasts) => {
                self.upstreams[*upstream].list("draining");
                Some(*lasts)
            }
            Fault::LateWrite(upstream, late) => {
                drain(&self.upstreams[*upstream]);
                Some(*late)
            }
            Fault::Signal(upstream, signal) => {
                let now = Instant::now();
                give(&self.upstreams[*upstream], *signal);
                self.signals.push(GivenSignal {
                    upstream: *upstream,
                    signal: *signal,
                    since: now,
                    until: now + SPAN,
                });
                Some(SPAN)
            }
            Fault::Configure => {
                self.version += 1;
                self.configured = self.version;
                self.store.state.put("op/config", configuration_of(self.version));
                None
            }
            Fault::NewWeights => {
                self.version += 1;
                let named = format!(r#"{{"model":"m","version":{}}}"#, self.version);
                self.store.state.put("op/version/m", named);
                None
            }
        };
        if let Some(lasts) = lasts {
            self.healing.push((Instant::now() + lasts, fault.clone()));
        }
        Ok(())
    }

    /// Stops a process; one that stands still goes on first, as the platform's signal would wait.
    async fn stop(&mut self, node: usize) -> io::Result<()> {
        self.nodes[node].pause(false)?;
        if !self.nodes[node].stop().await? {
            let seen = format!("n{node} did not end well within its time");
            self.findings.push(Finding { rule: "stop", seen });
        }
        self.nodes[node].start_again()
    }

    fn heal(&mut self, fault: &Fault) -> io::Result<()> {
        match fault {
            Fault::Pause(node, _) => self.nodes[*node].pause(false)?,
            Fault::Link(node, ..) => self.nodes[*node].link.set(LinkState::Open),
            Fault::Store(..) => self.store.state.set_fault(StoreFault::None),
            Fault::Restored { copy_age, away } => {
                self.restore(*copy_age + *away);
                self.store.state.set_fault(StoreFault::None);
            }
            Fault::Upstream(upstream, ..) => self.upstreams[*upstream].set(Behaviour::Serves),
            Fault::UpstreamLink(upstream, ..) => {
                self.upstream_links[*upstream].set(LinkState::Open);
            }
            Fault::Leaves(upstream, _) | Fault::Lapses(upstream, _) => {
                self.upstreams[*upstream].list("ready");
            }
            Fault::Retires(upstream, _) => self.upstreams[*upstream].unlist(),
            Fault::LateWrite(upstream, _) => write_late(&self.upstreams[*upstream]),
            Fault::Signal(upstream, signal) => {
                let now = Instant::now();
                let given = self.signals.iter_mut();
                given
                    .filter(|given| given.upstream == *upstream && given.signal == *signal)
                    .for_each(|given| given.until = given.until.min(now));
                withdraw(&self.upstreams[*upstream], *signal);
            }
            _ => {}
        }
        Ok(())
    }

    /// Lets the store come back from the youngest copy that is at least so old.
    fn restore(&mut self, age: Duration) {
        let now = Instant::now();
        let old_enough = self.copies.iter().rev().find(|(at, _)| *at + age <= now);
        if let Some((_, copy)) = old_enough.or(self.copies.first()) {
            self.store.state.restore(copy);
            self.written_again_at = Some(now + WRITTEN_AGAIN_AFTER);
        }
    }

    /// Checks that the last configuration is in force at a node, and the first one is not.
    async fn check_configuration(&mut self, n: usize, node: SocketAddr) {
        for version in [1, self.configured] {
            let is_last = version == self.configured;
            let known = knows_route(&self.pool, node, &version_route(version)).await;
            if known != Some(is_last) {
                let seen = format!(
                    "n{n} knows the route of version {version} of {}: {known:?}",
                    self.configured
                );
                self.findings.push(Finding { rule: "configuration", seen });
            }
        }
    }

    /// Waits as long as a recovery may take, and asks each node for each kind.
    async fn recover(&mut self, nodes: &[SocketAddr]) -> Vec<Asked> {
        sleep(RECOVERY).await;
        let mut asked = Vec::new();
        for (n, node) in nodes.iter().enumerate() {
            self.check_configuration(n, *node).await;
            for kind in Kind::ALL {
                for turn in 0..LAST_REQUESTS {
                    let id = format!("last-{n}-{}-{turn}", kind.route());
                    let call = Call::new(kind, id);
                    let one = ask(&self.pool, *node, call, Freshness::New).await;
                    if one.answer.as_ref().is_none_or(|answer| answer.status != 200) {
                        let seen = format!("{} {}: {:?}", kind.route(), one.id, one.answer);
                        self.findings.push(Finding { rule: "recovery", seen });
                    }
                    asked.push(one);
                }
            }
        }
        asked
    }

    /// Checks that the nodes kept to what upstreams said of themselves.
    /// An upstream that misbehaved, or said more than one thing, may not have told them.
    fn check_signals(&mut self, plan: &Plan) {
        let told = |upstream: usize| {
            let others = plan.faults.iter().filter(|(_, fault)| match fault {
                Fault::Upstream(other, ..)
                | Fault::Signal(other, _)
                | Fault::UpstreamLink(other, ..) => *other == upstream,
                _ => false,
            });
            others.count() == 1
        };
        let nodes = self.nodes.len();
        let judged = self.signals.iter().filter(|given| told(given.upstream));
        let findings = judged.filter_map(|given| {
            check_signal(given, &self.upstreams[given.upstream], nodes, &self.excused)
        });
        let findings: Vec<Finding> = findings.collect();
        self.findings.extend(findings);
    }

    async fn finish(mut self, asked: &[Asked]) -> Vec<Finding> {
        let seen: Vec<SeenRequest> = self.upstreams.iter().flat_map(SiteUpstream::seen).collect();
        self.findings.extend(check(asked, &seen));
        for (n, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.own_ends > 0) {
            let seen = format!("n{n} ended by itself {} times", node.own_ends);
            self.findings.push(Finding { rule: "own end", seen });
        }
        // Their processes end with them.
        drop(self.nodes);
        for upstream in self.upstreams {
            upstream.stop().await;
        }
        self.store.stop().await;
        self.findings
    }
}
