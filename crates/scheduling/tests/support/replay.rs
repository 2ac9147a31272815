//! Replay of a fleet's day on simulated engines.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::MODEL;
use super::SERVICE;
use super::VERSION_LIMIT_MS;
use super::batching::Engine;
use super::batching::EngineEvent;
use super::batching::EngineSheet;
use super::batching::Run;
use super::count_prompt;
use super::engine;
use super::prompt;
use super::route;
use super::scheduler;
use redwingrill_routing::AccountTag;
use redwingrill_routing::DeclaredPrompt;
use redwingrill_routing::ReportedLoad;
use redwingrill_routing::Upstream;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::coordination::Coordination;
use redwingrill_scheduling::coordination::CoordinationMessage;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::coordination::RequestOptions;
use redwingrill_scheduling::coordination::Resolution;
use redwingrill_scheduling::fleet::NODES_PER_DIGEST_PERIOD;
use redwingrill_scheduling::fleet::UpstreamTag;
use redwingrill_scheduling::fleet::Verdict;
use redwingrill_scheduling::rollout::CommandResult;
use redwingrill_scheduling::rollout::EngineWeights;
use redwingrill_scheduling::rollout::LoadPlan;
use redwingrill_scheduling::scheduler::AccountShare;
use redwingrill_scheduling::scheduler::Assignment;
use redwingrill_scheduling::scheduler::AttemptOutcome;
use redwingrill_scheduling::scheduler::Choice;
use redwingrill_scheduling::scheduler::ScheduleRequest;
use redwingrill_scheduling::scheduler::Scheduler;
use redwingrill_scheduling::scheduler::WaitQueue;

/// The load and the events of a day.
#[derive(Clone, Debug)]
pub struct Day {
    pub sheet: EngineSheet,
    pub engines: usize,
    /// The times of engines relative to the sheet, repeated over the list of engines; the first
    /// engine has the one at the position of the seed, so that days differ in what the hashes of
    /// fast and slow engines are.
    pub time_factors: &'static [f64],
    pub domains: usize,
    /// Documents that long prompts share, in each scope.
    pub documents: u64,
    /// The tokens of documents: all of them the mean, or as they are drawn.
    pub document_tokens: Sizes,
    pub long_per_s: f64,
    pub short_per_s: f64,
    pub long_burst: Burst,
    pub short_burst: Burst,
    pub long_target_ms: u64,
    /// Engines that stop to respond, when they do, and when the list loses them.
    pub dark_engines: usize,
    pub dark_ms: u64,
    pub dark_removed_ms: u64,
    pub new_version_ms: Option<u64>,
    /// When all nodes lose what they know, and all requests in flight.
    pub restart_ms: Option<u64>,
    pub run_ms: u64,
    pub variant: Variant,
}

/// In what a day differs from the usual ones.
#[derive(Clone, Copy, Debug)]
pub struct Variant {
    /// The speeds of engines, in turn; all are of speed one if it is empty.
    pub speeds: &'static [f64],
    /// How long callers wait for the first event of a long prompt.
    pub long_patience_ms: u64,
    pub long_deadline_ms: u64,
    /// The number of client accounts; zero if requests have none.
    pub accounts: usize,
    /// Each account sends in proportion to a power of its rank.
    pub rank_exponent: f64,
    pub flood: Option<Flood>,
}

impl Variant {
    pub const NONE: Self = Self {
        speeds: &[],
        long_patience_ms: 6_000,
        long_deadline_ms: 10_000,
        accounts: 0,
        rank_exponent: 0.0,
        flood: None,
    };

    /// Returns the part of the load that each account usually sends.
    pub fn account_parts(&self) -> Vec<f64> {
        let parts = (1..=self.accounts).map(|rank| (rank as f64).powf(-self.rank_exponent));
        let parts: Vec<f64> = parts.collect();
        let total: f64 = parts.iter().sum();
        parts.into_iter().map(|part| part / total).collect()
    }
}

/// An account that sends a multiple of its usual load.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    pub account: usize,
    pub burst: Burst,
}

/// A lognormal distribution of sizes.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    pub mean: f64,
    pub sigma: f64,
    pub limit: f64,
}

