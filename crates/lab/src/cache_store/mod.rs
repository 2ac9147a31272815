//! The KV cache store stand-in: engines export the blocks that they computed and import them again.
//!
//! Only names of blocks travel here; the time that an import takes is modelled by the engine.
//!
//! | call | meaning |
//! | --- | --- |
//! | `POST /blocks` | `{"blocks":["HEX16",...]}`: keep these blocks of one chain |
//! | `POST /blocks/lookup` | the same body; `{"held":N}`: the first N of them are held |

mod http;
mod wire;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::net::Server;

pub use wire::BlockList;
pub use wire::Held;

/// How a KV cache store stand-in starts.
#[derive(Clone, Copy, Debug)]
pub struct CacheStoreOptions {
    /// The address that serves engines; port 0 for any.
    pub listen: SocketAddr,
    /// The blocks it holds at most.
    pub blocks_limit: usize,
}

/// The KV cache store stand-in.
#[derive(Debug)]
pub struct CacheStore;

/// A KV cache store stand-in that serves.
#[derive(Debug)]
pub struct RunningCacheStore {
    /// The address that serves engines.
    pub address: SocketAddr,
    server: Server,
}

impl CacheStore {
    /// Starts the stand-in with nothing in it.
    pub async fn start(options: CacheStoreOptions) -> io::Result<RunningCacheStore> {
        let handler = Arc::new(http::CacheStoreHandler::new(options.blocks_limit));
        let server = Server::start(options.listen, handler).await?;
        Ok(RunningCacheStore { address: server.address(), server })
    }
}

impl RunningCacheStore {
    /// Stops serving and joins all tasks.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
