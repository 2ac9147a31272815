//! The task that claims the roll-out and gives the orders.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::info;
use log::warn;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::leader_key::HeldKey;
use super::leader_key::claim;
use crate::clock::now_ms;
use crate::cluster_view::ClusterView;
use crate::cluster_view::ROLLOUT_LEADER_KEY;
use crate::cluster_view::RolloutLeader;
use crate::dispatch::Dispatcher;
use redwingrill_routing::ControlError;
use redwingrill_routing::ItemDialect;
use redwingrill_routing::SharedStore;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamControl;
use redwingrill_routing::UpstreamState;
use redwingrill_routing::WeightsOrder;
use redwingrill_routing::WeightsOutcome;
use redwingrill_routing::WeightsVersion;
use redwingrill_scheduling::rollout::Claim;
use redwingrill_scheduling::rollout::EngineWeights;
use redwingrill_scheduling::rollout::LoadPlan;
use redwingrill_scheduling::rollout::OrderResult;
use redwingrill_scheduling::rollout::Tenure;

/// How often work is looked at while there is some.
const STEP: Duration = Duration::from_millis(150);

/// The pause after a store call of the roll-out failed.
const STORE_PAUSE_MS: u64 = 500;

/// How long other nodes need to hear that an engine is about to load.
const NOTICE: Duration = Duration::from_millis(60);

/// What the task is made with.
#[derive(Clone, Debug)]
pub struct RolloutOptions {
    /// The name of the node.
    pub node: String,
    /// How long the lease of the holder lasts, and how long a new one waits for an old one.
    pub lease: Duration,
}

/// The task before it runs.
pub struct RolloutTask<S, C, D> {
    options: RolloutOptions,
    store: S,
    control: C,
    key: String,
    beliefs: watch::Receiver<Arc<ClusterView>>,
    dispatcher: Dispatcher,
    tenure: Tenure,
    tenure_number: u64,
    held: Option<HeldKey>,
    renewed_ms: u64,
    paused_until_ms: u64,
    plans: HashMap<String, LoadPlan>,
    dialect: std::marker::PhantomData<D>,
}

impl<S: SharedStore, C: UpstreamControl, D: ItemDialect> RolloutTask<S, C, D> {
    /// Makes the task.
    pub fn new(
        options: RolloutOptions,
        store: S,
        control: C,
        dialect: &D,
        beliefs: watch::Receiver<Arc<ClusterView>>,
        dispatcher: Dispatcher,
    ) -> Self {
        let lease_ms = options.lease.as_millis() as u64;
        Self {
            key: dialect.own_key(ROLLOUT_LEADER_KEY),
            options,
            store,
            control,
            beliefs,
            dispatcher,
            tenure: Tenure::new(lease_ms, now_ms()),
            tenure_number: rand::random(),
            held: None,
            renewed_ms: 0,
            paused_until_ms: 0,
            plans: HashMap::new(),
            dialect: std::marker::PhantomData,
        }
    }

    /// Runs until `stopping`, and gives the key back.
    pub async fn run(mut self, stopping: CancellationToken) {
        loop {
            let beliefs = self.beliefs.borrow_and_update().clone();
            let has_work = self.has_work(&beliefs);
            self.step(&beliefs, has_work).await;
            let is_busy = has_work || self.held.is_some();
            tokio::select! {
                () = stopping.cancelled() => break,
                changed = self.beliefs.changed() => {
                    if changed.is_err() {
                        break;
                    }
                }
                () = tokio::time::sleep(STEP), if is_busy => {}
            }
        }
        self.release("stopping").await;
    }

    async fn step(&mut self, beliefs: &ClusterView, has_work: bool) {
        let now = now_ms();
        let other = beliefs.rollout.as_ref().filter(|holder| {
            holder.name != self.options.node || holder.leadership_id != self.tenure_number
        });
        if let Some(holder) = other {
            if self.held.take().is_some() {
                warn!("event=rollout_lost holder={}", holder.name);
            }
            self.tenure.saw_other(now);
        }
        if now < self.paused_until_ms {
            return;
        }
        if self.held.is_some() {
            self.hold(beliefs, has_work).await;
            return;
        }
        let rank = rank_of(beliefs, &self.options.node);
        if self.tenure.claim(has_work, beliefs.rollout.is_some(), rank, now) == Claim::Now {
            self.claim().await;
        }
    }

    async fn claim(&mut self) {
        let asked_ms = now_ms();
        self.tenure_number = self.tenure_number.wrapping_add(1);
        let record = self.record(Vec::new());
        match claim(&self.store, &self.key, &record, self.options.lease).await {
            Ok(Some(held)) => {
                self.tenure.won(held.fence, asked_ms);
                self.held = Some(held);
                self.renewed_ms = asked_ms;
            }
            Ok(None) => {
                self.tenure.saw_other(now_ms());
                self.paused_until_ms = now_ms() + STORE_PAUSE_MS;
            }
            Err(fault) => {
                warn!("event=rollout_claim_failed reason={:?}", fault.to_string());
                self.paused_until_ms = now_ms() + STORE_PAUSE_MS;
            }
        }
    }

    async fn hold(&mut self, beliefs: &ClusterView, has_work: bool) {
        if !has_work {
            self.release("done").await;
            return;
        }
        if !self.renew().await {
            return;
        }
        for (model, named) in &beliefs.named_versions {
            self.load(beliefs, model, *named).await;
        }
    }

