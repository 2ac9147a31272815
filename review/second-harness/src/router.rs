//! A router: the daemon of the deploy file as a process of its own, with settings by the pages.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::children;
use crate::client::call;
use crate::client::get;

/// The command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/redwingrilld";

/// The bounds of a site's sheet that differ between the cases.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub drain_ms: u64,
    pub config_apply_ms: u64,
    pub version_ms: u64,
    pub version_all_ms: u64,
    pub require_fence: bool,
}

/// A running router. It is killed when dropped.
pub struct Router {
    child: Child,
    /// Its name.
    pub name: String,
    /// Its address for clients.
    pub front: SocketAddr,
    ready: SocketAddr,
}

impl Router {
    /// Starts a router. `number` tells the routers of a run apart, and gives each a loopback
    /// address of its own.
    pub fn start(
        folder: &Path,
        number: u8,
        name: &str,
        store: SocketAddr,
        bounds: Bounds,
    ) -> Result<Self, String> {
        let own = std::process::id();
        let ip = format!("127.{}.{}.{}", 10 + (own >> 8) % 200, own % 250 + 1, number);
        let ports = free_ports(&ip)?;
        let [front, ready, control, gossip] = ports;
        let Bounds { drain_ms, config_apply_ms, version_ms, version_all_ms, require_fence } =
            bounds;
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"router\"\nmachine_class = \"front\"\n\
             serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"zone-a\"\n\
             region = \"region-a\"\nport_range = [{gossip},{}]\nseeds = []\nbootstrap = true\n\
             in_loss_budget = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat_ms = 1200\n\
             [zones]\nzone-a = \"region-a\"\n\
             [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             control = \"{ip}:{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
             catch_up_s = 4\ndrain_ms = {drain_ms}\ngrace_s = 8\nloss_slack_ms = 200\n\
             config_apply_ms = {config_apply_ms}\nrollback_slack_ms = 250\nskew_max_ms = 5000\n\
             revoke_strict = false\nrevoke_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\n\
             budget_extra = 54\nrecover_s = 12\ntransit_ms = 120\nreuse_window_s = 10\n\
             require_fence = {require_fence}\nlease_ms = 3000\nthaw_slack_ms = 300\n\
             version_ms = {version_ms}\nversion_all_ms = {version_all_ms}\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
            gossip + 15,
        );
        let file = folder.join(format!("{name}.toml"));
        fs::write(&file, settings).map_err(|e| e.to_string())?;
        let log = File::create(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let errors = log.try_clone().map_err(|e| e.to_string())?;
        let mut command = Command::new(PROGRAM);
        children::end_with_parent(&mut command);
        let child = command
            .arg("--platform")
            .env_clear()
            .env("REDWINGRILL_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|e| format!("{PROGRAM}: {e}"))?;
        children::started(child.id());
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        let (front, ready) = (address(front), address(ready));
        Ok(Self { child, name: name.to_owned(), front, ready })
    }

    /// Waits until the router says that it is ready.
    pub fn wait_ready(&mut self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("{} ended: {status}", self.name));
            }
            let asked = call(self.ready, &get("ready", "/-/ready", &[]), Duration::from_secs(1));
            if asked.status == 200 {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Sends a signal, for example `STOP`.
    pub fn signal(&self, name: &str) -> Result<(), String> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh").arg("-c").arg(&command).status();
        let is_done = status.map_err(|e| e.to_string())?.success();
        if is_done { Ok(()) } else { Err(format!("{command} failed")) }
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        children::ended(self.child.id());
    }
}

/// Returns free ports of an address: three for TCP, and the first of 16 for UDP.
fn free_ports(ip: &str) -> Result<[u16; 4], String> {
    let bind = || TcpListener::bind(format!("{ip}:0")).map_err(|e| e.to_string());
    let held = [bind()?, bind()?, bind()?];
    let mut ports = [0, 0, 0, 7_340];
    for (port, listener) in ports.iter_mut().zip(&held) {
        *port = listener.local_addr().map_err(|e| e.to_string())?.port();
    }
    Ok(ports)
}

/// A folder for the settings and logs of a run, removed when dropped unless it is to be kept.
pub struct Folder {
    /// Its path.
    pub path: PathBuf,
}

impl Folder {
    /// Creates the folder.
    pub fn new() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&path).map_err(|e| e.to_string())?;
        Ok(Self { path })
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.path);
        } else {
            let _ = writeln!(std::io::stderr(), "kept {}", self.path.display());
        }
    }
}
