//! The requests of a node for assignments.
//!
//! A prompt with a long prefix is requested from the group that all nodes prefer for the prefix, a
//! short one from a group of the node's failure domain. While it waits there, another group is asked
//! once whether it has capacity now, so that groups with unlike load balance.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::AssignmentRequest;
use super::AssignmentResponse;
use super::CoordinationMessage;
use super::Decision;
use super::EngineGroup;
use super::Grant;
use super::GroupKey;
use super::GroupNode;
use super::InquiryId;
use super::LoadReport;
use super::Requirements;
use super::groups::coordinators;
use crate::fleet::UpstreamTag;
use crate::placement::AffinityKey;
use crate::scheduler::Assignment;
use crate::scheduler::RefusalCause;
use crate::scheduler::ScheduleRequest;
use crate::scheduler::Scheduler;
use redwingrill_routing::SoftwareVersion;

/// How long a coordinator may take to respond, and how often it is asked again meanwhile: one lost
/// datagram does not make it suspect.
const RESPONSE_TIMEOUT_MS: u64 = 90;
const REPEAT_PERIOD_MS: u64 = 20;

/// How often a waiting request is renewed, and after how many periods without a response its
/// coordinator counts as failed.
const RENEWAL_PERIOD_MS: u64 = 200;
const RENEWALS_LIMIT: u64 = 3;

/// A check of the pending requests that comes this late tells that the node itself was suspended or
/// starved, so responses may be waiting for it.
const LATE_CHECK_MS: u64 = 60;

/// How long a node that did not respond is not asked again.
const SUSPECT_MS: u64 = 600;

/// The number of nodes that may coordinate a group, and how many of them a request waits for.
const COORDINATORS_LIMIT: usize = 3;
const FAILURES_LIMIT: usize = 2;

/// How often the load at a group's engines is reported while nothing changes, and how long reports
/// list the assignments that arrived.
const REPORT_PERIOD_MS: u64 = 250;
const SETTLED_MEMORY_MS: u64 = 1_000;

/// The maximum number of parts of a prompt, of bytes in its names, and of settled assignments in a
/// message, so that it fits into a datagram. A coordinator would seem not to respond to a longer one.
const PARTS_LIMIT: usize = 256;
const NAMES_LIMIT_BYTES: usize = 1_024;
const SETTLED_LIMIT: usize = 256;

/// A message and the address that it is for.
pub(super) type Outgoing = (SocketAddr, CoordinationMessage);

/// How a request for an assignment is made.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RequestOptions {
    /// Whether the request may wait for capacity.
    pub may_wait: bool,
    /// Whether no other request was made for the prompt.
    pub is_first: bool,
}