const OWN_TOKENS: Sizes = Sizes { mean: 3_720.0, sigma: 0.9, limit: 53_200.0 };
const SHORT_TOKENS: Sizes = Sizes { mean: 291.0, sigma: 1.1, limit: 1_830.0 };
const LONG_OUTPUT_EVENTS: Sizes = Sizes { mean: 29.9, sigma: 1.1, limit: 120.0 };
const SHORT_OUTPUT_EVENTS: Sizes = Sizes { mean: 11.3, sigma: 1.1, limit: 45.0 };
const DIGEST_MS: u64 = 100;
const POLL_MS: u64 = 20;
const MESSAGE_MS: u64 = 1;
/// A short prompt without an event moves to another engine after this time.
const MOVE_MS: u64 = 300;

/// A multiple of the usual arrivals.
#[derive(Clone, Copy, Debug)]
pub struct Burst {
    pub begin_ms: u64,
    pub end_ms: u64,
    pub factor: f64,
}

impl Burst {
    fn factor_at(&self, now_ms: u64) -> f64 {
        if (self.begin_ms..self.end_ms).contains(&now_ms) { self.factor } else { 1.0 }
    }
}

/// What happens to a node from `begin_ms` to `end_ms`.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    pub node: usize,
    pub kind: FaultKind,
    pub begin_ms: u64,
    pub end_ms: u64,
}

#[derive(Clone, Copy, PartialEq, Debug)]
pub enum FaultKind {
    /// Its datagrams are lost.
    Cut,
    /// It does nothing, and then finds what was sent to it meanwhile.
    Frozen,
}

/// Who decides, and what fails.
#[derive(Clone, Debug)]
pub struct Setup {
    pub day: Day,
    pub nodes: usize,
    pub is_coordinated: bool,
    pub faults: Vec<Fault>,
    pub loss: f64,
    pub seed: u64,
}

#[derive(Clone)]
struct Job {
    caller: usize,
    run: Run,
}

pub struct Caller {
    pub is_long: bool,
    pub account: Option<usize>,
    pub document: u64,
    /// Age of the request at each of its refusals.
    pub refused_after_ms: Vec<u64>,
    requested_ms: u64,
    pub arrived_ms: u64,
    pub deadline_ms: u64,
    pub first_event_ms: Option<u64>,
    pub is_served: bool,
    /// The time factor of the engine that sent the first event.
    pub time_factor: Option<f64>,
    has_returned: bool,
    pub prompt: Arc<DeclaredPrompt>,
    run: Run,
}

struct Sent {
    node: usize,
    engine: usize,
    assignment: Assignment,
    job: Job,
    request: ScheduleRequest,
    sent_ms: u64,
    is_prefilled: bool,
    may_move: bool,
}

struct Node {
    scheduler: Scheduler,
    queue: WaitQueue<(Job, ScheduleRequest)>,
    coordination: Option<Coordination<Job>>,
}

struct Mail {
    at_ms: u64,
    to: usize,
    from: usize,
    message: CoordinationMessage,
}

#[derive(Default)]
pub struct Counts {
    pub rejected: u64,
    pub undecided: u64,
}

/// An assignment of a long prompt.
#[derive(Clone, Copy, Debug)]
pub struct LongAssignment {
    pub at_ms: u64,
    pub prompt_tokens: u64,
}

pub struct Simulation {
    setup: Setup,
    rng: SmallRng,
    nodes: Vec<Node>,
    pub engines: Vec<Engine>,
    is_listed: Vec<bool>,
    listed_versions: Vec<u64>,
    pub callers: Vec<Caller>,
    sent: HashMap<u64, Sent>,
    pub next_run: u64,
    returns: Vec<(u64, usize)>,
    plan: LoadPlan,
    mail: Vec<Mail>,
    pub counts: Counts,
    pub long_assignments: Vec<LongAssignment>,
    account_parts: Vec<f64>,
    // Draws that the usual days do not make.
    variant_rng: SmallRng,
}

fn engine_name(index: usize) -> String {
    format!("engine-{index}")
}

