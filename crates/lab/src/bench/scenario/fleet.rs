//! A site under one policy, through one run.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use snafu::ResultExt;
use snafu::Snafu;
use tokio::time::Instant;

use super::Case;
use super::EventKind;
use crate::load;
use crate::load::Balancer;
use crate::load::PlannedCall;
use crate::load::PromptLibrary;
use crate::load::Record;
use crate::load::RunWindow;
use crate::site::ApplyFailure;
use crate::site::PeerNetwork;
use crate::site::PeerSetupError;
use crate::site::Routers;
use crate::site::RoutersError;
use crate::site::Site;
use crate::site::StandIns;
use crate::site::apply_site;

/// How long calls may go on after the last was sent.
const GRACE: Duration = Duration::from_millis(2_000);

/// Why a site did not start.
#[derive(Debug, Snafu)]
pub enum FleetError {
    /// A stand-in did not start.
    #[snafu(display("stand-ins: {source}"))]
    StandIn {
        /// The cause.
        source: io::Error,
    },
    /// The configuration was not accepted.
    #[snafu(display("{source}"))]
    Apply {
        /// The cause.
        source: ApplyFailure,
    },
    /// The routers would not reach each other.
    #[snafu(display("{source}"))]
    Peers {
        /// The cause.
        source: PeerSetupError,
    },
    /// The routers are not ready.
    #[snafu(display("{source}"))]
    Router {
        /// The cause.
        source: RoutersError,
    },
}

/// A site that runs.
pub(super) struct Fleet {
    stand_ins: StandIns,
    routers: Routers,
    peers: PeerNetwork,
    settings: String,
}

impl Fleet {
    /// Starts a site whose routers use a policy.
    pub async fn start(site: &Site, policy: &str) -> Result<Self, FleetError> {
        let stand_ins = StandIns::start(site).await.context(StandInSnafu)?;
        apply_site(site, &stand_ins).await.context(ApplySnafu)?;
        let settings = format!("[placement]\npolicy = {policy}\n");
        let peers = PeerNetwork::new().context(PeersSnafu)?;
        let routers = start_routers(site, &stand_ins, &peers, 0, &settings).await?;
        routers.formed().await.context(RouterSnafu)?;
        Ok(Self { stand_ins, routers, peers, settings })
    }

    /// Runs the calls and the events of a case, and stops the site.
    pub async fn run(
        self,
        site: &Site,
        case: &Case,
        calls: &[PlannedCall],
        library: &Arc<PromptLibrary>,
    ) -> Result<Vec<Record>, FleetError> {
        let started = Instant::now();
        let ends = started + Duration::from_millis(case.duration_ms) + GRACE;
        let balancer = Balancer::new(self.routers.addresses());
        let window = RunWindow { started, ends };
        let running = load::run(calls, library, &balancer, window);
        let events = self.happen(site, case, started, &balancer);
        let (records, fleet) = tokio::join!(running, events);
        fleet?.stop().await;
        Ok(records)
    }

    /// Lets the events of a case happen at their times.
    async fn happen(
        mut self,
        site: &Site,
        case: &Case,
        started: Instant,
        balancer: &Balancer,
    ) -> Result<Self, FleetError> {
        for event in &case.events {
            tokio::time::sleep_until(started + Duration::from_millis(event.at_ms)).await;
            match event.kind {
                EventKind::CrashEngines { percent, away_ms } => self.crash(percent, away_ms),
                EventKind::ReplaceRouters => self.replace_routers(site, balancer).await?,
            }
        }
        Ok(self)
    }

    fn crash(&self, percent: usize, away_ms: u64) {
        let count = self.stand_ins.engines.len() * percent / 100;
        for engine in &self.stand_ins.engines[..count] {
            engine.crash(away_ms);
        }
    }

    async fn replace_routers(
        &mut self,
        site: &Site,
        balancer: &Balancer,
    ) -> Result<(), FleetError> {
        let first = site.nodes;
        let routers =
            start_routers(site, &self.stand_ins, &self.peers, first, &self.settings).await?;
        let calls = balancer.replace(routers.addresses());
        let replaced = std::mem::replace(&mut self.routers, routers);
        replaced.stop_after(&calls).await;
        Ok(())
    }

    async fn stop(self) {
        self.routers.stop().await;
        self.stand_ins.stop().await;
    }
}

async fn start_routers(
    site: &Site,
    stand_ins: &StandIns,
    peers: &PeerNetwork,
    first: usize,
    settings: &str,
) -> Result<Routers, FleetError> {
    let platform = stand_ins.platform.address;
    let routers =
        Routers::start(site, platform, peers, first, settings).await.context(RouterSnafu)?;
    routers.configured().await.context(RouterSnafu)?;
    Ok(routers)
}
