//! The coordinator of groups of engines.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::AssignmentRequest;
use super::AssignmentResponse;
use super::Decision;
use super::EngineGroup;
use super::Grant;
use super::GroupKey;
use super::InquiryId;
use super::LoadReport;
use super::PlannedInquiry;
use super::Requirements;
use crate::fleet::UpstreamTag;
use crate::placement::CacheStoreDigest;
use crate::scheduler::Assignment;
use crate::scheduler::Choice;
use crate::scheduler::Explanation;
use crate::scheduler::RefusalCause;
use crate::scheduler::ScheduleRequest;
use crate::scheduler::Scheduler;
use crate::scheduler::Shortage;
use crate::scheduler::WaitQueue;
use redwingrill_routing::CacheChange;
use redwingrill_routing::SoftwareVersion;

/// How long a waiting request is kept without being renewed.
const RENEWAL_LIMIT_MS: u64 = 700;

/// How long an assignment counts while no report includes it.
const UNSETTLED_LIMIT_MS: u64 = 1_500;

/// How long decisions are kept, in case the node repeats the request.
const DECISION_MEMORY_MS: u64 = 3_000;

/// How long a group is kept after its last request.
const GROUP_MEMORY_MS: u64 = 30_000;

/// A response and the node that it is for.
pub(super) type Addressed = (SocketAddr, AssignmentResponse);

#[derive(Debug)]
enum RequestState {
    Waiting,
    Decided {
        decision: Decision,
        at_ms: u64,
        // The assignment that no report includes yet.
        unsettled: Option<Box<Assignment>>,
    },
}

#[derive(Debug)]
struct TrackedRequest {
    reply_to: SocketAddr,
    renewed_ms: u64,
    state: RequestState,
}

impl TrackedRequest {
    /// Returns whether the request waits and its node does not renew it any more.
    fn is_abandoned(&self, now_ms: u64) -> bool {
        matches!(self.state, RequestState::Waiting)
            && now_ms.saturating_sub(self.renewed_ms) >= RENEWAL_LIMIT_MS
    }
}

#[derive(Debug)]
struct Group {
    scheduler: Scheduler,
    queue: WaitQueue<InquiryId>,
    requests: HashMap<InquiryId, TrackedRequest>,
    used_ms: u64,
}

/// Assigns the engines of groups to the prompts of all nodes.
#[derive(Debug, Default)]
pub struct Coordinator {
    groups: HashMap<GroupKey, Group>,
}

impl Coordinator {
    /// Returns the number of groups that this node coordinates.
    pub fn group_count(&self) -> usize {
        self.groups.len()
    }