/// Returns the data sheet of an engine with its speed.
fn sheet_of(day: &Day, index: usize) -> EngineSheet {
    let speeds = day.variant.speeds;
    let speed = if speeds.is_empty() { 1.0 } else { speeds[index % speeds.len()] };
    EngineSheet {
        step_ms: day.sheet.step_ms / speed,
        step_ms_per_slot: day.sheet.step_ms_per_slot / speed,
        prefill_tokens_per_ms: day.sheet.prefill_tokens_per_ms * speed,
        ..day.sheet
    }
}

fn domain(index: usize, domains: usize) -> String {
    format!("domain-{}", index % domains)
}

fn node_address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 9, 0, index as u8], 1))
}

fn last_octet(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(address) => usize::from(address.octets()[3]),
        IpAddr::V6(address) => panic!("unexpected address {address}"),
    }
}

/// Draws from a lognormal distribution, up to a limit.
fn lognormal(rng: &mut SmallRng, sizes: Sizes) -> u64 {
    let Sizes { mean, sigma, limit } = sizes;
    let (u, v): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random());
    let normal = (-2.0 * u.ln()).sqrt() * (std::f64::consts::TAU * v).cos();
    (mean * (sigma * normal - sigma * sigma / 2.0).exp()).clamp(1.0, limit) as u64
}

impl Node {
    /// Starts the run of a node that begins at `now_ms` and knows nothing yet.
    fn start(setup: &Setup, index: usize, now_ms: u64) -> Self {
        let day = &setup.day;
        let members = (0..setup.nodes).map(|index| GroupNode {
            name: format!("node-{index}"),
            failure_domain: domain(index, day.domains),
            link_mbps: 20,
            address: node_address(index),
        });
        let mut scheduler = scheduler(index as u64);
        scheduler.observe_target_version(MODEL, WeightsVersion(1), now_ms);
        scheduler.set_members(setup.nodes);
        scheduler.set_cache_tokens(vec![(SERVICE.to_owned(), day.sheet.memory_tokens)]);
        let coordination = setup.is_coordinated.then(|| {
            let run = index as u64 + now_ms * setup.nodes as u64;
            let mut coordination = Coordination::new(run, domain(index, day.domains), index as u64);
            coordination.set_nodes(members.collect(), Some(node_address(index)));
            coordination
        });
        Node { scheduler, queue: WaitQueue::default(), coordination }
    }
}

impl Simulation {
    pub fn new(setup: Setup) -> Self {
        let day = setup.day.clone();
        let seed = setup.seed;
        let factors = day.time_factors.iter().cycle().skip(seed as usize % day.time_factors.len());
        let factors = factors.take(day.engines);
        let engines = factors
            .enumerate()
            .map(|(index, factor)| Engine::with_time_factor(sheet_of(&day, index), *factor));
        let mut simulation = Self {
            nodes: (0..setup.nodes).map(|index| Node::start(&setup, index, 0)).collect(),
            setup,
            rng: SmallRng::seed_from_u64(seed),
            engines: engines.collect(),
            is_listed: vec![true; day.engines],
            listed_versions: vec![1; day.engines],
            callers: Vec::new(),
            sent: HashMap::new(),
            next_run: 0,
            returns: Vec::new(),
            plan: LoadPlan::default(),
            mail: Vec::new(),
            counts: Counts::default(),
            long_assignments: Vec::new(),
            account_parts: day.variant.account_parts(),
            variant_rng: SmallRng::seed_from_u64(seed + 1_000_003),
        };
        simulation.publish(0);
        simulation
    }

    pub fn run(mut self) -> Self {
        for now_ms in 0..self.setup.day.run_ms {
            if self.setup.day.restart_ms == Some(now_ms) {
                self.restart_nodes(now_ms);
            }
            self.arrivals(now_ms);
            self.change_fleet(now_ms);
            self.advance_engines(now_ms);
            self.deliver(now_ms);
            if now_ms.is_multiple_of(DIGEST_MS) {
                self.exchange_digests(now_ms);
            }
            if now_ms.is_multiple_of(POLL_MS) {
                self.poll_nodes(now_ms);
                self.end_waits(now_ms);
            }
        }
        self
    }

    fn restart_nodes(&mut self, now_ms: u64) {
        for (run, sent) in self.sent.drain() {
            self.engines[sent.engine].cancel(run);
        }
        self.mail.clear();
        self.nodes =
            (0..self.setup.nodes).map(|index| Node::start(&self.setup, index, now_ms)).collect();
        self.publish(now_ms);
    }