    /// Renews the lease when a third of it has passed. Returns whether the key is still held.
    async fn renew(&mut self) -> bool {
        let asked_ms = now_ms();
        let third_ms = self.options.lease.as_millis() as u64 / 3;
        if asked_ms.saturating_sub(self.renewed_ms) < third_ms {
            return true;
        }
        let Some(lease) = self.held.as_ref().map(|held| held.lease) else { return false };
        match self.store.renew(lease).await {
            Ok(true) => {
                self.tenure.renewed(asked_ms);
                self.renewed_ms = asked_ms;
                true
            }
            Ok(false) => {
                warn!("event=rollout_lost reason=lease_ended");
                self.forget();
                false
            }
            Err(fault) => {
                warn!("event=rollout_renewal_failed reason={:?}", fault.to_string());
                self.paused_until_ms = now_ms() + STORE_PAUSE_MS;
                true
            }
        }
    }

    async fn load(&mut self, beliefs: &ClusterView, model: &str, named: WeightsVersion) {
        let loads: HashMap<String, u32> = self.dispatcher.loads().await.into_iter().collect();
        let upstreams = engines_of(beliefs, model);
        let engines = upstreams.iter().map(|(upstream, holds)| EngineWeights {
            upstream_id: upstream.id.clone(),
            holds: *holds,
            load: loads.get(&upstream.id).copied().unwrap_or(0),
        });
        let engines: Vec<EngineWeights> = engines.collect();
        let plan = self.plans.entry(model.to_owned()).or_default();
        let (next, under_way) = plan.next(&engines, named, now_ms());
        if next.is_empty() || self.tenure.may_order(now_ms()).is_none() {
            return;
        }
        let record = self.record(under_way.iter().chain(&next).cloned().collect());
        let Some(held) = &mut self.held else { return };
        match held.update(&self.store, &self.key, &record).await {
            Ok(true) => {}
            Ok(false) => {
                warn!("event=rollout_lost reason=key_changed");
                self.forget();
                return;
            }
            Err(fault) => {
                warn!("event=rollout_record_failed reason={:?}", fault.to_string());
                self.paused_until_ms = now_ms() + STORE_PAUSE_MS;
                return;
            }
        }
        tokio::time::sleep(NOTICE).await;
        let chosen = upstreams.iter().filter(|(upstream, _)| next.contains(&upstream.id));
        let orders = chosen.map(|(upstream, _)| self.order(upstream, model, named));
        let results = join_all(orders).await;
        let plan = self.plans.entry(model.to_owned()).or_default();
        for (id, result) in results {
            plan.ordered(&id, named, result, now_ms());
        }
    }

    async fn order(
        &self,
        upstream: &Upstream,
        model: &str,
        version: WeightsVersion,
    ) -> (String, OrderResult) {
        let id = upstream.id.clone();
        let accepted = match self.control.accepted_orders(upstream).await {
            Ok(accepted) => accepted,
            Err(e) => {
                info!("event=report_failed upstream={id} reason={:?}", e.to_string());
                return (id, OrderResult::Later);
            }
        };
        // The lease may have run out while the engine was asked.
        let Some(fence) = self.tenure.may_order(now_ms()) else { return (id, OrderResult::Later) };
        let order = WeightsOrder {
            model: model.to_owned(),
            version,
            holder: self.options.node.clone(),
            fence,
            expected_orders: Some(accepted),
        };
        let outcome = self.control.order_weights(upstream, &order).await;
        info!(
            "event=weights_ordered upstream={id} model={model} version={} fence={fence} \
             expected_orders={accepted} outcome={outcome:?}",
            version.0,
        );
        let result = match outcome {
            Ok(WeightsOutcome::Accepted) | Err(ControlError::AnswerLost { .. }) => {
                OrderResult::UnderWay
            }
            Ok(WeightsOutcome::Holds) => OrderResult::Holds,
            Ok(WeightsOutcome::Busy | WeightsOutcome::Fenced | WeightsOutcome::Refused)
            | Err(ControlError::NotSent { .. }) => OrderResult::Later,
        };
        (id, result)
    }

    fn has_work(&self, beliefs: &ClusterView) -> bool {
        beliefs
            .named_versions
            .iter()
            .any(|(model, named)| engines_of(beliefs, model).iter().any(|(_, holds)| holds < named))
    }

    async fn release(&mut self, reason: &str) {
        let Some(held) = self.held.take() else { return };
        self.tenure.lost();
        info!("event=rollout_released reason={reason} fence={}", held.fence);
        if let Err(fault) = self.store.end(held.lease).await {
            warn!("event=rollout_release_failed reason={:?}", fault.to_string());
        }
    }

    fn forget(&mut self) {
        self.held = None;
        self.tenure.lost();
    }

    fn record(&self, loading: Vec<String>) -> RolloutLeader {
        RolloutLeader {
            name: self.options.node.clone(),
            leadership_id: self.tenure_number,
            loading,
        }
    }
}

fn engines_of(beliefs: &ClusterView, model: &str) -> Vec<(Arc<Upstream>, WeightsVersion)> {
    let ready = beliefs.upstreams.iter().filter(|u| u.state == UpstreamState::Ready);
    ready.filter_map(|u| Some((u.clone(), u.version_of(model)?))).collect()
}

/// Returns the place of a node among those that may claim.
fn rank_of(beliefs: &ClusterView, node: &str) -> usize {
    let names = beliefs.members.iter().map(|member| member.name.as_str());
    names.filter(|name| *name < node).count()
}
