//! The routers' processes and what stands around them.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::TryStreamExt;
use futures::future::join_all;
use futures::stream;
use http::Request;
use serde_json::Value;
use snafu::ResultExt;
use tokio::time::Instant;
use tokio::time::sleep;

use super::ControlError;
use super::ControlOptions;
use super::KeysSnafu;
use super::MachineSnafu;
use super::ProcessSnafu;
use super::loads::LoadServer;
use super::site::free_udp_port;
use super::site::settings;
use crate::platform::Platform;
use crate::platform::PlatformOptions;
use crate::platform::RunningPlatform;
use crate::process::ChildProcess;
use crate::site::write_keys;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// Routers that start at the same time.
const STARTS_AT_ONCE: usize = 16;

const LIST_LAG_MS: u64 = 1_000;
const CALL: Duration = Duration::from_secs(5);
const TIMEOUTS: Timeouts = Timeouts { connect: CALL, head: CALL };
const DUMP_LIMIT_BYTES: usize = 16 << 20;
const POLL: Duration = Duration::from_millis(50);

/// The routers and the stand-ins.
#[derive(Debug)]
pub struct ControlFleet {
    /// The platform.
    pub platform: RunningPlatform,
    /// The server for all engines.
    pub loads: LoadServer,
    /// The routers, in the order of their numbers.
    pub routers: Vec<ChildProcess>,
    program: PathBuf,
    domains: usize,
    directory: PathBuf,
    peer_port: u16,
    pool: Pool,
}

impl ControlFleet {
    /// Starts the stand-ins only. `program` is `redwingrill-lab`, which has a router in it.
    ///
    /// # Errors
    ///
    /// See [`ControlError`], here and below.
    pub async fn prepare(options: &ControlOptions, program: &Path) -> Result<Self, ControlError> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let platform = PlatformOptions { listen: any, admin: any, list_lag_ms: LIST_LAG_MS };
        let platform = Platform::start(platform).await.context(MachineSnafu)?;
        let loads = LoadServer::start().await.context(MachineSnafu)?;
        let name = format!("redwingrill-control-{}-{}", std::process::id(), loads.port());
        let directory = std::env::temp_dir().join(name);
        fs::create_dir_all(&directory).context(MachineSnafu)?;
        write_keys(&directory).context(KeysSnafu)?;
        let (routers, peer_port) = (Vec::new(), free_udp_port()?);
        let (domains, pool) = (options.domains, Pool::new());
        let program = program.to_owned();
        Ok(Self { platform, loads, routers, program, domains, directory, peer_port, pool })
    }

    /// Starts routers with these numbers, several at a time.
    pub async fn start(&self, numbers: &[usize]) -> Result<Vec<ChildProcess>, ControlError> {
        let starts = numbers.iter().map(|&number| self.start_one(number));
        stream::iter(starts).buffered(STARTS_AT_ONCE).try_collect().await
    }

    async fn start_one(&self, number: usize) -> Result<ChildProcess, ControlError> {
        let platform = self.platform.address;
        let text = settings(number, self.domains, self.peer_port, platform, &self.directory);
        let file = self.directory.join(format!("node-{number}.ini"));
        fs::write(&file, text).context(MachineSnafu)?;
        let path = file.to_string_lossy();
        let arguments = ["router", "--settings", &path];
        ChildProcess::start(&self.program, &arguments).await.context(ProcessSnafu)
    }

    /// Kills routers at once and starts them again under the same numbers.
    pub async fn restart(&mut self, numbers: &[usize]) -> Result<(), ControlError> {
        let mut kept = Vec::new();
        let mut killed = Vec::new();
        for (number, router) in std::mem::take(&mut self.routers).into_iter().enumerate() {
            match numbers.contains(&number) {
                true => killed.push(router.kill()),
                false => kept.push((number, router)),
            }
        }
        for ended in join_all(killed).await {
            ended.context(MachineSnafu)?;
        }
        let started = self.start(numbers).await?;
        kept.extend(numbers.iter().copied().zip(started));
        kept.sort_by_key(|&(number, _)| number);
        self.routers = kept.into_iter().map(|(_, router)| router).collect();
        Ok(())
    }

    /// Reads one path of each router's administration address; none from one that does not answer.
    pub async fn read_all(&self, path: &str) -> Vec<Option<Value>> {
        join_all(self.routers.iter().map(|router| self.read(router.admin_address, path))).await
    }

    async fn read(&self, address: SocketAddr, path: &str) -> Option<Value> {
        let request = Request::get(path).header("host", "router").body(Bytes::new()).ok()?;
        let reply = self.pool.send(address, request, Freshness::Any, &TIMEOUTS).await.ok()?;
        let body = reply.into_body().read_all(DUMP_LIMIT_BYTES, CALL).await.ok()?;
        serde_json::from_slice(&body).ok()
    }

    /// Waits until all routers have a generation in force. Returns how long it took.
    pub async fn in_force(&self, generation: u64, limit: Duration) -> Result<u64, ControlError> {
        let has = |status: &Option<Value>| {
            let held = status.as_ref().and_then(|status| status["generation"].as_u64());
            held >= Some(generation)
        };
        let reason = format!("generation {generation} was not in force");
        self.until("/status", limit, reason, |all| all.iter().all(has)).await
    }

    /// Waits until all routers hold all routers for live. Returns how long it took.
    pub async fn formed(&self, limit: Duration) -> Result<u64, ControlError> {
        let count = self.routers.len();
        let knows_all = |dump: &Option<Value>| {
            let members =
                dump.as_ref().and_then(|dump| dump["cluster"]["cluster"]["members"].as_array());
            let live = |member: &&Value| member["state"] == "live";
            members.is_some_and(|members| members.iter().filter(live).count() == count)
        };
        self.until("/dump", limit, "the routers did not find each other".to_owned(), |all| {
            all.iter().all(knows_all)
        })
        .await
    }

    async fn until(
        &self,
        path: &str,
        limit: Duration,
        reason: String,
        holds: impl Fn(&[Option<Value>]) -> bool,
    ) -> Result<u64, ControlError> {
        let started = Instant::now();
        while !holds(&self.read_all(path).await) {
            if started.elapsed() > limit {
                return Err(ControlError::Late { reason, limit_s: limit.as_secs() });
            }
            sleep(POLL).await;
        }
        Ok(started.elapsed().as_millis() as u64)
    }

    /// Kills the routers and stops the stand-ins.
    pub async fn stop(self) {
        let kills = self.routers.into_iter().map(ChildProcess::kill);
        // A router that has ended already needs no end.
        let _ended: Vec<_> = join_all(kills).await;
        self.pool.close().await;
        self.loads.stop().await;
        self.platform.stop().await;
        // The files lie in the directory for temporary files; left ones harm nothing.
        let _left = fs::remove_dir_all(&self.directory).is_err();
    }
}