    fn fault_of(&self, node: usize, now_ms: u64) -> Option<Fault> {
        let mut faults = self.setup.faults.iter().copied();
        faults.find(|f| f.node == node && (f.begin_ms..f.end_ms).contains(&now_ms))
    }

    fn is_frozen(&self, node: usize, now_ms: u64) -> bool {
        self.fault_of(node, now_ms).is_some_and(|fault| fault.kind == FaultKind::Frozen)
    }

    fn publish(&mut self, now_ms: u64) {
        let listed = (0..self.engines.len()).filter(|&index| self.is_listed[index]).map(|index| {
            let upstream = engine(&engine_name(index), self.listed_versions[index]);
            Arc::new(Upstream {
                slots: self.setup.day.sheet.slots as u32,
                address: SocketAddr::from(([10, 0, 1, index as u8], 80)),
                failure_domain: domain(index, self.setup.day.domains),
                ..Upstream::clone(&upstream)
            })
        });
        let listed: Vec<_> = listed.collect();
        let loading = (0..self.engines.len()).filter(|&index| self.engines[index].is_loading());
        let loading: HashSet<String> = loading.map(engine_name).collect();
        for node in &mut self.nodes {
            node.scheduler.set_upstreams(listed.clone(), now_ms);
            node.scheduler.set_loading(loading.clone());
            if let Some(coordination) = &mut node.coordination {
                coordination.follow(&node.scheduler, now_ms);
            }
        }
    }

    fn change_fleet(&mut self, now_ms: u64) {
        let Day { dark_engines, dark_ms, dark_removed_ms, new_version_ms, .. } = self.setup.day;
        if now_ms == dark_ms {
            self.engines[..dark_engines].iter_mut().for_each(|engine| engine.is_dark = true);
        }
        if now_ms == dark_removed_ms {
            self.is_listed = self.engines.iter().map(|engine| !engine.is_dark).collect();
            self.publish(now_ms);
        }
        let Some(new_version_ms) = new_version_ms else { return };
        if now_ms == new_version_ms {
            for node in &mut self.nodes {
                node.scheduler.observe_target_version(MODEL, WeightsVersion(2), now_ms);
            }
        }
        if now_ms > new_version_ms && now_ms.is_multiple_of(DIGEST_MS) {
            self.roll_out(new_version_ms, now_ms);
        }
    }

    fn roll_out(&mut self, new_version_ms: u64, now_ms: u64) {
        let usable_ms = (new_version_ms + VERSION_LIMIT_MS).saturating_sub(now_ms);
        let live = (0..self.engines.len()).filter(|&index| self.is_listed[index]);
        let known = live.map(|index| EngineWeights {
            upstream_id: engine_name(index),
            loaded_version: WeightsVersion(self.engines[index].version),
            load: self.engines[index].load() as u32,
            usable_ms: (self.engines[index].version < 2).then_some(usable_ms),
        });
        let known: Vec<_> = known.collect();
        let (next, _) = self.plan.next(&known, WeightsVersion(2), now_ms);
        for index in (0..self.engines.len()).filter(|&index| next.contains(&engine_name(index))) {
            let result = match self.engines[index].is_dark {
                true => CommandResult::RetryLater,
                false => CommandResult::InProgress,
            };
            self.engines[index].load_weights(2);
            self.plan.record_result(&engine_name(index), WeightsVersion(2), result, now_ms);
        }
        self.listed_versions = self.engines.iter().map(|engine| engine.version).collect();
        self.publish(now_ms);
    }

