//! The store's HTTP interface.

use std::sync::Arc;
use std::sync::Mutex;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::wire::BlockList;
use super::wire::Held;
use crate::engine::BlockHash;
use crate::engine::PrefixCache;
use crate::net::Body;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::json_reply;
use crate::net::read_json;
use crate::net::status_reply;

pub(super) struct CacheStoreHandler {
    blocks: Mutex<PrefixCache>,
}

impl Handler for CacheStoreHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        Ok(self.route(request).await.unwrap_or_else(|reply| *reply))
    }
}

impl CacheStoreHandler {
    pub(super) fn new(blocks_limit: usize) -> Self {
        Self { blocks: Mutex::new(PrefixCache::new(blocks_limit)) }
    }

    async fn route(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Box<Response<Body>>> {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/blocks") => Ok(self.store(&read_chain(body).await?)),
            (&Method::POST, "/blocks/lookup") => Ok(self.lookup(&read_chain(body).await?)),
            _ => Ok(status_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn store(&self, chain: &[BlockHash]) -> Response<Body> {
        let mut blocks = self.blocks.lock().expect("no holder panics");
        blocks.store(chain);
        // Nobody reads this cache's changes.
        blocks.take_changes();
        status_reply(StatusCode::NO_CONTENT)
    }

    fn lookup(&self, chain: &[BlockHash]) -> Response<Body> {
        let held = self.blocks.lock().expect("no holder panics").lookup(chain);
        json_reply(StatusCode::OK, &Held { held })
    }
}

async fn read_chain(body: Incoming) -> Result<Vec<BlockHash>, Box<Response<Body>>> {
    let list: BlockList = read_json(body).await?;
    list.try_into().map_err(|_| Box::new(status_reply(StatusCode::BAD_REQUEST)))
}
