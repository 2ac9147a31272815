//! A daemon as a process, with its link to the store.

use std::fs::File;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::path::PathBuf;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use tokio::process::Child;
use tokio::process::Command;

use super::link::Link;

/// How long a process that was asked to stop may take; the platform's `grace_s` and a little.
const STOP_LIMIT: Duration = Duration::from_secs(9);

/// How long a process may take to listen to signals; before, it is ended by them.
const DEAF_LIMIT: Duration = Duration::from_millis(100);

const FRONT_PORT: u16 = 8782;
const CONTROL_PORT: u16 = 8783;
const READY_PORT: u16 = 8789;

/// A daemon.
#[derive(Debug)]
pub(super) struct SoakNode {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub link: Link,
    program: PathBuf,
    settings: PathBuf,
    log: File,
    child: Option<Child>,
    spawned: Instant,
    /// How often the process ended without being asked to.
    pub own_ends: u32,
}

impl SoakNode {
    /// Writes the settings of a node at an address of its own and starts it.
    pub async fn start(
        program: &Path,
        folder: &Path,
        ip: Ipv4Addr,
        name: &str,
        store: SocketAddr,
        seed: Ipv4Addr,
    ) -> io::Result<Self> {
        let link = Link::start(store).await?;
        let settings = folder.join(format!("{name}.toml"));
        std::fs::write(&settings, settings_text(ip, name, link.address, seed))?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let mut node = Self {
            callers: (ip, FRONT_PORT).into(),
            readiness: (ip, READY_PORT).into(),
            link,
            program: program.to_owned(),
            settings,
            log,
            child: None,
            spawned: Instant::now(),
            own_ends: 0,
        };
        node.spawn()?;
        Ok(node)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let mut command = Command::new(&self.program);
        command.arg("--platform").arg("--settings").arg(&self.settings);
        command.stdin(Stdio::null()).stdout(self.log.try_clone()?).stderr(self.log.try_clone()?);
        self.child = Some(command.kill_on_drop(true).spawn()?);
        self.spawned = Instant::now();
        Ok(())
    }

    /// Starts the process again if it ended by itself, and counts that.
    pub fn revive(&mut self) -> io::Result<()> {
        let Some(child) = &mut self.child else { return Ok(()) };
        if child.try_wait()?.is_some() {
            self.own_ends += 1;
            self.spawn()?;
        }
        Ok(())
    }

    /// Kills the process and starts it again.
    pub async fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill().await?;
        }
        self.spawn()
    }

    /// Asks the process to stop. Returns whether it ended well and in time.
    pub async fn stop(&mut self) -> io::Result<bool> {
        let is_deaf = self.spawned.elapsed() < DEAF_LIMIT;
        self.signal(Signal::TERM)?;
        let Some(mut child) = self.child.take() else { return Ok(true) };
        match tokio::time::timeout(STOP_LIMIT, child.wait()).await {
            Ok(status) => {
                let status = status?;
                let by_signal = status.signal() == Some(Signal::TERM.as_raw());
                Ok(status.success() || (is_deaf && by_signal))
            }
            Err(_) => {
                child.kill().await?;
                Ok(false)
            }
        }
    }

    /// Starts the process after a stop.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.spawn()
    }

    /// Makes the process stand still, or go on.
    pub fn pause(&self, stands_still: bool) -> io::Result<()> {
        self.signal(if stands_still { Signal::STOP } else { Signal::CONT })
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        // A child that was not waited for: its number cannot belong to another process.
        let id = self.child.as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32));
        match id {
            Some(id) => Ok(kill_process(id, signal)?),
            None => Ok(()),
        }
    }
}

fn settings_text(ip: Ipv4Addr, name: &str, store: SocketAddr, seed: Ipv4Addr) -> String {
    format!(
        "node_name = \"{name}\"\nip = \"{ip}\"\nzone = \"a\"\nport_range = [7340, 7355]\n\
         seeds = [\"{seed}:{CONTROL_PORT}\"]\n\
         [listen]\nfront = \"{ip}:{FRONT_PORT}\"\nready = \"{ip}:{READY_PORT}\"\n\
         control = \"{ip}:{CONTROL_PORT}\"\n\
         [bounds]\nbudget_ratio = 0.2\nbudget_extra = 54\nbudget_window_s = 10\n\
         version_ms = 20000\nlease_ms = 1000\ngrace_s = 8\n\
         [platform]\naddress = \"{store}\"\n"
    )
}
