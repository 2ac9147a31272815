//! Both sides of a node: its own requests, and the groups that it coordinates.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::AssignmentRequest;
use super::CoordinationMessage;
use super::Coordinator;
use super::EngineGroup;
use super::GroupNode;
use super::LoadReport;
use super::PlannedInquiry;
use super::RequestOptions;
use super::Requester;
use super::Resolved;
use super::coordinator::Addressed;
use super::divide;
use super::requester::Outgoing;
use crate::fleet::UpstreamTag;
use crate::placement::CacheStoreDigest;
use crate::scheduler::Explanation;
use crate::scheduler::ScheduleRequest;
use crate::scheduler::Scheduler;
use redwingrill_routing::CacheChange;
use redwingrill_routing::SoftwareVersion;

/// A gap in the activity of a node that tells that it was suspended.
const SUSPENSION_MS: u64 = 400;

/// How long after a suspension messages of other nodes may be as old as the suspension.
const BACKLOG_MS: u64 = 50;

/// The coordination of a node with the others.
#[derive(Debug)]
pub struct Coordination<T> {
    requester: Requester<T>,
    coordinator: Coordinator,
    // The groups of each service with engines.
    groups: HashMap<String, Vec<EngineGroup>>,
    own_address: Option<SocketAddr>,
    active_ms: Option<u64>,
    backlog_until_ms: u64,
    outgoing: Vec<Outgoing>,
}

impl<T> Coordination<T> {
    /// Creates the coordination of a run of a node, which `node` identifies.
    pub fn new(node: u64, failure_domain: String, seed: u64) -> Self {
        Self {
            requester: Requester::new(node, failure_domain, seed),
            coordinator: Coordinator::default(),
            groups: HashMap::new(),
            own_address: None,
            active_ms: None,
            backlog_until_ms: 0,
            outgoing: Vec::new(),
        }
    }

    /// Returns the requests of this node.
    pub fn requester(&self) -> &Requester<T> {
        &self.requester
    }

    /// Returns the groups that this node coordinates.
    pub fn coordinator(&self) -> &Coordinator {
        &self.coordinator
    }

    /// Replaces the nodes; `own_address` is the address of this one.
    pub fn set_nodes(&mut self, nodes: Vec<GroupNode>, own_address: Option<SocketAddr>) {
        self.own_address = own_address;
        self.requester.set_nodes(nodes);
        self.requester.set_groups(&self.groups);
    }

    /// Takes over the engines that the node's scheduler lists, and what it knows of them.
    ///
    /// To be called at least every 100 ms: a longer gap counts as a suspension.
    pub fn follow(&mut self, scheduler: &Scheduler, now_ms: u64) {
        self.observe_time(now_ms);
        let groups = groups_of(scheduler);
        if groups != self.groups {
            self.groups = groups;
            self.requester.set_groups(&self.groups);
        }
        let all: Vec<EngineGroup> = self.groups.values().flatten().cloned().collect();
        self.coordinator.follow(scheduler, &all, now_ms);
    }

    /// Applies events of the cache store.
    pub fn apply_cache_store_changes(&mut self, changes: &[CacheChange], now_ms: u64) {
        self.coordinator.apply_cache_store_changes(changes, now_ms);
    }

    /// Records whether this node is subscribed to the cache store.
    pub fn set_cache_store_epoch(&mut self, epoch: Option<u64>) {
        self.coordinator.set_cache_store_epoch(epoch);
    }

    /// Merges what another node reports of the cache store.
    pub fn merge_cache_store(&mut self, stored: &CacheStoreDigest, now_ms: u64) {
        self.coordinator.merge_cache_store(stored, now_ms);
    }

    /// Requests an assignment for a prompt.
    pub fn begin(
        &mut self,
        scheduler: &mut Scheduler,
        request: ScheduleRequest,
        handle: T,
        options: RequestOptions,
        now_ms: u64,
    ) {
        self.requester.begin(scheduler, request, handle, options, now_ms);
        self.deliver(scheduler, now_ms);
    }

    /// Returns the inquiry that would be made for a request, and if this node is the coordinator,
    /// the explanation of its decision; `None` if the node would decide by itself.
    pub fn explain(
        &self,
        scheduler: &Scheduler,
        request: &ScheduleRequest,
        now_ms: u64,
    ) -> Option<(PlannedInquiry, Option<Explanation>)> {
        let planned = self.requester.explain(scheduler, request, now_ms)?;
        let is_own = self.own_address == Some(planned.coordinator);
        let explanation = is_own.then(|| {
            let groups = self.groups.get(&request.service).map_or(&[][..], Vec::as_slice);
            self.coordinator.explain(scheduler, groups, &planned, now_ms)
        });
        Some((planned, explanation))
    }

    /// Takes a message of another node.
    pub fn receive(
        &mut self,
        scheduler: &mut Scheduler,
        from: SocketAddr,
        message: CoordinationMessage,
        now_ms: u64,
    ) {
        self.observe_time(now_ms);
        let is_from_requester = !matches!(message, CoordinationMessage::Response(_));
        if is_from_requester && now_ms < self.backlog_until_ms {
            return;
        }
        self.accept(scheduler, from, message, now_ms);
        self.deliver(scheduler, now_ms);
    }

