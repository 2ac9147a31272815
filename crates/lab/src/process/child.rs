//! A process that says where it listens.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::time::Duration;

use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::io::AsyncBufReadExt;
use tokio::io::BufReader;
use tokio::io::Lines;
use tokio::process::Child;
use tokio::process::ChildStdout;
use tokio::process::Command;
use tokio::time::timeout;

use super::ProcessUsage;

const START_TIMEOUT: Duration = Duration::from_secs(20);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Why a process is of no use.
#[derive(Debug, Snafu)]
pub enum ProcessError {
    /// It did not start.
    #[snafu(display("{program}: {source}"))]
    Spawn {
        /// The program.
        program: String,
        /// The cause.
        source: io::Error,
    },
    /// It did not say where it listens.
    #[snafu(display("{program} did not say where it listens"))]
    Silent {
        /// The program.
        program: String,
    },
    /// It did not end in time, and was killed.
    #[snafu(display("process did not end within {} s", STOP_TIMEOUT.as_secs()))]
    NotEnded,
}

/// A process of this project. Dropping it kills it.
#[derive(Debug)]
pub struct ChildProcess {
    /// The address it serves on.
    pub address: SocketAddr,
    /// Its administration address.
    pub admin_address: SocketAddr,
    child: Child,
    // Kept open, so that the process never writes to a closed pipe.
    _output: Lines<BufReader<ChildStdout>>,
}

impl ChildProcess {
    /// Starts a program and waits until it says where it listens.
    pub async fn start(program: &Path, arguments: &[&str]) -> Result<Self, ProcessError> {
        Self::start_logging(program, arguments, Stdio::null()).await
    }

    /// Starts a program whose log goes to `log`, and waits until it says where it listens.
    pub async fn start_logging(
        program: &Path,
        arguments: &[&str],
        log: Stdio,
    ) -> Result<Self, ProcessError> {
        let name = program.display().to_string();
        let mut command = Command::new(program);
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped());
        command.stderr(log).kill_on_drop(true);
        let mut child = command.spawn().context(SpawnSnafu { program: name.clone() })?;
        let silent = SilentSnafu { program: name };
        let output = child.stdout.take().context(silent.clone())?;
        let mut output = BufReader::new(output).lines();
        let started = timeout(START_TIMEOUT, read_addresses(&mut output)).await;
        let (address, admin_address) = started.ok().flatten().context(silent)?;
        Ok(Self { address, admin_address, child, _output: output })
    }

    /// Returns the number of the process, while it runs.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Returns what the process has used so far.
    pub fn usage(&self) -> io::Result<ProcessUsage> {
        let id = self.child.id().ok_or(io::ErrorKind::NotFound)?;
        ProcessUsage::of(id)
    }

    /// Returns whether the process still runs.
    pub fn is_running(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_none())
    }

    /// Returns whether the process has ended, and ended well.
    pub fn ended_well(&mut self) -> io::Result<bool> {
        Ok(self.child.try_wait()?.is_some_and(|status| status.success()))
    }

    /// Waits until the process ends by itself, and returns whether it ended well.
    pub async fn ended(mut self) -> Result<bool, ProcessError> {
        match timeout(STOP_TIMEOUT, self.child.wait()).await {
            Ok(Ok(status)) => Ok(status.success()),
            _ => Err(ProcessError::NotEnded),
        }
    }

    /// Kills the process at once.
    pub async fn kill(mut self) -> io::Result<()> {
        self.child.kill().await
    }
}

/// Reads lines until one says `listening=ADDRESS admin=ADDRESS`.
async fn read_addresses(
    output: &mut Lines<BufReader<ChildStdout>>,
) -> Option<(SocketAddr, SocketAddr)> {
    while let Some(line) = output.next_line().await.ok()? {
        let Some(rest) = line.strip_prefix("listening=") else { continue };
        let (listening, admin) = rest.split_once(" admin=")?;
        return Some((listening.parse().ok()?, admin.trim().parse().ok()?));
    }
    None
}
