//! Runs the daemon from startup to exit.

use std::ffi::OsString;
use std::fs;
use std::io;
use std::path::Path;
use std::process::ExitCode;

use log::error;
use log::info;
use snafu::OptionExt;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use super::Args;
use crate::node::DrainOutcome;
use crate::node::Node;
use crate::node::Serving;
use crate::node::StartError;
use crate::telemetry::init_logs;
use redwingrill_codes::ResultCode;
use redwingrill_config::Faults;
use redwingrill_config::SourceFile;
use redwingrill_settings::Settings;

/// Why a daemon ended with an error.
#[derive(Debug, Snafu)]
enum DaemonError {
    /// The settings file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read { path: String, source: io::Error },
    /// The settings are invalid.
    #[snafu(display("{faults}"))]
    Settings { faults: Faults },
    /// The runtime did not start.
    #[snafu(display("cannot start: {source}"))]
    Runtime { source: io::Error },
    /// The node did not start.
    #[snafu(display("{source}"))]
    Start { source: StartError },
    /// No settings file was given.
    #[snafu(display("no settings file is named"))]
    NoSettings,
    /// The node on the platform ended with an error.
    #[snafu(display("{source}"))]
    Platform { source: redwingrill_platform::RunError },
}

impl DaemonError {
    fn code(&self) -> ResultCode {
        match self {
            Self::Read { .. } | Self::Settings { .. } | Self::NoSettings => {
                ResultCode::SettingsInvalid
            }
            Self::Runtime { .. } | Self::Start { .. } => ResultCode::Internal,
            Self::Platform { source } => source.code(),
        }
    }
}

/// Runs the daemon with a command line and returns its exit status.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let args = match Args::parse(args) {
        Ok(args) => args,
        Err(e) => {
            // Requested help is printed to standard output and is not an error.
            let printed = e.print();
            let failed = e.use_stderr() || printed.is_err();
            return if failed { exit(ResultCode::Usage) } else { ExitCode::SUCCESS };
        }
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("redwingrilld: {e}");
            exit(e.code())
        }
    }
}

fn exit(code: ResultCode) -> ExitCode {
    ExitCode::from(code.exit_status())
}

fn run(args: &Args) -> Result<(), DaemonError> {
    if args.on_platform {
        return run_on_platform(args).context(PlatformSnafu);
    }
    let path = args.settings.as_deref().context(NoSettingsSnafu)?;
    let settings = read_settings(path)?;
    if args.check {
        println!("{}: no faults", path.display());
        return Ok(());
    }
    init_logs(settings.log.level);
    let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(serve(settings))
}

fn run_on_platform(args: &Args) -> Result<(), redwingrill_platform::RunError> {
    let path = args.settings.as_deref();
    if args.check {
        let path = redwingrill_platform::check(path)?;
        println!("{}: no faults", path.display());
        return Ok(());
    }
    redwingrill_platform::run(path)
}

fn read_settings(path: &Path) -> Result<Settings, DaemonError> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).context(ReadSnafu { path: name.clone() })?;
    let source = SourceFile { name, text };
    redwingrill_settings::parse(&source).map_err(|faults| DaemonError::Settings { faults })
}

async fn serve(settings: Settings) -> Result<(), DaemonError> {
    // Signal handlers are installed before the node serves, so that no signal is missed.
    let mut signals = Signals::new().context(RuntimeSnafu)?;
    let node = Node::new(settings).serve().await.context(StartSnafu)?;
    announce(&node);
    tokio::select! {
        () = signals.stop() => {}
        () = node.drain_requested() => {}
    }
    let draining = node.drain(signals.stop()).await;
    if let DrainOutcome::Cut { requests } = draining.finish(signals.stop()).await {
        error!("event=stopped_early requests={requests}");
    }
    Ok(())
}

/// Prints the bound addresses. The system chooses the port if the settings file has port 0.
fn announce(node: &Node<Serving>) {
    println!("listening={} admin={}", node.address(), node.admin_address());
    info!("event=started pid={}", std::process::id());
}

/// Signals that request a shutdown.
struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> io::Result<Self> {
        let terminate = signal(SignalKind::terminate())?;
        let interrupt = signal(SignalKind::interrupt())?;
        Ok(Self { terminate, interrupt })
    }

    async fn stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
