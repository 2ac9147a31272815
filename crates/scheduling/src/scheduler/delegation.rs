//! What a scheduler contributes to the assignment of prompts by coordinators: the scheduler of a
//! group of engines follows the one of its node, and a node uses the assignments of coordinators.

use std::collections::HashSet;
use std::net::SocketAddr;

use super::Assignment;
use super::ScheduleRequest;
use super::Scheduler;
use super::SchedulerOptions;
use super::choose::OLD_WEIGHTS_MARGIN_MS;
use crate::coordination::Grant;
use crate::fleet::EndStatement;
use crate::fleet::LoadDigest;
use crate::fleet::NodeLoad;
use crate::fleet::UpstreamTag;
use crate::placement::AffinityKey;
use crate::placement::CacheStoreDigest;
use crate::placement::PrefixTag;
use redwingrill_routing::WeightsVersion;

impl Scheduler {
    /// Returns a scheduler for some engines of this node's list. It starts with the loads that this
    /// node knows.
    pub(crate) fn for_group(&self, engines: &[String], now_ms: u64) -> Scheduler {
        let seed = self.options.seed.wrapping_add(engines.len() as u64);
        let mut group = Scheduler::new(SchedulerOptions { seed, ..self.options.clone() });
        group.set_members(1);
        group.cache_index = self.cache_index.for_group();
        group.peers = self.peers.loads_only();
        group.follow(self, engines, now_ms);
        group.fleet.set_peer_loads(&group.peers);
        group
    }

    /// Takes over what the scheduler of this node knows of some engines, except their load.
    pub(crate) fn follow(&mut self, node: &Scheduler, engines: &[String], now_ms: u64) {
        let wanted: HashSet<&str> = engines.iter().map(String::as_str).collect();
        let listed = node.fleet.iter().map(|(_, entry)| &entry.upstream);
        let listed = listed.filter(|upstream| wanted.contains(upstream.id.as_str())).cloned();
        self.set_upstreams(listed.collect(), now_ms);
        self.fleet.follow(&node.fleet);
        self.target_versions.clone_from(&node.target_versions);
        self.cache_store = node.cache_store;
        self.copy_settings(node);
        self.live_prefixes = self.cache_index.live_prefixes(now_ms);
    }

    /// Records the load of a node's requests, and the starts that it found to have ended.
    pub(crate) fn observe_node_load(
        &mut self,
        node: u64,
        sequence: u64,
        upstreams: Vec<(UpstreamTag, NodeLoad)>,
        ended: &[EndStatement],
        now_ms: u64,
    ) {
        self.fleet.merge_ended(ended, now_ms);
        let digest = LoadDigest { node, sequence, upstreams, ..LoadDigest::default() };
        self.peers.observe(digest, now_ms);
        self.fleet.set_peer_loads(&self.peers);
    }

    /// Forgets the load of nodes that have not reported for long.
    pub(crate) fn expire_node_loads(&mut self, now_ms: u64) {
        if self.peers.expire(now_ms) {
            self.fleet.set_peer_loads(&self.peers);
        }
    }

    /// Merges what another node reports of the cache store.
    pub(crate) fn merge_cache_store(&mut self, stored: CacheStoreDigest, now_ms: u64) {
        self.cache_index.cache_store_mut().merge_peer_digest(stored, now_ms);
    }

    /// Returns the load of this node's requests at some engines, with the number of the report.
    pub(crate) fn load_at(
        &mut self,
        is_included: impl Fn(UpstreamTag) -> bool,
    ) -> (u64, Vec<(UpstreamTag, NodeLoad)>) {
        self.sequence += 1;
        let busy = self.fleet.iter().filter(|(_, entry)| entry.in_flight > 0);
        let included = busy.filter(|(_, entry)| is_included(entry.tag));
        (self.sequence, included.map(|(_, entry)| (entry.tag, entry.own_load())).collect())
    }