/// The outcome of a request for an assignment.
#[derive(Debug)]
pub enum Resolution {
    /// The node may send the request.
    Assigned(Box<Assignment>),
    /// No engine has capacity now, and the request may not wait.
    NoCapacity,
    /// The request waited in vain.
    Refused {
        /// The cause.
        cause: RefusalCause,
        /// The delay after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// No coordinator responds, or none has an engine for it: the node decides by itself.
    Undecided,
}

/// A resolved request with the handle that it was begun with.
#[derive(Debug)]
pub struct Resolved<T> {
    /// The handle.
    pub handle: T,
    /// The request.
    pub request: ScheduleRequest,
    /// The outcome.
    pub resolution: Resolution,
}

/// A request as one coordinator has it.
#[derive(Clone, Copy, Debug)]
struct Inquiry {
    id: u64,
    group: GroupKey,
    coordinator: SocketAddr,
    begun_ms: u64,
    // When the request was sent last.
    sent_ms: u64,
    // The last response, while the request waits there.
    responded_ms: Option<u64>,
}

#[derive(Debug)]
struct PendingRequest<T> {
    request: ScheduleRequest,
    handle: T,
    options: RequestOptions,
    main: Inquiry,
    // The inquiry at another group while the request waits.
    probe: Option<Inquiry>,
    has_probed: bool,
    failures: usize,
}

/// What a node knows of one group.
#[derive(Debug, Default)]
struct GroupState {
    // The nodes to ask, in order.
    coordinators: Vec<SocketAddr>,
    failure_domain: Option<String>,
    engines: HashSet<UpstreamTag>,
    settled: VecDeque<(u64, u64)>,
    is_changed: bool,
    reported_ms: u64,
    reported_to: Option<SocketAddr>,
    has_load: bool,
}

/// The inquiry that would be made for a request.
#[derive(Clone, PartialEq, Debug)]
pub struct PlannedInquiry {
    /// The group of engines.
    pub group: GroupKey,
    /// The address of the node that would be asked.
    pub coordinator: SocketAddr,
    /// Its name.
    pub coordinator_name: Option<String>,
    /// The number of groups of the service.
    pub groups: usize,
    /// The failure domain of the group's engines; `None` if they are of several.
    pub failure_domain: Option<String>,
    /// The number of engines in the group.
    pub engines: usize,
    /// What the coordinator would be told.
    pub(super) requirements: Requirements,
    pub(super) software: Option<SoftwareVersion>,
}

/// The pending requests of a node.
#[derive(Debug)]
pub struct Requester<T> {
    node: u64,
    failure_domain: String,
    nodes: Vec<GroupNode>,
    groups: HashMap<GroupKey, GroupState>,
    by_service: HashMap<String, Vec<GroupKey>>,
    pending: HashMap<u64, PendingRequest<T>>,
    // The pending request of each inquiry.
    by_inquiry: HashMap<u64, u64>,
    suspects_until_ms: HashMap<SocketAddr, u64>,
    next_id: u64,
    // When the pending requests were checked last; `None` if there was none.
    checked_ms: Option<u64>,
    rng: SmallRng,
    outgoing: Vec<Outgoing>,
    resolved: Vec<Resolved<T>>,
}

impl<T> Requester<T> {
    /// Creates the requester of a run of a node, which `node` identifies.
    pub fn new(node: u64, failure_domain: String, seed: u64) -> Self {
        Self {
            node,
            failure_domain,
            nodes: Vec::new(),
            groups: HashMap::new(),
            by_service: HashMap::new(),
            pending: HashMap::new(),
            by_inquiry: HashMap::new(),
            suspects_until_ms: HashMap::new(),
            next_id: 0,
            checked_ms: None,
            rng: SmallRng::seed_from_u64(seed),
            outgoing: Vec::new(),
            resolved: Vec::new(),
        }
    }

    /// Returns the number of pending requests.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of nodes that did not respond lately.
    pub fn suspects(&self) -> usize {
        self.suspects_until_ms.len()
    }

    /// Returns whether anything is due with time.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
            && self.groups.values().all(|group| !group.is_changed && !group.has_load)
    }

    /// Replaces the nodes that may coordinate.
    pub(super) fn set_nodes(&mut self, nodes: Vec<GroupNode>) {
        self.nodes = nodes;
    }

    /// Replaces the groups of each service.
    pub(super) fn set_groups(&mut self, by_service: &HashMap<String, Vec<EngineGroup>>) {
        let mut previous = std::mem::take(&mut self.groups);
        self.by_service.clear();
        for (service, groups) in by_service {
            for group in groups {
                let mut state = previous.remove(&group.key).unwrap_or_default();
                let order = coordinators(group, &self.nodes, COORDINATORS_LIMIT);
                state.coordinators = order.into_iter().map(|n| self.nodes[n].address).collect();
                state.failure_domain.clone_from(&group.failure_domain);
                state.engines = group.engines.iter().map(|id| UpstreamTag::of(id)).collect();
                self.groups.insert(group.key, state);
                self.by_service.entry(service.clone()).or_default().push(group.key);
            }
        }
    }

