//! A node with engine stand-ins in one process.

// Each test file uses a part of this.
#![allow(dead_code)]

pub mod fleet;

use std::sync::Arc;

use tokio::sync::watch;

use redwingrill::node::Node;
use redwingrill::node::Serving;
use redwingrill_config::Generation;
use redwingrill_config::KeyHash;
use redwingrill_config::Snapshot;
use redwingrill_config::SourceFile;
use redwingrill_config::parse_str;
use redwingrill_entity::Names;
use redwingrill_lab::caller::Call;
use redwingrill_lab::engine::Engine;
use redwingrill_lab::engine::EngineOptions;
use redwingrill_lab::engine::Pace;
use redwingrill_lab::engine::RunningEngine;
use redwingrill_lab::faults::FaultPlan;

/// The API key of the one client account.
pub const API_KEY: &str = "key-of-cafe";

/// The model that all engines serve.
pub const MODEL: &str = "assistant";

/// The open connections that the client account may have.
pub const CONNECTIONS_LIMIT: u32 = 8;

/// Engines so fast at prompts that the longest one does not delay a test.
const PACE: Pace = Pace {
    slots: 32,
    prefill_tokens_per_s: 20_000_000,
    prefill_step_tokens: 2_000_000,
    import_tokens_per_s: 20_000_000,
    decode_us: 4_000,
    full_batch_slowdown_percent: 100,
};

/// A node before some engines, which share one plan of faults.
pub struct Site {
    pub node: Node<Serving>,
    pub engines: Vec<RunningEngine>,
    pub faults: Arc<FaultPlan>,
}

impl Site {
    /// Starts engines and a node; `streams` is the body of the settings section of that name.
    pub async fn start(engine_count: usize, streams: &str) -> Self {
        Self::start_with(engine_count, streams, "").await
    }

    /// Starts engines and a node with more sections of settings.
    pub async fn start_with(engine_count: usize, streams: &str, sections: &str) -> Self {
        let faults = Arc::<FaultPlan>::default();
        let mut engines = Vec::new();
        for number in 0..engine_count {
            let mut options = EngineOptions::new(&format!("engine-{number}"), MODEL, "v1");
            options.pace = PACE;
            options.faults = faults.clone();
            engines.push(Engine::start(options).await.expect("a free port is bound"));
        }
        let configuration = watch::channel(Arc::new(snapshot(&engines))).1;
        let source = SourceFile { name: "node.ini".to_owned(), text: settings(streams) + sections };
        let settings = redwingrill_settings::parse(&source).expect("the settings are valid");
        let node = Node::with_configuration(settings, configuration);
        let node = node.serve().await.expect("free ports are bound");
        Self { node, engines, faults }
    }

    /// Drains the node, stops the engines, and joins everything.
    pub async fn stop(self) {
        let draining = self.node.drain(std::future::ready(())).await;
        draining.finish(std::future::pending()).await;
        for engine in self.engines {
            engine.stop().await;
        }
    }
}

/// Returns a call of the one client account.
pub fn call(question: &str, max_tokens: u32) -> Call {
    Call { api_key: API_KEY.to_owned(), ..Call::new(MODEL, question, max_tokens) }
}

fn snapshot(engines: &[RunningEngine]) -> Snapshot {
    let key_hash = KeyHash::of(API_KEY).0.map(|byte| format!("{byte:02x}")).concat();
    let mut text = format!(
        "[priority checks]\nlevel = 0\nfirst_token_target = 250 ms\nqueue_deadline = 60 s\n\
         [model {MODEL}]\nweights_version = v1\n\
         [account cafe]\nkey_hashes = blake3:{key_hash}\npriorities = checks\n\
         connections_limit = {CONNECTIONS_LIMIT}\n"
    );
    for engine in engines {
        text.push_str(&format!(
            "[upstream {}]\nkind = engine\naddress = {}\nfailure_domain = a\nmodel = {MODEL}\n",
            engine.name, engine.address
        ));
    }
    let state = parse_str("site.ini", &text, &mut Names::default()).expect("the site is valid");
    Snapshot::new(Generation(1), state)
}

fn settings(streams: &str) -> String {
    format!(
        "[node]\nname = entry-1\nlisten = 127.0.0.1:0\nadmin_listen = 127.0.0.1:0\n\
         peer_listen = 127.0.0.1:0\nfailure_domain = a\ndrain_notice = 0 s\n\
         [platform]\nendpoints = 127.0.0.1:1\n[streams]\n{streams}\n"
    )
}
