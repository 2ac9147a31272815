//! The result codes of completions that an engine may have run before another one answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use redwingrill::Refusal;
use redwingrill::completions::Caller;
use redwingrill::completions::Completions;
use redwingrill::dispatch::Dispatch;
use redwingrill::dispatch::DispatchOptions;
use redwingrill::http::RequestId;
use redwingrill::telemetry::Metrics;
use redwingrill::upstream::EngineClient;
use redwingrill::upstream::EngineTimeouts;
use redwingrill_codes::Ran;
use redwingrill_config::Account;
use redwingrill_config::DesiredState;
use redwingrill_config::Fencing;
use redwingrill_config::Generation;
use redwingrill_config::Model;
use redwingrill_config::Priority;
use redwingrill_config::Snapshot;
use redwingrill_config::Upstream;
use redwingrill_config::UpstreamKind;
use redwingrill_entity::AccountId;
use redwingrill_entity::DomainId;
use redwingrill_entity::EntityRef;
use redwingrill_entity::ModelId;
use redwingrill_entity::PriorityId;
use redwingrill_entity::UpstreamId;
use redwingrill_transport::Pool;

const WAIT: Duration = Duration::from_secs(2);

fn snapshot(engines: SocketAddr) -> Arc<Snapshot> {
    let mut state = DesiredState::default();
    let priority = Priority {
        name: "urgent".into(),
        level: 0,
        first_token_target_ms: 500,
        queue_deadline_ms: 2_000,
        floor_percent: 0,
    };
    state.priorities.insert(PriorityId::from_index(0), priority);
    let model =
        Model { name: "letters".into(), weights_version: "v1".into(), parallel_loads_limit: 3 };
    state.models.insert(ModelId::from_index(0), model);
    let account = Account {
        name: "krita".into(),
        key_hashes: Vec::new(),
        priorities: vec![PriorityId::from_index(0)],
        weight: 1,
        tokens_per_s_limit: 0,
        requests_limit: 0,
        connections_limit: 0,
    };
    state.accounts.insert(AccountId::from_index(0), account.into());
    for index in 0..2 {
        let engine = Upstream {
            name: format!("engine-{index}"),
            kind: UpstreamKind::Engine,
            address: engines,
            domain: DomainId::from_index(index),
            model: Some(ModelId::from_index(0)),
            fencing: Fencing::Checked,
            requests_limit: 4,
            drained: false,
        };
        state.upstreams.insert(UpstreamId::from_index(index), engine);
    }
    Arc::new(Snapshot::new(Generation(1), state))
}

/// Runs the first attempt and closes its connection, and gives the second attempt an answer.
async fn serve(listener: TcpListener, status: &str) {
    let mut attempts = 0;
    while let Ok((mut socket, _)) = listener.accept().await {
        let mut request = vec![0; 16 << 10];
        let read_bytes = socket.read(&mut request).await.unwrap_or(0);
        if !request[..read_bytes].starts_with(b"POST ") {
            continue;
        }
        attempts += 1;
        if attempts > 1 {
            let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n");
            let _ = socket.write_all(answer.as_bytes()).await;
            let _ = socket.read(&mut request).await;
        }
    }
}

async fn complete(engines: SocketAddr) -> Refusal {
    let snapshot = snapshot(engines);
    let (_configuration, reader) = watch::channel(snapshot.clone());
    let (dispatcher, dispatch) = Dispatch::new(DispatchOptions::default(), reader);
    let dispatch = tokio::spawn(dispatch.run());
    let timeouts = EngineTimeouts { connect: WAIT, first_token: WAIT, token: WAIT };
    let completions = Completions {
        dispatcher,
        engines: EngineClient::new(Pool::new(), timeouts),
        tasks: TaskTracker::new(),
        metrics: Metrics::new(None, "node").expect("no socket is opened"),
    };
    let account = AccountId::from_index(0);
    let caller = Caller { snapshot: &snapshot, account, request_id: RequestId::random() };
    let body = r#"{"model": "letters", "messages": [{"role": "user", "content": "a question"}]}"#;
    let served = completions.serve(caller, &HeaderMap::new(), &Bytes::from(body)).await;
    dispatch.abort();
    served.expect_err("a refusal")
}

/// Guards against a completion that ran at one engine and is reported as not run, because the next
/// engine refuses or rejects it.
#[tokio::test]
async fn refusal_after_a_possible_run_says_not_run() {
    for status in ["503 Service Unavailable", "429 Too Many Requests", "400 Bad Request"] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let engines = tokio::spawn(serve(listener, status));
        let refusal = complete(address).await;
        assert_eq!(refusal.ran(), Ran::Unknown, "{status}: {refusal:?}");
        engines.abort();
    }
}
