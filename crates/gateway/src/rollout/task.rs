//! The task that claims the leadership of the roll-out and sends the commands.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::leader_key::LeaderKey;
use super::leader_key::claim;
use super::leader_key::read;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::cluster_view::ROLLOUT_LEADER_KEY;
use crate::cluster_view::RolloutLeader;
use crate::dispatch::Dispatcher;
use redwingrill_routing::ControlError;
use redwingrill_routing::Era;
use redwingrill_routing::ItemCodec;
use redwingrill_routing::Revision;
use redwingrill_routing::SharedStore;
use redwingrill_routing::SharedStoreError;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamControl;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsCommand;
use redwingrill_routing::WeightsOutcome;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::rollout::Claim;
use redwingrill_scheduling::rollout::CommandResult;
use redwingrill_scheduling::rollout::EngineWeights;
use redwingrill_scheduling::rollout::KeyHolder;
use redwingrill_scheduling::rollout::Leadership;
use redwingrill_scheduling::rollout::LoadPlan;
use redwingrill_scheduling::turns::retry_delay_ms;

/// How often the roll-out is advanced while there is work.
const STEP_PERIOD: Duration = Duration::from_millis(150);

/// The delay after a failed store call of the roll-out.
const STORE_RETRY_DELAY_MS: u64 = 500;

/// The time for other nodes to learn that an engine is about to load.
const VIEW_PROPAGATION_DELAY: Duration = Duration::from_millis(60);

/// The options of [`RolloutTask`].
#[derive(Clone, Debug)]
pub struct RolloutOptions {
    /// The name of the node.
    pub node: String,
    /// The address for peers, which identifies the instance of the node.
    pub instance: Option<SocketAddr>,
    /// The lease of the leader, and how long a new leader waits for the old one.
    pub lease: Duration,
}

/// The roll-out task.
pub struct RolloutTask<S, C, D> {
    options: RolloutOptions,
    store: S,
    control: C,
    key: String,
    view: watch::Receiver<Arc<ClusterView>>,
    dispatcher: Dispatcher,
    leadership: Leadership,
    leadership_id: u64,
    leader_key: Option<LeaderKey>,
    renewed_ms: u64,
    paused_until_ms: u64,
    plans: HashMap<String, LoadPlan>,
    // Engines that an earlier process of this instance commanded, not yet asked about it.
    inherited: Vec<String>,
    codec: std::marker::PhantomData<D>,
}

impl<S: SharedStore, C: UpstreamControl, D: ItemCodec> RolloutTask<S, C, D> {
    /// Creates the task.
    pub fn new(
        options: RolloutOptions,
        store: S,
        control: C,
        codec: &D,
        view: watch::Receiver<Arc<ClusterView>>,
        dispatcher: Dispatcher,
    ) -> Self {
        let lease_ms = options.lease.as_millis() as u64;
        Self {
            key: codec.own_key(ROLLOUT_LEADER_KEY),
            options,
            store,
            control,
            view,
            dispatcher,
            leadership: Leadership::new(lease_ms, now_ms()),
            leadership_id: rand::random(),
            leader_key: None,
            renewed_ms: 0,
            paused_until_ms: 0,
            plans: HashMap::new(),
            inherited: Vec::new(),
            codec: std::marker::PhantomData,
        }
    }

    /// Runs until `stopping` is cancelled, then releases the key.
    pub async fn run(mut self, stopping: CancellationToken) {
        loop {
            let view = self.view.borrow_and_update().clone();
            let has_work = self.has_work(&view);
            self.step(&view, has_work).await;
            let is_busy = has_work || self.leader_key.is_some();
            tokio::select! {
                () = stopping.cancelled() => break,
                changed = self.view.changed() => {
                    if changed.is_err() {
                        break;
                    }
                }
                () = tokio::time::sleep(STEP_PERIOD), if is_busy => {}
            }
        }
        self.release("stopping").await;
    }

    async fn step(&mut self, view: &ClusterView, has_work: bool) {
        let now = now_ms();
        let era = view.complete_to.era();
        if self.leadership.observe_era(era, now) && self.leader_key.take().is_some() {
            warn!("event=rollout_lost reason=store_restored era={era}");
        }
        let holder = self.key_holder(view);
        if let (KeyHolder::OtherInstance, Some(leader)) = (holder, &view.rollout_leader) {
            if self.leader_key.take().is_some() {
                warn!("event=rollout_lost holder={}", leader.name);
            }
            self.leadership.observe_other_leader(now);
        }
        if now < self.paused_until_ms {
            return;
        }
        if self.leader_key.is_some() {
            self.lead(view, has_work).await;
            return;
        }
        let rank = view.rank_of(&self.options.node);
        let claimed = match self.leadership.claim(has_work, holder, rank, now) {
            Claim::Now => self.claim(None).await,
            Claim::TakeOver => self.take_over().await,
            Claim::NotYet => return,
        };
        if let Err(error) = claimed {
            warn!("event=rollout_claim_failed reason={:?}", error.to_string());
            self.paused_until_ms = now_ms() + retry_delay_ms(rank, STORE_RETRY_DELAY_MS);
        }
    }