    fn arrivals(&mut self, now_ms: u64) {
        let Day { long_per_s, short_per_s, long_burst, short_burst, .. } = self.setup.day;
        let rates = [(true, long_per_s, long_burst), (false, short_per_s, short_burst)];
        for (is_long, per_s, burst) in rates {
            if self.rng.random_bool(per_s * burst.factor_at(now_ms) / 1_000.0) {
                let account = self.draw_account();
                self.caller_arrives(is_long, account, now_ms);
            }
            if let Some(Flood { account, burst: flood }) = self.setup.day.variant.flood {
                let added = self.account_parts[account] * (flood.factor_at(now_ms) - 1.0);
                let expected = added * per_s * burst.factor_at(now_ms) / 1_000.0;
                let whole = expected as usize;
                let rest = usize::from(self.variant_rng.random_bool(expected - whole as f64));
                // A flood does not change the draws of the usual load.
                std::mem::swap(&mut self.rng, &mut self.variant_rng);
                (0..whole + rest).for_each(|_| self.caller_arrives(is_long, Some(account), now_ms));
                std::mem::swap(&mut self.rng, &mut self.variant_rng);
            }
        }
        let is_due = |(at_ms, _): &(u64, usize)| *at_ms <= now_ms;
        let due: Vec<usize> = self.returns.iter().filter(|r| is_due(r)).map(|r| r.1).collect();
        self.returns.retain(|r| !is_due(r));
        for caller in due {
            self.request(caller, now_ms);
        }
    }

    fn draw_account(&mut self) -> Option<usize> {
        let mut rest: f64 = self.variant_rng.random();
        let parts = self.account_parts.iter();
        let found = parts.enumerate().find(|(_, part)| {
            rest -= *part;
            rest < 0.0
        });
        found.map(|(account, _)| account)
    }

    fn caller_arrives(&mut self, is_long: bool, account: Option<usize>, now_ms: u64) {
        let (rng, day) = (&mut self.rng, &self.setup.day);
        let document = rng.random_range(0..day.documents);
        // A fifth of the prompts are of isolated accounts, which share no document with others.
        let scope = if rng.random_bool(0.2) { 1 + rng.random_range(0..4) } else { 0 };
        let document = document + day.documents * scope;
        let own_part = 1_000_000 + self.callers.len() as u64;
        let (prompt, run, wait_ms) = if is_long {
            let shared = lognormal(&mut SmallRng::seed_from_u64(document), day.document_tokens);
            let own = lognormal(rng, OWN_TOKENS);
            let output = 4 * lognormal(rng, LONG_OUTPUT_EVENTS);
            let prompt = prompt(&[(document, shared as u32), (own_part, own as u32)]);
            let wait_ms = day.variant.long_deadline_ms;
            (prompt, Run::new(2, Some(document), [shared, own, output]), wait_ms)
        } else {
            let own = lognormal(rng, SHORT_TOKENS);
            let output = 4 * lognormal(rng, SHORT_OUTPUT_EVENTS);
            let prompt = prompt(&[(900_000, 92), (own_part, own as u32)]);
            (prompt, Run::new(0, None, [0, 92 + own, output]), 5_000)
        };
        self.callers.push(Caller {
            is_long,
            account,
            document,
            refused_after_ms: Vec::new(),
            requested_ms: now_ms,
            arrived_ms: now_ms,
            deadline_ms: now_ms + wait_ms,
            first_event_ms: None,
            is_served: false,
            time_factor: None,
            has_returned: false,
            prompt: Arc::new(prompt),
            run,
        });
        self.request(self.callers.len() - 1, now_ms);
    }

    /// Sends a caller's request to a node that is not frozen.
    fn request(&mut self, caller: usize, now_ms: u64) {
        self.callers[caller].requested_ms = now_ms;
        let known = &self.callers[caller];
        let account = known.account.map(|account| AccountShare {
            tag: AccountTag::of(&format!("account-{account}")),
            weight: None,
        });
        let (target_ms, patience_ms) = match known.is_long {
            true => (self.setup.day.long_target_ms, self.setup.day.variant.long_patience_ms),
            false => (500, 4_000),
        };
        let request = ScheduleRequest {
            route: route(known.is_long),
            account,
            urgency: if known.is_long { 2 } else { 0 },
            deadline_ms: known.deadline_ms,
            target_ms,
            leaves_ms: (now_ms + patience_ms).min(known.deadline_ms),
            pause_target_ms: Some(500),
            prompt: Some(known.prompt.clone()),
            ..super::request(None, now_ms)
        };
        let job = Job { caller, run: known.run.clone() };
        let mut node = self.rng.random_range(0..self.nodes.len());
        while self.is_frozen(node, now_ms) {
            node = (node + 1) % self.nodes.len();
        }
        let scheduler = &mut self.nodes[node].scheduler;
        count_prompt(scheduler, &request, now_ms);
        scheduler.count_request(SERVICE, now_ms);
        self.place(node, job, request, true, now_ms);
    }