    pub(super) fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    pub(super) fn take_resolved(&mut self) -> Vec<Resolved<T>> {
        std::mem::take(&mut self.resolved)
    }

    /// Requests an assignment.
    pub(super) fn begin(
        &mut self,
        scheduler: &mut Scheduler,
        request: ScheduleRequest,
        handle: T,
        options: RequestOptions,
        now_ms: u64,
    ) {
        let groups = match must_decide_alone(scheduler, &request) {
            true => Vec::new(),
            false => self.preferred_groups(&request),
        };
        let Some((group, coordinator)) = self.first_available(groups, now_ms) else {
            let resolution = Resolution::Undecided;
            self.resolved.push(Resolved { handle, request, resolution });
            return;
        };
        let main = self.new_inquiry(group, coordinator, now_ms);
        self.by_inquiry.insert(main.id, main.id);
        self.send_request(scheduler, &request, &main, options, now_ms);
        let pending = PendingRequest {
            request,
            handle,
            options,
            main,
            probe: None,
            has_probed: !options.may_wait,
            failures: 0,
        };
        self.pending.insert(main.id, pending);
    }

    /// Takes the response of a coordinator.
    pub(super) fn handle_response(
        &mut self,
        scheduler: &mut Scheduler,
        from: SocketAddr,
        response: AssignmentResponse,
        now_ms: u64,
    ) {
        let AssignmentResponse { inquiry, group, decision } = response;
        if inquiry.run != self.node {
            // An earlier run of this node asked. Its assignment is free for others.
            if matches!(decision, Decision::Assigned(_)) {
                let message = CoordinationMessage::Withdrawal { group, inquiry };
                self.outgoing.push((from, message));
            }
            return;
        }
        let id = inquiry.number;
        let Some(key) = self.by_inquiry.get(&id).copied() else {
            // The request was resolved or given up meanwhile.
            if matches!(decision, Decision::Assigned(_)) {
                self.settle(group, id, now_ms);
            }
            return;
        };
        let Some(pending) = self.pending.get_mut(&key) else { return };
        let is_main = pending.main.id == id;
        let asked = if is_main { Some(&mut pending.main) } else { pending.probe.as_mut() };
        let asked = asked.filter(|asked| (asked.group, asked.coordinator) == (group, from));
        let Some(asked) = asked else { return };
        asked.responded_ms = Some(now_ms);
        self.suspects_until_ms.remove(&asked.coordinator);
        match decision {
            Decision::Assigned(grant) => {
                self.settle(group, id, now_ms);
                self.use_grant(scheduler, key, id, &grant, now_ms);
            }
            Decision::Queued if is_main => self.probe_other_group(scheduler, key, now_ms),
            Decision::Queued => {}
            _ if !is_main => {
                pending.probe = None;
                self.by_inquiry.remove(&id);
            }
            Decision::NoCapacity => self.resolve(key, Resolution::NoCapacity),
            Decision::NoUpstream => self.resolve(key, Resolution::Undecided),
            Decision::Refused { shortage, retry_after_ms } => {
                let cause = RefusalCause::Overloaded(shortage);
                self.resolve(key, Resolution::Refused { cause, retry_after_ms });
            }
        }
    }

    /// Records that the load at an engine has changed.
    pub(super) fn record_change(&mut self, engine: UpstreamTag) {
        let mut groups = self.groups.values_mut();
        if let Some(group) = groups.find(|group| group.engines.contains(&engine)) {
            group.is_changed = true;
        }
    }