    fn key_holder(&self, view: &ClusterView) -> KeyHolder {
        match &view.rollout_leader {
            None => KeyHolder::Nobody,
            Some(leader) if self.is_of_this_instance(leader) => KeyHolder::ThisInstance,
            Some(_) => KeyHolder::OtherInstance,
        }
    }

    fn is_of_this_instance(&self, leader: &RolloutLeader) -> bool {
        let is_same = match (leader.instance, self.options.instance) {
            (Some(holder), Some(own)) => holder == own,
            _ => leader.leadership_id == self.leadership_id,
        };
        is_same && leader.name == self.options.node
    }

    /// Takes the key over from an earlier leadership of this instance.
    async fn take_over(&mut self) -> Result<(), SharedStoreError> {
        match read(&self.store, &self.key).await? {
            Some((record, revision)) if self.is_of_this_instance(&record) => {
                self.claim(Some((record, revision))).await
            }
            // The view is older than the key.
            Some(_) => {
                self.leadership.observe_other_leader(now_ms());
                self.paused_until_ms = now_ms() + STORE_RETRY_DELAY_MS;
                Ok(())
            }
            None => self.claim(None).await,
        }
    }

    /// Claims the key, in place of the record of an earlier leadership of this instance if there is
    /// one.
    async fn claim(
        &mut self,
        replaced: Option<(RolloutLeader, Revision)>,
    ) -> Result<(), SharedStoreError> {
        let sent_ms = now_ms();
        self.leadership_id = self.leadership_id.wrapping_add(1);
        let mut record = self.record(Vec::new());
        if let Some((replaced, revision)) = &replaced {
            record.loading = replaced.loading.clone();
            record.has_commanded = replaced.has_commanded && Era(replaced.era) == revision.era();
        }
        let revision = replaced.as_ref().map_or(Revision::ABSENT, |(_, revision)| *revision);
        match claim(&self.store, &self.key, &record, revision, self.options.lease).await? {
            Some(leader_key) => {
                match record.has_commanded {
                    true => self.leadership.taken_over(leader_key.claimed, sent_ms),
                    false => self.leadership.acquired(leader_key.claimed, sent_ms),
                }
                self.inherited = record.loading;
                info!(
                    "event=rollout_waits fence={} commands_in_ms={}",
                    leader_key.claimed.as_u64(),
                    self.leadership.commands_wait_ms(now_ms()),
                );
                self.leader_key = Some(leader_key);
                self.renewed_ms = sent_ms;
            }
            None => {
                self.leadership.observe_other_leader(now_ms());
                self.paused_until_ms = now_ms() + STORE_RETRY_DELAY_MS;
            }
        }
        Ok(())
    }

    async fn lead(&mut self, view: &ClusterView, has_work: bool) {
        if !has_work {
            self.release("done").await;
            return;
        }
        if !self.renew().await {
            return;
        }
        for (model, target) in &view.target_versions {
            self.load(view, model, target.version).await;
        }
    }

    /// Renews the lease once a third of it has passed. Returns whether the key is still held.
    async fn renew(&mut self) -> bool {
        let sent_ms = now_ms();
        let third_ms = self.options.lease.as_millis() as u64 / 3;
        if sent_ms.saturating_sub(self.renewed_ms) < third_ms {
            return true;
        }
        let Some(lease) = self.leader_key.as_ref().map(|key| key.lease) else { return false };
        match self.store.renew(lease).await {
            Ok(true) => {
                self.leadership.renewed(sent_ms);
                self.renewed_ms = sent_ms;
                true
            }
            Ok(false) => {
                warn!("event=rollout_lost reason=lease_ended");
                self.lose_leadership();
                false
            }
            Err(error) => {
                warn!("event=rollout_renewal_failed reason={:?}", error.to_string());
                self.paused_until_ms = now_ms() + STORE_RETRY_DELAY_MS;
                true
            }
        }
    }

    async fn load(&mut self, view: &ClusterView, model: &str, target: WeightsVersion) {
        let loads = self.dispatcher.loads().await;
        let upstreams = engines_of(view, model);
        let engines = upstreams.iter().map(|(upstream, loaded)| {
            let known = loads.get(&upstream.id);
            EngineWeights {
                upstream_id: upstream.id.clone(),
                loaded_version: *loaded,
                load: known.map_or(0, |known| known.requests),
                usable_ms: known.and_then(|known| known.usable_ms.get(model).copied()),
            }
        });
        let engines: Vec<EngineWeights> = engines.collect();
        self.inherit_commands(&upstreams, model, target).await;
        let plan = self.plans.entry(model.to_owned()).or_default();
        let (next, loading) = plan.next(&engines, target, now_ms());
        if next.is_empty() || self.leadership.active_fencing_number(now_ms()).is_none() {
            return;
        }
        let outdated = engines.iter().filter(|engine| engine.loaded_version < target).count();
        info!(
            "event=rollout_step model={model} version={} engines={} outdated={outdated} \
             in_progress={} next={}",
            target.0,
            engines.len(),
            loading.len(),
            next.len(),
        );
        let record = self.record(loading.iter().chain(&next).cloned().collect());
        let Some(leader_key) = &mut self.leader_key else { return };
        match leader_key.update(&self.store, &self.key, &record).await {
            Ok(true) => {}
            Ok(false) => {
                warn!("event=rollout_lost reason=key_changed");
                self.lose_leadership();
                return;
            }
            Err(error) => {
                warn!("event=rollout_record_failed reason={:?}", error.to_string());
                self.paused_until_ms = now_ms() + STORE_RETRY_DELAY_MS;
                return;
            }
        }
        tokio::time::sleep(VIEW_PROPAGATION_DELAY).await;
        let chosen = upstreams.iter().filter(|(upstream, _)| next.contains(&upstream.id));
        let commands = chosen.map(|(upstream, _)| self.send_command(upstream, model, target));
        let results = join_all(commands).await;
        let plan = self.plans.entry(model.to_owned()).or_default();
        for (id, result) in results {
            plan.record_result(&id, target, result, now_ms());
        }
    }

