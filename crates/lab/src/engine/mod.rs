//! The engine stand-in: continuous batching, a prefix cache in limited memory, priorities, resuming
//! and cancelling of streams, late reports of load and cache, orders with fencing numbers.
//!
//! ```text
//!            submit            slot free          last token
//!   request ───────► waiting ───────────► running ──────────► finished
//!                       │ cancel             │ cancel            │ 5 s
//!                       └────────► forgotten ◄┴───────────────────┘
//! ```
//!
//! One task steps the batch; connections read the logs of their streams.

mod admin;
mod batch;
mod blocks;
mod cache;
mod cache_events;
mod chat;
mod core;
mod driver;
mod http;
mod job;
mod options;
mod orders;
mod reply_stream;
mod stream_log;
mod transfer;
mod weight_loader;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::net::Connections;
use crate::net::Server;

pub use batch::Batch;
pub use batch::Produced;
pub use blocks::BlockHash;
pub use blocks::Prompt;
pub use blocks::cut_prompt;
pub use blocks::render;
pub use cache::CacheChange;
pub use cache::PrefixCache;
pub use chat::ChatRequest;
pub use chat::Message;
pub use job::Job;
pub use job::JobId;
pub use options::EngineOptions;
pub use options::FencingMode;
pub use options::Pace;
pub use weight_loader::WeightLoader;

/// The engine stand-in.
#[derive(Debug)]
pub struct Engine;

/// An engine stand-in that serves.
#[derive(Debug)]
pub struct RunningEngine {
    /// The name.
    pub name: String,
    /// The address that serves completions.
    pub address: SocketAddr,
    /// The administration address.
    pub admin_address: SocketAddr,
    core: Arc<core::Core>,
    server: Server,
    admin: Server,
    stop: CancellationToken,
    tasks: Vec<JoinHandle<()>>,
}

impl Engine {
    /// Starts the stand-in with an empty cache and a new incarnation.
    pub async fn start(options: EngineOptions) -> io::Result<RunningEngine> {
        let name = options.name.clone();
        let (listen, admin) = (options.listen, options.admin);
        let connections = Connections::default();
        let (transfer, exports) = transfer::Transfer::new();
        let export_to = options.export_to;
        let core = Arc::new(core::Core::new(options, connections.clone(), transfer.clone()));
        let handler = Arc::new(http::EngineHandler::new(core.clone()));
        let server = Server::start_with(listen, handler, connections).await?;
        let admin = Server::start(admin, Arc::new(admin::Admin::new(core.clone()))).await?;
        let stop = CancellationToken::new();
        let mut tasks = vec![
            tokio::spawn(driver::step_batch(core.clone(), stop.clone())),
            tokio::spawn(driver::report_load(core.clone(), stop.clone())),
        ];
        if let Some(store) = export_to {
            tasks.push(tokio::spawn(transfer.run_exports(store, exports, stop.clone())));
        }
        Ok(RunningEngine {
            name,
            address: server.address(),
            admin_address: admin.address(),
            core,
            server,
            admin,
            stop,
            tasks,
        })
    }
}

impl RunningEngine {
    /// Replaces the faults that are to strike.
    pub fn set_faults(&self, rules: Vec<crate::faults::FaultRule>) {
        self.core.faults.set(rules);
    }

    /// Crashes now and comes back empty after a time.
    pub fn crash(&self, away_ms: u64) {
        self.core.crash(away_ms);
    }

    /// Sets whether the engine reports that it is leaving and refuses new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.core.set_leaving(leaving);
    }

    /// Returns the totals since the first start.
    pub fn totals(&self) -> Totals {
        self.core.totals()
    }

    /// Stops serving and joins all tasks.
    pub async fn stop(self) {
        self.stop.cancel();
        for task in self.tasks {
            task.await.expect("the engine's tasks do not panic");
        }
        self.server.stop().await;
        self.admin.stop().await;
    }
}

/// What an engine did since its first start, over all incarnations.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Totals {
    /// Requests taken.
    pub requests: u64,
    /// Requests cancelled.
    pub cancelled: u64,
    /// Prompt tokens of the requests that got a slot.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens imported.
    pub imported_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
}
