//! Golden tests of the answers to `/explain`.
//!
//! A case lists the nodes that may coordinate, the first of them first, and queries. Queries that
//! start with `json` show the answer as it is sent.

mod support;

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use support::options;
use support::view;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use redwingrill_explain::Answer;
use redwingrill_explain::ExplainFault;
use redwingrill_gateway::cluster_view::ClusterView;
use redwingrill_gateway::cluster_view::Member;
use redwingrill_gateway::dispatch::DispatchTask;
use redwingrill_gateway::explain::Explainer;
use redwingrill_gateway::telemetry::Metrics;
use redwingrill_routing::AccountQuota;
use redwingrill_routing::CallerLimits;
use redwingrill_routing::ClientAccount;
use redwingrill_routing::Configuration;
use redwingrill_routing::ConfigurationParts;
use redwingrill_routing::EngineSpec;
use redwingrill_routing::QuotaUnit;
use redwingrill_routing::Route;
use redwingrill_routing::RouteKind;
use redwingrill_routing::Service;
use redwingrill_routing::ServiceShare;
use redwingrill_routing::Upstream;

fn route(name: &str, prefix: &str, services: &[(&str, u32)]) -> Route {
    let share = |(service, weight): &(&str, u32)| ServiceShare {
        service: (*service).to_owned(),
        weight: *weight,
    };
    Route {
        name: name.to_owned(),
        host: "api.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Safe,
        timeout: Duration::from_secs(8),
        target_latency: Duration::from_millis(500),
        pause_target: None,
        first_event_patience: None,
        attempts_limit: 2,
        priority: 1,
        is_anonymous: false,
        shares: services.iter().map(share).collect(),
    }
}

fn service(name: &str, engine: Option<EngineSpec>) -> Service {
    Service {
        name: name.to_owned(),
        health_path: "/health".to_owned(),
        connections_limit: 800,
        engine,
        cache_store: None,
    }
}

fn configuration() -> Configuration {
    let engine = EngineSpec {
        slots: 8,
        cache_tokens: 160_000,
        event_listeners: 0,
        models: vec!["m".to_owned()],
    };
    let account = ClientAccount {
        name: "cafe".to_owned(),
        keys: Vec::new(),
        priority: None,
        is_isolated: false,
        quota: Some(AccountQuota {
            rate_per_s: 47_000,
            burst: 47_000,
            unit: QuotaUnit::Tokens { undeclared_tokens: 100 },
        }),
    };
    let parts = ConfigurationParts {
        version: 1,
        routes: vec![
            route("chat", "/chat/", &[("llm", 1)]),
            route("shop", "/shop/", &[("orders", 3), ("idle", 1)]),
        ],
        services: vec![service("llm", Some(engine)), service("orders", None)],
        accounts: Some(vec![account]),
        limits: CallerLimits::default(),
    };
    Configuration::try_from(parts).expect("configuration is valid")
}

fn cluster(names: &[&str]) -> ClusterView {
    let members = names.iter().enumerate().map(|(index, name)| Member {
        name: (*name).to_owned(),
        address: ([10, 0, 0, index as u8], 7_000).into(),
        gossip: ([10, 0, 0, index as u8], 7_001).into(),
        failure_domain: "a".to_owned(),
        link_mbps: 1_000 - index as u64,
    });
    let mut view = view(3);
    Arc::make_mut(&mut view.upstreams[2]).models.clear();
    let engine = view.upstreams[0].clone();
    view.upstreams.push(Arc::new(Upstream {
        id: "o1".to_owned(),
        service: "orders".to_owned(),
        failure_domain: "b".to_owned(),
        models: Vec::new(),
        ..(*engine).clone()
    }));
    ClusterView {
        members: members.collect(),
        configuration: Some(Arc::new(configuration())),
        ..view
    }
}

async fn run_case(input: &str) -> String {
    let mut lines = input.lines();
    let names = lines.next().and_then(|line| line.strip_prefix("nodes ")).expect("nodes are first");
    let view = cluster(&names.split(' ').collect::<Vec<_>>());
    let own = view.members.iter().find(|member| member.name == "n1").map(|member| member.gossip);
    let (_view, receiver) = watch::channel(Arc::new(view));
    let misdirected = mpsc::channel(1).0;
    let (dispatcher, mut task) =
        DispatchTask::new(options(), receiver.clone(), Metrics::new(), misdirected);
    let _outgoing = own.map(|own| task.coordinate(own));
    let stopping = CancellationToken::new();
    let task = tokio::spawn(task.run(stopping.clone()));
    let explainer = Explainer { node: "n1".to_owned(), view: receiver, dispatcher };
    let mut output = String::new();
    for line in lines {
        let (as_json, query) = match line.strip_prefix("json ") {
            Some(query) => (true, query),
            None => (false, line),
        };
        let (status, body) = explainer.answer(query).await;
        writeln!(output, "{query}\n{}", status.as_u16()).expect("writes to a string");
        let text = if as_json {
            let json: serde_json::Value = serde_json::from_slice(&body).expect("answer is JSON");
            format!("{json:#}\n")
        } else if status.is_success() {
            serde_json::from_slice::<Answer>(&body).expect("answer is decoded").to_string()
        } else {
            let fault: ExplainFault = serde_json::from_slice(&body).expect("fault is decoded");
            format!("{}: {}\n", fault.code(), fault.message)
        };
        writeln!(output, "{text}").expect("writes to a string");
    }
    stopping.cancel();
    task.await.expect("no panic");
    output
}

/// Guards against answers that name another node, limit or fault than the decision has.
#[test]
fn answers_match_golden_files() {
    redwingrill_golden::run_dir("tests/cases/explain", |input| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build();
        runtime.expect("runtime starts").block_on(run_case(input))
    });
}