    /// Sends what is due, and gives up what has no response. Requests for which `is_abandoned`
    /// returns true are dropped.
    pub(super) fn tick(
        &mut self,
        scheduler: &mut Scheduler,
        now_ms: u64,
        is_abandoned: impl Fn(&T) -> bool,
    ) {
        self.suspects_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        self.excuse_own_pause(now_ms);
        let abandoned = self.pending.iter().filter(|(_, pending)| is_abandoned(&pending.handle));
        let abandoned: Vec<u64> = abandoned.map(|(key, _)| *key).collect();
        for key in abandoned {
            self.remove(key);
        }
        let keys: Vec<u64> = self.pending.keys().copied().collect();
        for key in keys {
            self.check_pending(scheduler, key, now_ms);
        }
        self.checked_ms = (!self.pending.is_empty()).then_some(now_ms);
        self.send_reports(scheduler, now_ms);
    }

    /// Gives coordinators the time back in which this node could not take their responses.
    fn excuse_own_pause(&mut self, now_ms: u64) {
        let pause_ms = self.checked_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        if pause_ms < LATE_CHECK_MS {
            return;
        }
        for pending in self.pending.values_mut() {
            for inquiry in [Some(&mut pending.main), pending.probe.as_mut()].into_iter().flatten() {
                inquiry.begun_ms = (inquiry.begun_ms + pause_ms).min(now_ms);
                inquiry.sent_ms = (inquiry.sent_ms + pause_ms).min(now_ms);
                inquiry.responded_ms = inquiry.responded_ms.map(|t| (t + pause_ms).min(now_ms));
            }
        }
    }

    /// Resolves all pending requests, for example because the node stops.
    pub(super) fn give_up_all(&mut self) {
        let keys: Vec<u64> = self.pending.keys().copied().collect();
        for key in keys {
            let Some(pending) = self.pending.get(&key) else { continue };
            for inquiry in [Some(pending.main), pending.probe].into_iter().flatten() {
                self.withdraw(&inquiry);
            }
            self.resolve(key, Resolution::Undecided);
        }
    }

    fn check_pending(&mut self, scheduler: &mut Scheduler, key: u64, now_ms: u64) {
        let Some(pending) = self.pending.get_mut(&key) else { return };
        if let Some(probe) = pending.probe
            && now_ms.saturating_sub(probe.begun_ms) >= RESPONSE_TIMEOUT_MS
        {
            pending.probe = None;
            self.by_inquiry.remove(&probe.id);
        }
        let Some(pending) = self.pending.get_mut(&key) else { return };
        let main = pending.main;
        let has_failed = match main.responded_ms {
            None => now_ms.saturating_sub(main.begun_ms) >= RESPONSE_TIMEOUT_MS,
            Some(at_ms) => now_ms.saturating_sub(at_ms) >= RENEWAL_PERIOD_MS * RENEWALS_LIMIT,
        };
        let period_ms = match main.responded_ms {
            None => REPEAT_PERIOD_MS,
            Some(_) => RENEWAL_PERIOD_MS,
        };
        if has_failed && pending.request.software.is_some() {
            // A coordinator of an earlier build drops such a request and responds to all others.
            self.resolve(key, Resolution::Undecided);
        } else if has_failed {
            self.suspect(main.coordinator, now_ms);
            self.ask_next_coordinator(scheduler, key, now_ms);
        } else if now_ms.saturating_sub(main.sent_ms) >= period_ms {
            pending.main.sent_ms = now_ms;
            let options = pending.options;
            let request = pending.request.clone();
            self.send_request(scheduler, &request, &main, options, now_ms);
        }
    }