    /// Notices when the node was suspended. Other nodes have asked other coordinators meanwhile, so
    /// what this one knew of its groups is wrong, and so is what they sent to it.
    fn observe_time(&mut self, now_ms: u64) {
        let gap_ms = self.active_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        self.active_ms = Some(now_ms);
        if gap_ms >= SUSPENSION_MS {
            self.backlog_until_ms = now_ms + BACKLOG_MS;
            self.coordinator = Coordinator::default();
        }
    }

    /// Records that the load of this node's requests at an engine has changed.
    pub fn record_change(&mut self, engine: UpstreamTag) {
        self.requester.record_change(engine);
    }

    /// Returns whether anything is due with time.
    pub fn is_idle(&self) -> bool {
        self.requester.is_idle() && self.coordinator.waiting() == 0
    }

    /// Does what is due. Requests for which `is_abandoned` returns true are dropped.
    pub fn tick(
        &mut self,
        scheduler: &mut Scheduler,
        now_ms: u64,
        is_abandoned: impl Fn(&T) -> bool,
    ) {
        self.requester.tick(scheduler, now_ms, is_abandoned);
        let responses = self.coordinator.tick(now_ms);
        self.respond(responses);
        self.deliver(scheduler, now_ms);
    }

    /// Returns all pending requests, for example because the node stops.
    pub fn give_up_all(&mut self) -> Vec<Resolved<T>> {
        self.requester.give_up_all();
        self.requester.take_resolved()
    }

    /// Returns the messages to send, with their addresses.
    pub fn take_outgoing(&mut self) -> Vec<(SocketAddr, CoordinationMessage)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the requests that are resolved.
    pub fn take_resolved(&mut self) -> Vec<Resolved<T>> {
        self.requester.take_resolved()
    }

    fn accept(
        &mut self,
        scheduler: &mut Scheduler,
        from: SocketAddr,
        message: CoordinationMessage,
        now_ms: u64,
    ) {
        match message {
            CoordinationMessage::Request(request) => {
                self.accept_request(scheduler, from, *request, None, now_ms);
            }
            CoordinationMessage::Continuation { request, software } => {
                self.accept_request(scheduler, from, *request, Some(software), now_ms);
            }
            CoordinationMessage::Response(response) => {
                self.requester.handle_response(scheduler, from, response, now_ms);
            }
            CoordinationMessage::Report { group, report } => {
                self.learn(scheduler, from, &report, now_ms);
                let responses = self.coordinator.handle_report(group, report, now_ms);
                self.respond(responses);
            }
            CoordinationMessage::Withdrawal { group, inquiry } => {
                self.coordinator.withdraw(group, inquiry);
            }
        }
    }

    fn accept_request(
        &mut self,
        scheduler: &mut Scheduler,
        from: SocketAddr,
        request: AssignmentRequest,
        software: Option<SoftwareVersion>,
        now_ms: u64,
    ) {
        self.learn(scheduler, from, &request.report, now_ms);
        let service = self
            .groups
            .values()
            .find(|groups| groups.iter().any(|group| group.key == request.group));
        let groups = service.map_or(&[][..], Vec::as_slice);
        let responses =
            self.coordinator.handle_request(scheduler, groups, from, request, software, now_ms);
        self.respond(responses);
    }

    /// Learns from the responses of another node. Each engine answers few requests of one node, so
    /// only the coordinator of its group sees enough of them to know its speed within seconds.
    fn learn(&self, scheduler: &mut Scheduler, from: SocketAddr, report: &LoadReport, now_ms: u64) {
        if self.own_address == Some(from) {
            return;
        }
        for sample in &report.samples {
            scheduler.observe_peer_response(sample, now_ms);
        }
    }

    fn respond(&mut self, responses: Vec<Addressed>) {
        let messages = responses.into_iter();
        self.outgoing.extend(messages.map(|(to, r)| (to, CoordinationMessage::Response(r))));
    }

    /// Delivers the messages to this node itself; the others stay to be sent.
    fn deliver(&mut self, scheduler: &mut Scheduler, now_ms: u64) {
        loop {
            self.outgoing.extend(self.requester.take_outgoing());
            let Some(own_address) = self.own_address else { return };
            let all = std::mem::take(&mut self.outgoing).into_iter();
            let (own, other): (Vec<_>, Vec<_>) = all.partition(|(to, _)| *to == own_address);
            self.outgoing = other;
            if own.is_empty() {
                return;
            }
            for (_, message) in own {
                self.accept(scheduler, own_address, message, now_ms);
            }
        }
    }
}

/// Returns the groups of each service with engines.
fn groups_of(scheduler: &Scheduler) -> HashMap<String, Vec<EngineGroup>> {
    let mut by_service: HashMap<&str, Vec<(&str, &str)>> = HashMap::new();
    for (_, entry) in scheduler.fleet().iter() {
        let upstream = &entry.upstream;
        if !upstream.models.is_empty() {
            let engines = by_service.entry(&upstream.service).or_default();
            engines.push((&upstream.id, &upstream.failure_domain));
        }
    }
    let groups = by_service.into_iter().map(|(service, mut engines)| {
        engines.sort_unstable();
        (service.to_owned(), divide(service, engines.into_iter()))
    });
    groups.collect()
}