    /// Returns the number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.groups.values().map(|group| group.queue.len()).sum()
    }

    /// Takes over the current engines and what the node's scheduler knows of them.
    pub(super) fn follow(&mut self, node: &Scheduler, groups: &[EngineGroup], now_ms: u64) {
        self.groups.retain(|_, group| now_ms.saturating_sub(group.used_ms) < GROUP_MEMORY_MS);
        for (key, state) in &mut self.groups {
            let group = groups.iter().find(|group| group.key == *key);
            state.scheduler.follow(node, group.map_or(&[], |group| &group.engines), now_ms);
        }
    }

    /// Applies events of the cache store.
    pub(super) fn apply_cache_store_changes(&mut self, changes: &[CacheChange], now_ms: u64) {
        for group in self.groups.values_mut() {
            group.scheduler.apply_cache_store_changes(changes.to_vec(), now_ms);
        }
    }

    /// Records whether this node is subscribed to the cache store.
    pub(super) fn set_cache_store_epoch(&mut self, epoch: Option<u64>) {
        for group in self.groups.values_mut() {
            group.scheduler.set_cache_store_epoch(epoch);
        }
    }

    /// Merges what another node reports of the cache store.
    pub(super) fn merge_cache_store(&mut self, stored: &CacheStoreDigest, now_ms: u64) {
        for group in self.groups.values_mut() {
            group.scheduler.merge_cache_store(stored.clone(), now_ms);
        }
    }

    /// Decides on a request for an assignment, of an engine with `software` if that is given; returns
    /// the responses, of which some may be for other nodes.
    pub(super) fn handle_request(
        &mut self,
        node: &Scheduler,
        groups: &[EngineGroup],
        from: SocketAddr,
        request: AssignmentRequest,
        software: Option<SoftwareVersion>,
        now_ms: u64,
    ) -> Vec<Addressed> {
        let AssignmentRequest { inquiry, group: key, may_wait, is_first, requirements, report } =
            request;
        let group = self.groups.entry(key).or_insert_with(|| {
            let known = groups.iter().find(|group| group.key == key);
            Group {
                scheduler: node.for_group(known.map_or(&[], |group| &group.engines), now_ms),
                queue: WaitQueue::default(),
                requests: HashMap::new(),
                used_ms: now_ms,
            }
        });
        group.used_ms = now_ms;
        group.observe_report(report, now_ms);
        if let Some(tracked) = group.requests.get_mut(&inquiry) {
            tracked.renewed_ms = now_ms;
            let decision = match &tracked.state {
                RequestState::Waiting => Decision::Queued,
                RequestState::Decided { decision, .. } => decision.clone(),
            };
            return vec![(from, AssignmentResponse { inquiry, group: key, decision })];
        }
        let request = into_request(requirements, software, &group.scheduler, now_ms);
        if is_first {
            // Engines keep their roles in a flood of one account, unless its quota bounds the flood:
            // then the account may have what it asks for.
            let is_flood = group.queue.is_beyond_share(&mut group.scheduler, &request, now_ms);
            count_prompt(&mut group.scheduler, &request, is_flood, now_ms);
        }
        let tracked =
            TrackedRequest { reply_to: from, renewed_ms: now_ms, state: RequestState::Waiting };
        group.requests.insert(inquiry, tracked);
        let decided = match may_wait {
            true => group.queue.enqueue(&mut group.scheduler, request, inquiry, now_ms),
            false => {
                vec![(inquiry, group.queue.choose_now(&mut group.scheduler, &request, now_ms))]
            }
        };
        let mut responses = group.record_decisions(key, decided, now_ms);
        if let Some(tracked) = group.requests.get(&inquiry)
            && matches!(tracked.state, RequestState::Waiting)
        {
            let decision = Decision::Queued;
            responses.push((from, AssignmentResponse { inquiry, group: key, decision }));
        }
        responses
    }

    /// Explains the decision that a request for an assignment would get here.
    pub(super) fn explain(
        &self,
        node: &Scheduler,
        groups: &[EngineGroup],
        planned: &PlannedInquiry,
        now_ms: u64,
    ) -> Explanation {
        let key = planned.group;
        let state = self.groups.get(&key);
        let mut scheduler = match state {
            Some(state) => state.scheduler.clone(),
            None => {
                let known = groups.iter().find(|group| group.key == key);
                node.for_group(known.map_or(&[], |group| &group.engines), now_ms)
            }
        };
        let (requirements, software) = (planned.requirements.clone(), planned.software.clone());
        let request = into_request(requirements, software, &scheduler, now_ms);
        let is_flood = state
            .is_some_and(|state| state.queue.is_beyond_share(&mut scheduler, &request, now_ms));
        count_prompt(&mut scheduler, &request, is_flood, now_ms);
        match state {
            Some(state) => state.queue.explain(&scheduler, &request, now_ms),
            None => WaitQueue::<InquiryId>::default().explain(&scheduler, &request, now_ms),
        }
    }

    /// Takes the load report of a node; returns the decisions that it allows.
    pub(super) fn handle_report(
        &mut self,
        key: GroupKey,
        report: LoadReport,
        now_ms: u64,
    ) -> Vec<Addressed> {
        let Some(group) = self.groups.get_mut(&key) else { return Vec::new() };
        group.observe_report(report, now_ms);
        group.dispatch(key, now_ms)
    }

    /// Forgets a request that its node no longer needs.
    pub(super) fn withdraw(&mut self, key: GroupKey, inquiry: InquiryId) {
        let Some(group) = self.groups.get_mut(&key) else { return };
        if let Some(tracked) = group.requests.remove(&inquiry) {
            group.release(tracked);
        }
    }

    /// Expires what is too old, and returns the decisions that are due.
    pub(super) fn tick(&mut self, now_ms: u64) -> Vec<Addressed> {
        let mut responses = Vec::new();
        for (key, group) in &mut self.groups {
            group.expire(now_ms);
            responses.extend(group.dispatch(*key, now_ms));
        }
        responses
    }
}

