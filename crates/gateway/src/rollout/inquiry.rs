//! Asks engines for their weights when the list of upstreams does not tell.
//!
//! The load pattern: a node is cut off from the store and from all other nodes while new weights
//! are rolled out. Engines reject its requests, which expect the older weights, and it would refuse
//! its callers once all engines have the new ones. An engine that rejected a request is asked when
//! the list has had time to tell; if it has newer weights, the others are asked, too.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use log::info;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::cluster_view::ClusterView;
use crate::dispatch::Dispatcher;
use redwingrill_routing::Upstream;
use redwingrill_routing::UpstreamControl;
use redwingrill_routing::UpstreamState;

/// How long the list may take to tell of weights that an engine has loaded.
const LIST_DELAY: Duration = Duration::from_millis(600);

/// The delay after all engines were asked.
const SWEEP_DELAY: Duration = Duration::from_secs(4);

/// The number of engines that are asked at the same time.
const CONCURRENT_CALLS: usize = 8;

/// The task that asks engines.
pub struct WeightsInquiry<C> {
    control: C,
    view: watch::Receiver<Arc<ClusterView>>,
    dispatcher: Dispatcher,
    // Engines that rejected a request because of its expected upstream or weights.
    misdirected: mpsc::Receiver<Arc<Upstream>>,
}

impl<C: UpstreamControl> WeightsInquiry<C> {
    /// Creates the task.
    pub fn new(
        control: C,
        view: watch::Receiver<Arc<ClusterView>>,
        dispatcher: Dispatcher,
        misdirected: mpsc::Receiver<Arc<Upstream>>,
    ) -> Self {
        Self { control, view, dispatcher, misdirected }
    }

    /// Runs until `stopping` is cancelled.
    pub async fn run(mut self, stopping: CancellationToken) {
        tokio::select! {
            () = stopping.cancelled() => {}
            () = self.inquire() => {}
        }
    }

    async fn inquire(&mut self) {
        while let Some(upstream) = self.misdirected.recv().await {
            sleep(LIST_DELAY).await;
            let view = self.view.borrow().clone();
            // An entry that changed has told meanwhile.
            let is_unchanged = view.upstreams.contains(&upstream);
            if !is_unchanged || !self.has_newer_weights(&upstream).await {
                continue;
            }
            let others = view.upstreams.iter().filter(|other| {
                other.state == UpstreamState::Ready
                    && other.service == upstream.service
                    && other.id != upstream.id
            });
            let others: Vec<&Arc<Upstream>> = others.collect();
            let mut newer = 0;
            for group in others.chunks(CONCURRENT_CALLS) {
                let answers = join_all(group.iter().map(|other| self.has_newer_weights(other)));
                newer += answers.await.into_iter().filter(|is_newer| *is_newer).count();
            }
            let (service, asked) = (&upstream.service, others.len());
            info!("event=weights_inquired service={service} asked={asked} newer={newer}");
            sleep(SWEEP_DELAY).await;
            while self.misdirected.try_recv().is_ok() {}
        }
    }

    /// Asks an engine for its weights and reports them. Returns whether they are newer than listed.
    async fn has_newer_weights(&self, upstream: &Arc<Upstream>) -> bool {
        let Ok(report) = self.control.report(upstream).await else { return false };
        let is_newer = report.versions.iter().any(|(model, version)| {
            upstream.version_of(model).is_some_and(|listed| *version > listed)
        });
        if is_newer {
            self.dispatcher.report_weights(upstream.clone(), report.versions);
        }
        is_newer
    }
}
