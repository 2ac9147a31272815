//! Daemons as processes of their own before stand-ins in the test's process.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Request;

use redwingrill_lab::caller::Call;
use redwingrill_lab::process::ChildProcess;
use redwingrill_lab::site::PeerNetwork;
use redwingrill_lab::site::Site;
use redwingrill_lab::site::StandIns;
use redwingrill_lab::site::apply_site;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;

/// How long any single step may take.
pub const WAIT: Duration = Duration::from_secs(10);
const SEEDS: usize = 2;
const DUMP_BYTES: usize = 16 << 20;
const TIMEOUTS: Timeouts = Timeouts { connect: WAIT, head: WAIT };

/// A daemon as a process, with the settings that start it again at the same addresses.
pub struct Daemon {
    pub process: ChildProcess,
    pub settings: PathBuf,
}

/// Daemons before stand-ins.
pub struct Fleet {
    pub site: Site,
    pub stand_ins: StandIns,
    folder: PathBuf,
    peers: PeerNetwork,
    // More sections of the daemons' settings, and what they log.
    sections: String,
    log_level: &'static str,
}

impl Fleet {
    /// Starts the stand-ins; `name` keeps the settings of tests apart.
    pub async fn start(name: &str, decode_us: u32) -> Self {
        let mut site = Site::load("example").expect("the example is built in");
        site.pace.slots = 400;
        site.pace.decode_us = decode_us;
        site.pace.full_batch_slowdown_percent = 0;
        let stand_ins = StandIns::start(&site).await.expect("free ports are bound");
        apply_site(&site, &stand_ins).await.expect("the example is accepted");
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).expect("the folder is made");
        let peers = PeerNetwork::new().expect("keys are made");
        let (sections, log_level) = (String::new(), "warn");
        Self { site, stand_ins, folder, peers, sections, log_level }
    }

    /// Adds sections to the daemons' settings and sets what they log.
    pub fn with_sections(self, sections: &str, log_level: &'static str) -> Self {
        Self { sections: sections.to_owned(), log_level, ..self }
    }

    /// Returns the folder of this test's files.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// Writes the settings of a daemon; ports may be zero.
    fn settings(&self, n: usize, listen: SocketAddr, admin: SocketAddr) -> PathBuf {
        let text = format!(
            "[node]\nname = router-{n}\nlisten = {listen}\nadmin_listen = {admin}\n\
             peer_listen = {}\nfailure_domain = {}\ndrain_notice = 300 ms\n\
             drain_deadline = 30 s\n[platform]\nendpoints = {}\n\
             {}[log]\nlevel = {}\n{}",
            self.peers.address(n),
            self.site.domain_of(n),
            self.stand_ins.platform.address,
            self.peers.sections(0..SEEDS),
            self.log_level,
            self.sections,
        );
        let path = self.folder.join(format!("router-{n}.ini"));
        std::fs::write(&path, text).expect("the settings are written");
        path
    }

    /// Starts a daemon on free ports, and keeps these for its next start.
    pub async fn daemon(&self, n: usize) -> Daemon {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let process = start(&self.settings(n, any, any)).await;
        let settings = self.settings(n, process.address, process.admin_address);
        Daemon { process, settings }
    }

    /// Starts a daemon on free ports that logs to a file.
    pub async fn daemon_with_log(&self, n: usize, log: &Path) -> Daemon {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = self.settings(n, any, any);
        let path = settings.to_str().expect("the path is text");
        let log = File::create(log).expect("the log is made");
        let process =
            ChildProcess::start_logging(&program(), &["--settings", path], log.into()).await;
        Daemon { process: process.expect("the daemon starts"), settings }
    }

    /// Reads the state of a daemon.
    pub async fn dump(&self, pool: &Pool, daemon: &Daemon) -> serde_json::Value {
        let request = Request::get("/dump").header("host", "router").body(Bytes::new());
        let request = request.expect("the request is valid");
        let address = daemon.process.admin_address;
        let reply = pool.send(address, request, Freshness::New, &TIMEOUTS).await;
        let body = reply.expect("the daemon answers").into_body().read_all(DUMP_BYTES, WAIT).await;
        serde_json::from_slice(&body.expect("the dump is whole")).expect("the dump is JSON")
    }

    /// Returns a call of the first client account.
    pub fn call(&self, question: &str, tokens: u32) -> Call {
        let api_key = self.site.accounts[0].api_key.clone();
        Call { api_key, ..Call::new(&self.site.model, question, tokens) }
    }
}

/// Returns the daemon's program.
pub fn program() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_redwingrill-lab")).with_file_name("redwingrilld")
}

/// Starts a daemon and waits until it says where it listens.
pub async fn start(settings: &Path) -> ChildProcess {
    let settings = settings.to_str().expect("the path is text");
    ChildProcess::start(&program(), &["--settings", settings]).await.expect("the daemon starts")
}

async fn admin(pool: &Pool, address: SocketAddr, request: Request<Bytes>) -> u16 {
    let sent = pool.send(address, request, Freshness::New, &TIMEOUTS).await;
    sent.map_or(0, |response| response.status().as_u16())
}

/// Waits until a daemon says that it is ready.
pub async fn wait_ready(pool: &Pool, address: SocketAddr) {
    let deadline = Instant::now() + WAIT;
    loop {
        let request = Request::get("/ready").header("host", "router").body(Bytes::new());
        if admin(pool, address, request.expect("the request is valid")).await == 200 {
            return;
        }
        assert!(Instant::now() < deadline, "the daemon is ready in time");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Asks a daemon to drain.
pub async fn drain(pool: &Pool, address: SocketAddr) {
    let request = Request::post("/drain").header("host", "router").body(Bytes::new());
    assert_eq!(admin(pool, address, request.expect("the request is valid")).await, 202);
}

/// Kills the daemons and stops the stand-ins.
pub async fn stop(fleet: Fleet, daemons: Vec<Daemon>) {
    for daemon in daemons {
        daemon.process.kill().await.expect("the daemon is killed");
    }
    fleet.stand_ins.stop().await;
}
