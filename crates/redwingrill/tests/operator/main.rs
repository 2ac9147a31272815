//! Golden tests of operator sessions, and checks of the example files.

mod racing;
mod session;

use std::path::PathBuf;
use std::time::Duration;
use std::time::Instant;

use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

use crate::session::Session;
use redwingrill::operator::ExplainError;
use redwingrill::operator::HttpNodes;
use redwingrill::operator::NodeAdmin;
use redwingrill::operator::parse;
use redwingrill_codes::ResultCode;
use redwingrill_config::DesiredState;
use redwingrill_config::Fencing;
use redwingrill_config::UpstreamKind;
use redwingrill_config::read_files;
use redwingrill_entity::Names;
use redwingrill_explain::ExplainQuery;
use redwingrill_transport::Pool;

#[test]
fn operator_sessions_match_golden_files() {
    redwingrill_golden::run_dir("tests/cases/operator", |input| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("runtime starts");
        runtime.block_on(Session::new().run(input))
    });
}

/// The expected contents of an example.
struct Example {
    directory: &'static str,
    engines: usize,
    service_upstreams: usize,
    accounts: usize,
    domains: usize,
    parallel_loads_limit: u32,
    unrepeatable: &'static [(&'static str, &'static str)],
    fencing: Fencing,
}

const EXAMPLES: &[Example] = &[
    Example {
        directory: "kritartafla",
        engines: 18,
        service_upstreams: 3,
        accounts: 8,
        domains: 3,
        parallel_loads_limit: 3,
        unrepeatable: &[("POST", "/orders")],
        fencing: Fencing::Checked,
    },
    Example {
        directory: "napln",
        engines: 12,
        service_upstreams: 3,
        accounts: 8,
        domains: 3,
        parallel_loads_limit: 2,
        unrepeatable: &[("POST", "/dispense"), ("POST", "/charges")],
        fencing: Fencing::Ignored,
    },
];

#[test]
fn examples_match_both_deployments_in_size() {
    for example in EXAMPLES {
        let directory = PathBuf::from("../../examples").join(example.directory);
        let sources = read_files(&[directory]).expect("example is readable");
        let mut names = Names::default();
        let state = redwingrill_config::parse(&sources, &mut names)
            .unwrap_or_else(|faults| panic!("{}: {faults}", example.directory));
        check_example(example, &state, &names);
    }
}

fn check_example(example: &Example, state: &DesiredState, names: &Names) {
    let name = example.directory;
    let count = |kind| state.upstreams.values().filter(|u| u.kind == kind).count();
    assert_eq!(count(UpstreamKind::Engine), example.engines, "{name}");
    assert_eq!(count(UpstreamKind::CacheStore), 1, "{name}");
    assert_eq!(count(UpstreamKind::Service), example.service_upstreams, "{name}");
    assert_eq!(state.accounts.len(), example.accounts, "{name}");
    assert_eq!(state.priorities.len(), 2, "{name}");
    assert_eq!(names.domains.len(), example.domains, "{name}");
    let limits: Vec<u32> = state.models.values().map(|m| m.parallel_loads_limit).collect();
    assert_eq!(limits, [example.parallel_loads_limit], "{name}");
    let service = state.services.values().next().expect("example has a service");
    for (method, path) in example.unrepeatable {
        assert!(service.unrepeatable.iter().any(|call| call.matches(method, path)), "{name}");
    }
    assert!(!service.unrepeatable.iter().any(|call| call.matches("GET", "/orders/1")), "{name}");
    let services = state.upstreams.values().filter(|u| u.kind == UpstreamKind::Service);
    assert!({ services }.all(|upstream| upstream.fencing == example.fencing), "{name}");
}

#[test]
fn invalid_command_lines_are_rejected() {
    let invalid: &[&[&str]] = &[
        &["redwingrill"],
        &["redwingrill", "apply", "site.ini"],
        &["redwingrill", "apply", "--platform", "store.example:1", "site.ini"],
        &["redwingrill", "check"],
        &["redwingrill", "dump"],
        &["redwingrill", "explain", "--node", "10.0.0.1:9001"],
        &["redwingrill", "explain", "--route", "chat"],
        &["redwingrill", "explain", "--node", "10.0.0.1:9001", "--route", "a", "--path", "/b"],
        &["redwingrill", "explain", "--node", "10.0.0.1:9001", "--route", "a", "--parts", "7"],
        &["redwingrill", "status", "--admin-port", "0"],
        &["redwingrill", "completion", "tcl"],
        &["redwingrill", "reload"],
    ];
    for line in invalid {
        let parsed = parse(line.iter().map(|word| (*word).to_owned()));
        assert!(parsed.is_err_and(|error| error.use_stderr()), "{line:?}");
    }
}

/// Guards against commands and options that completion scripts leave out.
#[test]
fn completion_scripts_offer_explain_with_its_options() {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
    let session = Session::new();
    for shell in ["bash", "zsh", "fish"] {
        let line = ["redwingrill", "completion", shell].map(str::to_owned);
        let (command, _) = parse(line).expect("valid command line");
        let script = runtime.block_on(session.execute(&command)).stdout;
        for word in ["explain", "route", "account", "prompt-tokens", "output-tokens", "parts"] {
            assert!(script.contains(word), "{shell}: {word}");
        }
    }
}

#[test]
fn key_files_are_not_overwritten_and_private_keys_are_owner_only() {
    use std::os::unix::fs::PermissionsExt;

    let directory =
        PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("keys-{}", std::process::id()));
    let arguments = ["redwingrill", "keys", "--directory", directory.to_str().expect("UTF-8")];
    let line = arguments.iter().chain(&["entry-1", "entry-2"]).map(|word| (*word).to_owned());
    let (command, _) = parse(line).expect("valid command line");
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("runtime starts");
    let session = Session::new();
    let first = runtime.block_on(session.execute(&command));
    assert_eq!(first.code, ResultCode::Ok, "{first:?}");
    let names = ["ca", "ca-key", "entry-1", "entry-1-key", "entry-2", "entry-2-key"];
    for name in names {
        let file =
            std::fs::metadata(directory.join(format!("{name}.pem"))).expect("file was written");
        let mode = file.permissions().mode() & 0o777;
        assert_eq!(mode & 0o077 == 0, name.ends_with("-key"), "{name}: {mode:o}");
    }
    let again = runtime.block_on(session.execute(&command));
    assert_eq!(again.code, ResultCode::Usage, "{again:?}");
    std::fs::remove_dir_all(&directory).expect("directory is removed");
}

/// Guards against a command that hangs on a node that accepts connections but does not answer, or
/// stops in the middle of its answer.
#[tokio::test]
async fn explanation_of_a_silent_node_ends_after_two_seconds() {
    let heads = ["", "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{"];
    let nodes = HttpNodes::new(Pool::new());
    let query = ExplainQuery { route: Some("chat".to_owned()), ..ExplainQuery::default() };
    for head in heads {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("port is free");
        let address = listener.local_addr().expect("socket is bound");
        let node = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("client connects");
            stream.write_all(head.as_bytes()).await.expect("client reads");
            std::future::pending::<()>().await;
        });
        let begin = Instant::now();
        let answer = nodes.explain(address, &query).await;
        assert!(matches!(answer, Err(ExplainError::Call(_))), "{answer:?}");
        let took = begin.elapsed();
        assert!(took > Duration::from_millis(1_800), "{took:?}");
        assert!(took < Duration::from_millis(3_500), "{took:?}");
        node.abort();
    }
}
