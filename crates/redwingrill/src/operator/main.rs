//! The entry point with the HTTP and store adapters.

use std::ffi::OsString;
use std::io;
use std::io::Read;
use std::io::Write;
use std::process::ExitCode;

use super::HttpNodes;
use super::Operator;
use super::Output;
use super::args::parse;
use super::command::Command;
use redwingrill_codes::ResultCode;
use redwingrill_etcd::EtcdStore;
use redwingrill_etcd::HttpInstances;
use redwingrill_etcd::PlatformOptions;
use redwingrill_transport::Pool;

/// Runs the operator command with a command line and returns its exit status.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let (command, json) = match parse(args) {
        Ok(parsed) => parsed,
        Err(e) => {
            // Requested help is printed to standard output and is not an error.
            let printed = e.print();
            let failed = e.use_stderr() || printed.is_err();
            return exit(if failed { ResultCode::Usage } else { ResultCode::Ok });
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => print(&runtime.block_on(run(&command, json))),
        Err(e) => {
            eprintln!("redwingrill: cannot start: {e}");
            exit(ResultCode::Internal)
        }
    }
}

async fn run(command: &Command, json: bool) -> Output {
    let pool = Pool::new();
    let platform = command.platform();
    let store = PlatformOptions::new(platform.endpoints.clone());
    let listed = if platform.instance_list_endpoints.is_empty() {
        store.clone()
    } else {
        PlatformOptions::new(platform.instance_list_endpoints)
    };
    let operator = Operator {
        store: EtcdStore::new(store, pool.clone()),
        instances: HttpInstances::new(listed, pool.clone()),
        nodes: HttpNodes::new(pool.clone()),
    };
    let output = operator.execute(command, json, read_input).await;
    drop(operator);
    pool.close().await;
    output
}

fn read_input() -> io::Result<String> {
    /// Limit of standard input; API keys are much shorter.
    const INPUT_LIMIT_BYTES: u64 = 64 << 10;
    let mut input = String::new();
    io::stdin().lock().take(INPUT_LIMIT_BYTES).read_to_string(&mut input)?;
    Ok(input)
}

fn print(output: &Output) -> ExitCode {
    // Write errors are ignored: the reader may close the pipe early.
    let _ = io::stdout().write_all(output.stdout.as_bytes());
    let _ = io::stderr().write_all(output.stderr.as_bytes());
    exit(output.code)
}

fn exit(code: ResultCode) -> ExitCode {
    ExitCode::from(code.exit_status())
}