    /// Asks the next coordinator of the group, or of another one, after one has failed.
    fn ask_next_coordinator(&mut self, scheduler: &mut Scheduler, key: u64, now_ms: u64) {
        let Some(pending) = self.pending.get_mut(&key) else { return };
        pending.failures += 1;
        let (failed, failures) = (pending.main, pending.failures);
        let request = pending.request.clone();
        pending.options.is_first = false;
        let options = pending.options;
        let mut groups = vec![failed.group];
        groups.extend(self.preferred_groups(&request));
        let next = self.first_available(groups, now_ms);
        self.by_inquiry.remove(&failed.id);
        let Some((group, coordinator)) = next.filter(|_| failures < FAILURES_LIMIT) else {
            self.resolve(key, Resolution::Undecided);
            return;
        };
        let main = self.new_inquiry(group, coordinator, now_ms);
        self.by_inquiry.insert(main.id, key);
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.main = main;
        }
        self.send_request(scheduler, &request, &main, options, now_ms);
    }

    /// Asks another group once whether it has capacity for a request that waits.
    fn probe_other_group(&mut self, scheduler: &mut Scheduler, key: u64, now_ms: u64) {
        let Some(pending) = self.pending.get(&key) else { return };
        if pending.has_probed {
            return;
        }
        let (main_group, request) = (pending.main.group, pending.request.clone());
        let groups = self.by_service.get(&request.service).map_or(&[][..], Vec::as_slice);
        let others: Vec<GroupKey> = groups.iter().copied().filter(|g| *g != main_group).collect();
        let group = match others.is_empty() {
            true => return,
            false => others[self.rng.random_range(0..others.len())],
        };
        let Some(coordinator) = self.coordinator(group, now_ms) else { return };
        let probe = self.new_inquiry(group, coordinator, now_ms);
        self.by_inquiry.insert(probe.id, key);
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.probe = Some(probe);
            pending.has_probed = true;
        }
        let options = RequestOptions { may_wait: false, is_first: false };
        self.send_request(scheduler, &request, &probe, options, now_ms);
    }

    fn use_grant(
        &mut self,
        scheduler: &mut Scheduler,
        key: u64,
        id: u64,
        grant: &Grant,
        now_ms: u64,
    ) {
        let Some(pending) = self.pending.get(&key) else { return };
        let inquiries = [Some(pending.main), pending.probe];
        let granting = inquiries.iter().flatten().find(|inquiry| inquiry.id == id);
        let Some(coordinator) = granting.map(|inquiry| inquiry.coordinator) else { return };
        let assignment = scheduler.use_grant(&pending.request, grant, coordinator, now_ms);
        let resolution = match assignment {
            Some(assignment) => Resolution::Assigned(Box::new(assignment)),
            None => Resolution::Undecided,
        };
        // What is asked elsewhere is not needed any more.
        for other in inquiries.into_iter().flatten().filter(|inquiry| inquiry.id != id) {
            self.withdraw(&other);
        }
        self.resolve(key, resolution);
    }

    fn resolve(&mut self, key: u64, resolution: Resolution) {
        let Some(pending) = self.pending.remove(&key) else { return };
        self.by_inquiry.remove(&pending.main.id);
        if let Some(probe) = pending.probe {
            self.by_inquiry.remove(&probe.id);
        }
        let PendingRequest { request, handle, .. } = pending;
        self.resolved.push(Resolved { handle, request, resolution });
    }

    fn remove(&mut self, key: u64) {
        let Some(pending) = self.pending.remove(&key) else { return };
        for inquiry in [Some(pending.main), pending.probe].into_iter().flatten() {
            self.by_inquiry.remove(&inquiry.id);
            self.withdraw(&inquiry);
        }
    }

    fn withdraw(&mut self, inquiry: &Inquiry) {
        let (group, inquiry_id) = (inquiry.group, self.inquiry_id(inquiry));
        let message = CoordinationMessage::Withdrawal { group, inquiry: inquiry_id };
        self.outgoing.push((inquiry.coordinator, message));
    }

    fn inquiry_id(&self, inquiry: &Inquiry) -> InquiryId {
        InquiryId { run: self.node, number: inquiry.id }
    }

    fn settle(&mut self, group: GroupKey, id: u64, now_ms: u64) {
        if let Some(state) = self.groups.get_mut(&group) {
            state.settled.push_back((id, now_ms));
            // An assignment in use is reported with the next change.
            state.has_load = true;
        }
    }

    fn suspect(&mut self, node: SocketAddr, now_ms: u64) {
        self.suspects_until_ms.insert(node, now_ms + SUSPECT_MS);
    }

    /// Returns the node to ask for a group's engines.
    fn coordinator(&self, group: GroupKey, now_ms: u64) -> Option<SocketAddr> {
        let order = &self.groups.get(&group)?.coordinators;
        let is_suspect =
            |node: &SocketAddr| self.suspects_until_ms.get(node).is_some_and(|t| *t > now_ms);
        order.iter().copied().find(|node| !is_suspect(node))
    }

    /// Returns the first group with a node to ask.
    fn first_available(
        &self,
        groups: Vec<GroupKey>,
        now_ms: u64,
    ) -> Option<(GroupKey, SocketAddr)> {
        groups.into_iter().find_map(|group| Some((group, self.coordinator(group, now_ms)?)))
    }

    /// Returns the groups of a request's service, the preferred first.
    fn preferred_groups(&mut self, request: &ScheduleRequest) -> Vec<GroupKey> {
        let mut rng = self.rng.clone();
        let groups = self.ranked_groups(request, &mut rng);
        self.rng = rng;
        groups
    }

    fn ranked_groups(&self, request: &ScheduleRequest, rng: &mut SmallRng) -> Vec<GroupKey> {
        let Some(prompt) = request.prompt.as_deref() else { return Vec::new() };
        let keys = self.by_service.get(&request.service).map_or(&[][..], Vec::as_slice);
        let affinity = AffinityKey::of(prompt);
        let (groups, own_domain) = (&self.groups, &self.failure_domain);
        let scored = keys.iter().filter_map(|key| {
            let group = groups.get(key)?;
            // A group is preferred in proportion to its engines.
            let draw = match affinity {
                Some(affinity) => {
                    xxh3_64_with_seed(&key.0.to_le_bytes(), affinity.0) as f64 / u64::MAX as f64
                }
                None => rng.random::<f64>(),
            };
            let score = -draw.max(f64::MIN_POSITIVE).ln() / group.engines.len().max(1) as f64;
            let is_remote = affinity.is_none()
                && group.failure_domain.as_ref().is_some_and(|domain| domain != own_domain);
            Some((is_remote, score, *key))
        });
        let mut scored: Vec<_> = scored.collect();
        scored.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        scored.into_iter().map(|(_, _, key)| key).collect()
    }

    /// Returns the group from which a request would be asked now, its coordinator, and what the
    /// coordinator would be told; `None` if the node would decide by itself.
    pub(super) fn explain(
        &self,
        scheduler: &Scheduler,
        request: &ScheduleRequest,
        now_ms: u64,
    ) -> Option<PlannedInquiry> {
        if must_decide_alone(scheduler, request) {
            return None;
        }
        let groups = self.ranked_groups(request, &mut self.rng.clone());
        let groups_count = groups.len();
        let (group, coordinator) = self.first_available(groups, now_ms)?;
        let state = self.groups.get(&group)?;
        let is_included = |engine| state.engines.contains(&engine);
        let excluded = scheduler.excluded_engines(request, is_included, now_ms);
        let node = self.nodes.iter().find(|node| node.address == coordinator);
        Some(PlannedInquiry {
            group,
            coordinator,
            coordinator_name: node.map(|node| node.name.clone()),
            groups: groups_count,
            failure_domain: state.failure_domain.clone(),
            engines: state.engines.len(),
            requirements: Requirements::new(request, &self.failure_domain, excluded, now_ms)?,
            software: request.software.clone(),
        })
    }

    fn new_inquiry(&mut self, group: GroupKey, coordinator: SocketAddr, now_ms: u64) -> Inquiry {
        self.next_id += 1;
        let (begun_ms, sent_ms) = (now_ms, now_ms);
        Inquiry { id: self.next_id, group, coordinator, begun_ms, sent_ms, responded_ms: None }
    }

    fn send_request(
        &mut self,
        scheduler: &mut Scheduler,
        request: &ScheduleRequest,
        inquiry: &Inquiry,
        options: RequestOptions,
        now_ms: u64,
    ) {
        let Some(group) = self.groups.get(&inquiry.group) else { return };
        let is_included = |engine| group.engines.contains(&engine);
        let excluded = scheduler.excluded_engines(request, is_included, now_ms);
        let domain = &self.failure_domain;
        let Some(requirements) = Requirements::new(request, domain, excluded, now_ms) else {
            return;
        };
        let report = self.report(scheduler, inquiry.group, inquiry.coordinator, now_ms);
        let message = AssignmentRequest {
            inquiry: self.inquiry_id(inquiry),
            group: inquiry.group,
            may_wait: options.may_wait,
            is_first: options.is_first,
            requirements,
            report,
        };
        let message = Box::new(message);
        let message = match &request.software {
            None => CoordinationMessage::Request(message),
            Some(software) => {
                CoordinationMessage::Continuation { request: message, software: software.clone() }
            }
        };
        self.outgoing.push((inquiry.coordinator, message));
    }

    fn report(
        &mut self,
        scheduler: &mut Scheduler,
        group: GroupKey,
        to: SocketAddr,
        now_ms: u64,
    ) -> LoadReport {
        let node = self.node;
        let Some(state) = self.groups.get_mut(&group) else {
            return LoadReport { node, ..LoadReport::default() };
        };
        let (sequence, upstreams) = scheduler.load_at(|tag| state.engines.contains(&tag));
        while let Some((_, at_ms)) = state.settled.front()
            && (now_ms.saturating_sub(*at_ms) >= SETTLED_MEMORY_MS
                || state.settled.len() > SETTLED_LIMIT)
        {
            state.settled.pop_front();
        }
        state.is_changed = false;
        state.has_load = !upstreams.is_empty() || !state.settled.is_empty();
        state.reported_ms = now_ms;
        state.reported_to = Some(to);
        let settled = state.settled.iter().map(|(id, _)| *id).collect();
        let ended = scheduler.fleet().end_statements(now_ms);
        let samples = scheduler.take_unreported_samples(|tag| state.engines.contains(&tag));
        LoadReport { node, sequence, upstreams, settled, ended, samples }
    }

    fn send_reports(&mut self, scheduler: &mut Scheduler, now_ms: u64) {
        let keys: Vec<GroupKey> = self.groups.keys().copied().collect();
        for group in keys {
            let coordinator = self.coordinator(group, now_ms);
            let Some(state) = self.groups.get(&group) else { continue };
            // A coordinator that does not seem to respond may still receive.
            let Some(coordinator) = coordinator.or(state.coordinators.first().copied()) else {
                continue;
            };
            let is_due = now_ms.saturating_sub(state.reported_ms) >= REPORT_PERIOD_MS
                || state.reported_to != Some(coordinator);
            if state.is_changed || (state.has_load && is_due) {
                let report = self.report(scheduler, group, coordinator, now_ms);
                let message = CoordinationMessage::Report { group, report };
                self.outgoing.push((coordinator, message));
            }
        }
    }
}

/// Returns whether a node decides on a request without a coordinator: shares of a rate limit belong
/// to nodes, and longer prompts cannot be sent.
fn must_decide_alone(scheduler: &Scheduler, request: &ScheduleRequest) -> bool {
    scheduler.has_limited_upstream(&request.service) || !fits_into_datagram(request)
}

fn fits_into_datagram(request: &ScheduleRequest) -> bool {
    let Some(prompt) = request.prompt.as_deref() else { return true };
    let audience_bytes = request.audience.as_str().len();
    let software_bytes = request.software.as_ref().map_or(0, |software| software.0.len());
    let names_bytes = prompt.model.len() + request.service.len() + audience_bytes + software_bytes;
    prompt.parts.len() <= PARTS_LIMIT && names_bytes <= NAMES_LIMIT_BYTES
}