    fn place(
        &mut self,
        node: usize,
        job: Job,
        request: ScheduleRequest,
        is_first: bool,
        now_ms: u64,
    ) {
        let Node { scheduler, coordination, .. } = &mut self.nodes[node];
        match coordination {
            Some(coordination) => {
                let options = RequestOptions { may_wait: true, is_first };
                coordination.begin(scheduler, request, job, options, now_ms);
                self.finish_coordination(node, now_ms);
            }
            None => self.enqueue(node, job, request, now_ms),
        }
    }

    fn enqueue(&mut self, node: usize, job: Job, request: ScheduleRequest, now_ms: u64) {
        let Node { scheduler, queue, .. } = &mut self.nodes[node];
        let decisions = queue.enqueue(scheduler, request.clone(), (job, request), now_ms);
        self.apply(node, decisions, now_ms);
    }

    fn apply(
        &mut self,
        node: usize,
        decisions: Vec<((Job, ScheduleRequest), Choice)>,
        now_ms: u64,
    ) {
        for ((job, request), choice) in decisions {
            match choice {
                Choice::Send(assignment) => self.send(node, job, request, *assignment, now_ms),
                Choice::Refuse { retry_after_ms, .. } => {
                    self.refuse(job.caller, retry_after_ms, now_ms);
                }
                Choice::Wait => unreachable!("a waiting request has no decision"),
            }
        }
    }