    /// Returns the starts of those of some engines that this node must not use for a request.
    pub(crate) fn excluded_engines(
        &self,
        request: &ScheduleRequest,
        is_included: impl Fn(UpstreamTag) -> bool,
        now_ms: u64,
    ) -> Vec<UpstreamTag> {
        let connections = self.own_connection_limit(&request.service);
        let model = request.prompt.as_ref().map_or("", |prompt| prompt.model.as_str());
        let engines = self.fleet.of_service(&request.service);
        let engines = engines.filter(|(_, entry)| is_included(entry.tag));
        let excluded = engines.filter(|(index, entry)| {
            let health = &entry.health;
            request.tried.contains(index)
                || !self.fleet.accepts_requests(entry, now_ms)
                || !entry.signals.gate.allows(now_ms)
                || entry.in_flight >= connections
                || !self.may_begin_on(request, entry.version_of(model), now_ms)
                || health.is_ejected(now_ms)
                || (health.is_on_probation() && entry.in_flight > 0)
        });
        excluded.map(|(_, entry)| entry.start_tag).collect()
    }

    /// Returns whether any upstream of a service limits the rate of requests. Shares of a limit
    /// belong to nodes, so each node then decides by itself.
    pub(crate) fn has_limited_upstream(&self, service: &str) -> bool {
        self.fleet.of_service(service).any(|(_, entry)| entry.signals.gate.limit().is_some())
    }

    /// Uses the assignment of a coordinator for a request. `None` if the assigned engine is not of the
    /// request's service or software, or is not available to this node any more.
    pub(crate) fn use_grant(
        &mut self,
        request: &ScheduleRequest,
        grant: &Grant,
        coordinator: SocketAddr,
        now_ms: u64,
    ) -> Option<Assignment> {
        let index = {
            let mut engines = self.fleet.of_service(&request.service);
            engines.find(|(_, entry)| entry.start_tag == grant.upstream)?.0
        };
        // The coordinator may not have heard of newer weights, or later than this node.
        if !self.may_begin_on(request, grant.version.map(WeightsVersion), now_ms) {
            return None;
        }
        let pauses = self.model_mut(&request.service).pauses();
        let stall_timeout_ms = pauses.stall_timeout_ms(request.pause_target_ms);
        let entry = self.fleet.get(index)?;
        // The coordinator may know another version of the software, and one of an earlier build none.
        if !request.accepts_software(&entry.upstream) {
            return None;
        }
        if !self.fleet.accepts_requests(entry, now_ms) || !entry.signals.gate.allows(now_ms) {
            return None;
        }
        let entry = self.fleet.get_mut(index)?;
        entry.record_sent(grant.pending_prefill_tokens, grant.reserved_tokens);
        entry.signals.gate.spend(now_ms);
        let prompt = request.prompt.as_deref();
        let version = grant.version.map(WeightsVersion);
        let assignment = Assignment {
            index,
            upstream: entry.upstream.clone(),
            version,
            scope: version.map(|version| request.scope(version)),
            affinity: prompt.and_then(AffinityKey::of),
            pending_prefill_tokens: grant.pending_prefill_tokens,
            reserved_tokens: grant.reserved_tokens,
            prompt_tokens: prompt.map_or(0, |prompt| u64::from(prompt.prompt_tokens)),
            fetched_tokens: grant.fetched_tokens,
            queued_tokens: grant.queued_tokens,
            sent_ms: now_ms,
            stall_timeout_ms,
            coordinator: Some(coordinator),
            fetch_from: grant.fetch_from,
            save_to: grant.save_to,
        };
        if let (Some(key), Some(scope)) = (assignment.affinity, &assignment.scope) {
            self.cache_index.record_sent(PrefixTag::new(key, scope), index, now_ms);
        }
        Some(assignment)
    }

    /// Returns whether this node may still send a request to engines with this version.
    fn may_begin_on(
        &self,
        request: &ScheduleRequest,
        version: Option<WeightsVersion>,
        now_ms: u64,
    ) -> bool {
        let (Some(prompt), Some(version)) = (&request.prompt, version) else { return false };
        let usable_ms = self.usable_ms(&prompt.model, version, now_ms);
        usable_ms.is_none_or(|usable_ms| usable_ms > OLD_WEIGHTS_MARGIN_MS)
    }
}
