//! The project's daemon as a process, started with the command of the deploy file.

use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;

use crate::net::Answer;
use crate::net::call;
use crate::net::wait_for;

/// `run` of the deploy file's role, without its program.
const ARGUMENTS: [&str; 1] = ["--platform"];
const PROGRAM: &str = "target/release/redwingrilld";

/// The processes that run, for the end of a case that takes too long.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills the processes that still run.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        let _ = Command::new("kill").arg("-KILL").arg(id.to_string()).status();
    }
}

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    repository: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Node {
    /// Starts a node at an address of its own.
    pub fn start(
        repository: &Path,
        folder: &Path,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        seeds: &[Ipv4Addr],
        store: SocketAddr,
    ) -> std::io::Result<Self> {
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(name, zone, ip, seeds, store))?;
        let mut node = Self {
            name: name.to_owned(),
            front: (ip, 8782).into(),
            ready: (ip, 8789).into(),
            repository: repository.to_owned(),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        };
        node.spawn()?;
        Ok(node)
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> std::io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(self.repository.join(PROGRAM));
        command.args(ARGUMENTS).current_dir(&self.repository);
        command.env("REDWINGRILL_NODE_FILE", &self.settings);
        command.stdin(Stdio::null()).stdout(log.try_clone()?).stderr(log);
        let child = command.spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process, as SIGKILL or a loss of power does.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Asks the process to stop and waits for its end. Returns whether it came in time.
    pub fn stop(&mut self, limit: Duration) -> bool {
        self.signal("TERM");
        let ended = wait_for(limit, || self.has_ended());
        self.kill();
        ended
    }

    /// Returns whether the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let Some(child) = &self.child else { return };
        let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    }

    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let headers = [("host".to_owned(), self.ready.to_string())];
        let answer = call(self.ready, "GET", "/-/ready", &headers, b"", limit);
        matches!(answer, Answer::Whole(answer) if answer.status() == 200)
    }

    pub fn log_path(&self) -> &Path {
        &self.log
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn settings_text(
    name: &str,
    zone: &str,
    ip: Ipv4Addr,
    seeds: &[Ipv4Addr],
    store: SocketAddr,
) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8783\"")).collect();
    format!(
        "node_name = \"{name}\"\nrole = \"router\"\nmachine_class = \"front\"\n\
         serves = [\"front\",\"control\"]\nip = \"{ip}\"\nzone = \"{zone}\"\n\
         region = \"reykjavik\"\nport_range = [7340,7355]\nseeds = [{seeds}]\nbootstrap = true\n\
         in_loss_budget = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
         [zones]\nrvk-a = \"reykjavik\"\nrvk-b = \"reykjavik\"\nrvk-c = \"reykjavik\"\n\
         [listen]\nfront = \"{ip}:8782\"\nready = \"{ip}:8789\"\ncontrol = \"{ip}:8783\"\n\
         [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
         link_mbps = 1000.0\ndisk_mb = 0\n\
         [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
         [bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\n\
         catch_up_s = 4\ndrain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\n\
         config_apply_ms = 2000\nrollback_slack_ms = 250\nskew_max_ms = 5000\n\
         revoke_strict = false\nrevoke_ms = 5000\nbudget_ratio = 0.2\nbudget_window_s = 10\n\
         budget_extra = 54\nrecover_s = 12\ntransit_ms = 120\nreuse_window_s = 10\n\
         require_fence = true\nlease_ms = 3000\nthaw_slack_ms = 300\nversion_ms = 20000\n\
         version_all_ms = 28000\n\
         [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
         reads_per_s = 2000\nhistory_s = 20\nvalue_bytes = 1048576\nttl_min_ms = 1000\n",
        seeds = seeds.join(","),
    )
}