    fn finish_coordination(&mut self, node: usize, now_ms: u64) {
        let Some(coordination) = &mut self.nodes[node].coordination else { return };
        let outgoing = coordination.take_outgoing();
        let resolved = coordination.take_resolved();
        for (to, message) in outgoing {
            let to = last_octet(to);
            let ends = [self.fault_of(node, now_ms), self.fault_of(to, now_ms)];
            let is_cut = ends.into_iter().flatten().any(|fault| fault.kind == FaultKind::Cut);
            if is_cut || self.rng.random_bool(self.setup.loss) {
                continue;
            }
            self.mail.push(Mail { at_ms: now_ms + MESSAGE_MS, to, from: node, message });
        }
        for resolved in resolved {
            let (job, request) = (resolved.handle, resolved.request);
            match resolved.resolution {
                Resolution::Assigned(assignment) => {
                    self.send(node, job, request, *assignment, now_ms);
                }
                Resolution::Refused { retry_after_ms, .. } => {
                    self.refuse(job.caller, retry_after_ms, now_ms);
                }
                Resolution::NoCapacity => unreachable!("each request may wait"),
                Resolution::Undecided => {
                    self.counts.undecided += 1;
                    self.enqueue(node, job, request, now_ms);
                }
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let is_due = |mail: &Mail| mail.at_ms <= now_ms;
        let (due, later) = std::mem::take(&mut self.mail).into_iter().partition(is_due);
        self.mail = later;
        let due: Vec<Mail> = due;
        for mail in due {
            if let Some(fault) = self.fault_of(mail.to, now_ms)
                && fault.kind == FaultKind::Frozen
            {
                self.mail.push(Mail { at_ms: fault.end_ms, ..mail });
                continue;
            }
            let Node { scheduler, coordination, .. } = &mut self.nodes[mail.to];
            if let Some(coordination) = coordination {
                coordination.receive(scheduler, node_address(mail.from), mail.message, now_ms);
            }
            self.finish_coordination(mail.to, now_ms);
        }
    }

    fn poll_nodes(&mut self, now_ms: u64) {
        for node in 0..self.nodes.len() {
            if self.is_frozen(node, now_ms) {
                continue;
            }
            let Node { scheduler, queue, coordination } = &mut self.nodes[node];
            let decisions = queue.dispatch(scheduler, now_ms, |_| false);
            if let Some(coordination) = coordination {
                coordination.tick(scheduler, now_ms, |_| false);
            }
            self.apply(node, decisions, now_ms);
            self.finish_coordination(node, now_ms);
        }
    }

    fn refuse(&mut self, caller: usize, retry_after_ms: u64, now_ms: u64) {
        let caller_state = &mut self.callers[caller];
        caller_state.refused_after_ms.push(now_ms - caller_state.requested_ms);
        if std::mem::replace(&mut caller_state.has_returned, true) {
            return;
        }
        let remaining_ms = caller_state.deadline_ms.saturating_sub(now_ms);
        self.returns.push((now_ms + retry_after_ms.min(remaining_ms / 3), caller));
    }

    fn send(
        &mut self,
        node: usize,
        job: Job,
        request: ScheduleRequest,
        assignment: Assignment,
        now_ms: u64,
    ) {
        let index =
            (0..self.engines.len()).find(|&index| engine_name(index) == assignment.upstream.id);
        let index = index.expect("engine is listed");
        if self.callers[job.caller].is_long {
            let prompt_tokens = assignment.prompt_tokens;
            self.long_assignments.push(LongAssignment { at_ms: now_ms, prompt_tokens });
        }
        self.next_run += 1;
        let mut run = Run { id: self.next_run, ..job.run.clone() };
        if let (Some(prefix), Some(source)) = (run.prefix, assignment.fetch_from) {
            let source = &self.engines[last_octet(source)];
            if source.holds(prefix) && source.version == self.engines[index].version {
                let fetch_ms = run.prefix_tokens as f64 / 1e3 * source.sheet.fetch_ms_per_1k_tokens;
                run.fetched_ms = Some(now_ms as f64 + fetch_ms);
            }
        }
        let engine = &mut self.engines[index];
        let has_version = assignment.version == Some(WeightsVersion(engine.version));
        let is_accepted = engine.is_dark || (has_version && engine.offer(run, now_ms as f64));
        let sent = Sent {
            node,
            engine: index,
            assignment,
            may_move: !self.callers[job.caller].is_long && request.tried.is_empty(),
            job,
            request,
            sent_ms: now_ms,
            is_prefilled: false,
        };
        self.sent.insert(self.next_run, sent);
        if !is_accepted {
            self.reject(self.next_run, now_ms);
        }
    }

    fn reject(&mut self, run: u64, now_ms: u64) {
        self.counts.rejected += 1;
        let Some(sent) = self.end_attempt(run, Verdict::Refused, now_ms) else { return };
        let mut request = sent.request;
        request.tried.push(sent.assignment.index);
        if self.nodes[sent.node].scheduler.try_retry(SERVICE, now_ms) {
            self.place(sent.node, sent.job, request, false, now_ms);
        } else {
            self.refuse(sent.job.caller, 500, now_ms);
        }
    }

    fn end_attempt(&mut self, run: u64, verdict: Verdict, now_ms: u64) -> Option<Sent> {
        let sent = self.sent.remove(&run)?;
        let outcome = AttemptOutcome { verdict, misdirection: None };
        let assignment = &sent.assignment;
        let pending = if sent.is_prefilled { 0 } else { assignment.pending_prefill_tokens };
        let (index, reserved) = (assignment.index, assignment.reserved_tokens);
        let scheduler = &mut self.nodes[sent.node].scheduler;
        scheduler.record_attempt_end(index, pending, reserved, &outcome, now_ms);
        self.record_change(sent.node, sent.engine);
        Some(sent)
    }

    fn record_change(&mut self, node: usize, engine: usize) {
        if let Some(coordination) = &mut self.nodes[node].coordination {
            coordination.record_change(UpstreamTag::of(&engine_name(engine)));
        }
    }

    fn advance_engines(&mut self, now_ms: u64) {
        let mut events = Vec::new();
        for index in 0..self.engines.len() {
            self.engines[index].advance(now_ms as f64, &mut events);
            for event in events.drain(..) {
                match event {
                    EngineEvent::FirstEvent(run) => self.first_event(run, now_ms),
                    EngineEvent::Ended(run) => {
                        if let Some(sent) = self.end_attempt(run, Verdict::Served, now_ms) {
                            self.callers[sent.job.caller].is_served = true;
                        }
                    }
                    EngineEvent::Rejected(run) => self.reject(run, now_ms),
                }
            }
        }
    }

    fn first_event(&mut self, run: u64, now_ms: u64) {
        let Some(sent) = self.sent.get_mut(&run) else { return };
        let caller = &mut self.callers[sent.job.caller];
        caller.first_event_ms.get_or_insert(now_ms);
        caller.time_factor.get_or_insert(self.engines[sent.engine].time_factor);
        if std::mem::replace(&mut sent.is_prefilled, true) {
            return;
        }
        let engine = &self.engines[sent.engine];
        let load = ReportedLoad {
            running: engine.running.len() as u32,
            waiting: engine.waiting.len() as u32,
            slots: self.setup.day.sheet.slots as u32,
            slowdown_percent: None,
        };
        let version = Some(WeightsVersion(engine.version));
        let (node, index) = (sent.node, sent.engine);
        let scheduler = &mut self.nodes[node].scheduler;
        let entry = sent.assignment.index;
        scheduler.observe_response_head(entry, Some(MODEL), Some(load), version, now_ms);
        scheduler.record_prefill_done(&sent.assignment, now_ms);
        self.record_change(node, index);
    }

    /// Callers leave without a first event, and short prompts move from slow engines.
    fn end_waits(&mut self, now_ms: u64) {
        let waiting = self.sent.iter().filter(|(_, sent)| !sent.is_prefilled);
        let mut waiting: Vec<u64> = waiting.map(|(run, _)| *run).collect();
        waiting.sort_unstable();
        for run in waiting {
            let Some(sent) = self.sent.get_mut(&run) else { continue };
            let (node, engine) = (sent.node, sent.engine);
            if now_ms >= sent.request.leaves_ms {
                self.engines[engine].cancel(run);
                self.end_attempt(run, Verdict::Unknown, now_ms);
                continue;
            }
            let is_slow = now_ms >= sent.sent_ms + MOVE_MS;
            if !is_slow || !std::mem::take(&mut sent.may_move) {
                continue;
            }
            let mut request = sent.request.clone();
            request.tried.push(sent.assignment.index);
            let scheduler = &mut self.nodes[node].scheduler;
            if scheduler.has_capacity_now(&request, now_ms)
                && scheduler.try_retry(SERVICE, now_ms)
                && let Choice::Send(assignment) = scheduler.choose(&request, now_ms)
            {
                self.engines[engine].cancel(run);
                let sent = self.end_attempt(run, Verdict::Unknown, now_ms);
                let sent = sent.expect("attempt was listed above");
                self.send(node, sent.job, request, *assignment, now_ms);
            }
        }
    }

    fn exchange_digests(&mut self, now_ms: u64) {
        let count = self.nodes.len();
        let digests: Vec<_> = self
            .nodes
            .iter_mut()
            .enumerate()
            .map(|(index, node)| node.scheduler.digest(index as u64, now_ms))
            .collect();
        let peers = NODES_PER_DIGEST_PERIOD.min(count - 1);
        let offset = (now_ms / DIGEST_MS) as usize * peers;
        for (sender, digest) in digests.into_iter().enumerate() {
            for step in 0..peers {
                let begin = sender * 7 + offset + step;
                let receiver = (sender + 1 + begin % (count - 1)) % count;
                self.nodes[receiver].scheduler.observe_peer(digest.clone(), now_ms);
            }
        }
        for Node { scheduler, coordination, .. } in &mut self.nodes {
            if let Some(coordination) = coordination {
                coordination.follow(scheduler, now_ms);
            }
        }
    }

    /// Returns the share of the worth of all prompts that was served: a long prompt is worth 3.2 in
    /// time and 1.5 late, a short one 2.8 and 0.34.
    pub fn served(&self) -> f64 {
        let (mut earned, mut owed) = (0.0, 0.0);
        for caller in
            self.callers.iter().filter(|caller| caller.deadline_ms <= self.setup.day.run_ms)
        {
            let (worth, late_worth, target_ms) = match caller.is_long {
                true => (3.2, 1.5, self.setup.day.long_target_ms),
                false => (2.8, 0.34, 500),
            };
            owed += worth;
            let first_ms = caller.first_event_ms.filter(|_| caller.is_served);
            earned += match first_ms {
                Some(at_ms) if at_ms - caller.arrived_ms <= target_ms => worth,
                Some(_) => late_worth,
                None => 0.0,
            };
        }
        earned / owed
    }

    pub fn preempted(&self) -> u64 {
        self.engines.iter().map(|engine| engine.preempted).sum()
    }
}
