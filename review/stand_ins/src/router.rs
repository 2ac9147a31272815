//! The project's daemon as a process, at a loopback address of its own.

use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

/// The command of the deploy file, from the root of the repository.
const PROGRAM: &str = "target/release/redwingrilld";
const ARGUMENT: &str = "--platform";
/// The port of `metrics` in the deploy file.
const METRICS_PORT: u16 = 9464;
const SETTINGS_VARIABLE: &str = "REDWINGRILL_NODE_FILE";

pub struct Router {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    root: PathBuf,
    settings: PathBuf,
    record: Record,
    child: Option<Child>,
}

/// The addresses of a router.
#[derive(Clone, Debug)]
pub struct Place {
    pub name: String,
    pub ip: [u8; 4],
    front: u16,
    ready: u16,
    pub control: u16,
    gossip: u16,
}

impl Place {
    /// Finds free ports at a loopback address.
    pub fn find(name: &str, ip: [u8; 4]) -> io::Result<Self> {
        // All are bound at once, so that no two are the same.
        let bind = || TcpListener::bind(SocketAddr::from((ip, 0)));
        let listeners = [bind()?, bind()?, bind()?];
        let port = |index: usize| listeners[index].local_addr().map(|address| address.port());
        let gossip = UdpSocket::bind(SocketAddr::from((ip, 0)))?.local_addr()?.port();
        Ok(Self { name: name.to_owned(), ip, front: port(0)?, ready: port(1)?, control: port(2)?, gossip })
    }

    fn text(&self) -> String {
        let [a, b, c, d] = self.ip;
        format!("{a}.{b}.{c}.{d}")
    }

}

impl Router {
    pub fn start(
        place: &Place,
        seeds: &[Place],
        store: SocketAddr,
        root: &Path,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{}.toml", place.name));
        std::fs::write(&settings, settings_text(place, seeds, store))?;
        let mut router = Self {
            name: place.name.clone(),
            front: SocketAddr::from((place.ip, place.front)),
            ready: SocketAddr::from((place.ip, place.ready)),
            log: folder.join(format!("{}.log", place.name)),
            root: root.to_owned(),
            settings,
            record: record.clone(),
            child: None,
        };
        router.spawn()?;
        Ok(router)
    }

    pub fn spawn(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(self.root.join(PROGRAM))
            .arg(ARGUMENT)
            .env(SETTINGS_VARIABLE, &self.settings)
            .current_dir(&self.root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!("router {} starts, process {}", self.name, child.id()));
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, as SIGKILL does.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
            self.record.line(format!("router {} is killed", self.name));
        }
        Ok(())
    }

    /// Lets the process stand still, or go on.
    pub fn pause(&self, stands_still: bool) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let signal = if stands_still { "STOP" } else { "CONT" };
        let command = format!("kill -{signal} {}", child.id());
        let status = Command::new("sh").arg("-c").arg(command).status()?;
        self.record.line(format!("router {} gets SIG{signal}", self.name));
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }

    pub fn is_ready(&self) -> bool {
        let text = "GET /-/ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        http::call(self.ready, text, Duration::from_millis(300)).is_ok_and(|(head, _)| head.status() == 200)
    }

    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.is_ready() {
                self.record.line(format!("router {} is ready", self.name));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    }

    /// Returns whether this router assigns engines to the requests of others, by its state dump.
    pub fn assigns_engines(&self) -> Result<bool, String> {
        let text = "GET /dump HTTP/1.1\r\nhost: dump\r\nconnection: close\r\n\r\n";
        let address = SocketAddr::from((self.front.ip(), METRICS_PORT));
        let (_, body) = http::call(address, text, Duration::from_secs(1)).map_err(|e| e.to_string())?;
        let dump: serde_json::Value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
        dump["coordination"]["groups"].as_u64().map(|groups| groups > 0).ok_or_else(|| "no dump".to_owned())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

fn settings_text(place: &Place, seeds: &[Place], store: SocketAddr) -> String {
    let ip = place.text();
    let seeds: Vec<String> =
        seeds.iter().take(3).map(|seed| format!("\"{}:{}\"", seed.text(), seed.control)).collect();
    format!(
        r#"node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front","control"]
ip = "{ip}"
zone = "z-a"
region = "r-a"
port_range = [{gossip},{gossip_last}]
seeds = [{seeds}]
bootstrap = true
in_loss_budget = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[zones]
z-a = "r-a"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu_share = 0.25
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_max_ms = 5000
revoke_strict = false
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 54
recover_s = 12
transit_ms = 120
reuse_window_s = 10
require_fence = true
lease_ms = 3000
thaw_slack_ms = 300
version_ms = 20000
version_all_ms = 28000
[platform]
address = "{store}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"#,
        name = place.name,
        gossip = place.gossip,
        gossip_last = place.gossip.saturating_add(15),
        seeds = seeds.join(","),
        front = place.front,
        ready = place.ready,
        control = place.control,
    )
}