/// Returns the request as the scheduler of a group knows its engines.
fn into_request(
    requirements: Requirements,
    software: Option<SoftwareVersion>,
    scheduler: &Scheduler,
    now_ms: u64,
) -> ScheduleRequest {
    let fleet = scheduler.fleet();
    let index_of = |tag: UpstreamTag| {
        fleet.iter().find(|(_, entry)| entry.start_tag == tag).map(|(index, _)| index)
    };
    requirements.into_request(software, now_ms, index_of)
}

fn count_prompt(scheduler: &mut Scheduler, request: &ScheduleRequest, is_flood: bool, now_ms: u64) {
    let Some(prompt) = &request.prompt else { return };
    let (service, target_ms) = (&request.service, request.target_ms);
    match is_flood && !request.has_bounded_account() {
        true => {
            scheduler.observe_prompt(service, request.route, prompt, target_ms);
        }
        false => scheduler.count_prompt(service, request.route, prompt, target_ms, now_ms),
    }
}

impl Group {
    fn observe_report(&mut self, report: LoadReport, now_ms: u64) {
        for number in &report.settled {
            let inquiry = InquiryId { run: report.node, number: *number };
            let tracked = self.requests.get_mut(&inquiry);
            if let Some(RequestState::Decided { unsettled, .. }) = tracked.map(|t| &mut t.state)
                && let Some(assignment) = unsettled.take()
            {
                self.scheduler.release_assignment(&assignment);
            }
        }
        let LoadReport { node, sequence, upstreams, ended, .. } = report;
        self.scheduler.observe_node_load(node, sequence, upstreams, &ended, now_ms);
    }

    fn dispatch(&mut self, key: GroupKey, now_ms: u64) -> Vec<Addressed> {
        if self.queue.is_empty() {
            return Vec::new();
        }
        // What leaves the queue must leave the list, too: a renewal of a request that is listed as
        // waiting does not put it into the queue again.
        self.requests.retain(|_, tracked| !tracked.is_abandoned(now_ms));
        let requests = &self.requests;
        let is_abandoned = |inquiry: &InquiryId| !requests.contains_key(inquiry);
        let decided = self.queue.dispatch(&mut self.scheduler, now_ms, is_abandoned);
        self.record_decisions(key, decided, now_ms)
    }

    fn record_decisions(
        &mut self,
        group: GroupKey,
        decided: Vec<(InquiryId, Choice)>,
        now_ms: u64,
    ) -> Vec<Addressed> {
        let mut responses = Vec::new();
        for (inquiry, choice) in decided {
            let (decision, unsettled) = match choice {
                Choice::Send(assignment) => {
                    (Decision::Assigned(Grant::from(&*assignment)), Some(assignment))
                }
                Choice::Wait => (Decision::NoCapacity, None),
                Choice::Refuse { cause: RefusalCause::NoUpstream, .. } => {
                    (Decision::NoUpstream, None)
                }
                Choice::Refuse { cause, retry_after_ms } => {
                    let shortage = match cause {
                        RefusalCause::Overloaded(shortage) => shortage,
                        _ => Shortage::default(),
                    };
                    (Decision::Refused { shortage, retry_after_ms }, None)
                }
            };
            let Some(tracked) = self.requests.get_mut(&inquiry) else {
                if let Some(assignment) = unsettled {
                    self.scheduler.release_assignment(&assignment);
                }
                continue;
            };
            let response = AssignmentResponse { inquiry, group, decision: decision.clone() };
            responses.push((tracked.reply_to, response));
            tracked.state = RequestState::Decided { decision, at_ms: now_ms, unsettled };
        }
        responses
    }

    fn expire(&mut self, now_ms: u64) {
        self.scheduler.expire_node_loads(now_ms);
        let mut expired = Vec::new();
        self.requests.retain(|_, tracked| !tracked.is_abandoned(now_ms));
        self.requests.retain(|_, tracked| match &mut tracked.state {
            RequestState::Waiting => true,
            RequestState::Decided { at_ms, unsettled, .. } => {
                let age_ms = now_ms.saturating_sub(*at_ms);
                if age_ms >= UNSETTLED_LIMIT_MS {
                    expired.extend(unsettled.take());
                }
                age_ms < DECISION_MEMORY_MS
            }
        });
        for assignment in expired {
            self.scheduler.release_assignment(&assignment);
        }
    }

    fn release(&mut self, tracked: TrackedRequest) {
        if let RequestState::Decided { unsettled: Some(assignment), .. } = tracked.state {
            self.scheduler.release_assignment(&assignment);
        }
    }
}