    /// Adds the commands of an earlier process of this instance that engines still carry out. Their
    /// versions are unknown and may be older than the target, so a command is complete as soon as its
    /// engine reports any newer version.
    async fn inherit_commands(
        &mut self,
        upstreams: &[(Arc<Upstream>, WeightsVersion)],
        model: &str,
        target: WeightsVersion,
    ) {
        let inherited = upstreams
            .iter()
            .filter(|(upstream, loaded)| *loaded < target && self.inherited.contains(&upstream.id));
        let states = inherited.map(async |(upstream, loaded)| {
            let state = self.control.report(upstream).await;
            let next = WeightsVersion(loaded.0 + 1);
            state.is_ok_and(|state| state.is_busy).then(|| (upstream.id.clone(), next))
        });
        let busy = join_all(states).await;
        let plan = self.plans.entry(model.to_owned()).or_default();
        for (id, next) in busy.into_iter().flatten() {
            plan.record_result(&id, next, CommandResult::InProgress, now_ms());
        }
        let of_model = |id: &String| upstreams.iter().any(|(upstream, _)| upstream.id == *id);
        self.inherited.retain(|id| !of_model(id));
    }

    async fn send_command(
        &self,
        upstream: &Upstream,
        model: &str,
        version: WeightsVersion,
    ) -> (String, CommandResult) {
        let id = upstream.id.clone();
        let accepted = match self.control.report(upstream).await {
            Ok(state) => state.accepted,
            Err(e) => {
                info!("event=report_failed upstream={id} reason={:?}", e.to_string());
                return (id, CommandResult::RetryLater);
            }
        };
        // The lease may have expired during the call to the engine.
        let Some(fencing_number) = self.leadership.active_fencing_number(now_ms()) else {
            return (id, CommandResult::RetryLater);
        };
        let command = WeightsCommand {
            model: model.to_owned(),
            version,
            leader: self.options.node.clone(),
            fencing_number,
            expected_commands: Some(accepted),
        };
        let outcome = self.control.send_weights_command(upstream, &command).await;
        info!(
            "event=weights_ordered upstream={id} model={model} version={} fence={fencing_number} \
             expected_orders={accepted} outcome={outcome:?}",
            version.0,
        );
        let result = match outcome {
            Ok(WeightsOutcome::Accepted) | Err(ControlError::AnswerLost { .. }) => {
                CommandResult::InProgress
            }
            Ok(WeightsOutcome::Holds) => CommandResult::AlreadyLoaded,
            Ok(WeightsOutcome::Busy | WeightsOutcome::Fenced | WeightsOutcome::Refused)
            | Err(ControlError::NotSent { .. }) => CommandResult::RetryLater,
        };
        (id, result)
    }

    fn has_work(&self, view: &ClusterView) -> bool {
        view.target_versions.iter().any(|(model, target)| {
            engines_of(view, model).iter().any(|(_, loaded)| *loaded < target.version)
        })
    }

    async fn release(&mut self, reason: &str) {
        let Some(leader_key) = self.leader_key.take() else { return };
        self.leadership.released();
        info!("event=rollout_released reason={reason} fence={}", leader_key.claimed.as_u64());
        if let Err(error) = self.store.revoke(leader_key.lease).await {
            warn!("event=rollout_release_failed reason={:?}", error.to_string());
        }
    }

    fn lose_leadership(&mut self) {
        self.leader_key = None;
        self.leadership.lost(now_ms());
    }

    fn record(&self, loading: Vec<String>) -> RolloutLeader {
        RolloutLeader {
            name: self.options.node.clone(),
            instance: self.options.instance,
            leadership_id: self.leadership_id,
            // The key's holder sets it to that of the lease.
            era: 0,
            has_commanded: !loading.is_empty(),
            loading,
        }
    }
}

fn engines_of(view: &ClusterView, model: &str) -> Vec<(Arc<Upstream>, WeightsVersion)> {
    let ready = view.upstreams.iter().filter(|u| u.state == UpstreamState::Ready);
    ready.filter_map(|u| Some((u.clone(), u.version_of(model)?))).collect()
}
