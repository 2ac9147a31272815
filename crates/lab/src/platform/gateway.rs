//! The gateway's HTTP handler.

use std::sync::Arc;
use std::time::Duration;

use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;

use super::instances::LaggingList;
use super::translate;
use super::translate::Keys;
use super::translate::Operation;
use super::translate::Unsupported;
use super::translate::revision_number;
use super::watching;
use super::wire::DeleteReply;
use super::wire::Header;
use super::wire::LeaseReply;
use super::wire::LeaseRequest;
use super::wire::RangeReply;
use super::wire::RangeRequest;
use super::wire::ResponseOp;
use super::wire::Streamed;
use super::wire::TxnReply;
use super::wire::TxnRequest;
use super::wire::WatchRequest;
use crate::net::Body;
use crate::net::Cut;
use crate::net::Handler;
use crate::net::full_body;
use crate::net::json_reply;
use crate::net::read_json;
use crate::net::status_reply;
use crate::net::stream_body;
use redwingrill_fakes::MemoryStore;
use redwingrill_ports::Entry;
use redwingrill_ports::LeaseId;
use redwingrill_ports::Revision;
use redwingrill_ports::Store;
use redwingrill_ports::StoreError;
use redwingrill_ports::Swap;

const GRPC_INVALID_ARGUMENT: u8 = 3;
const GRPC_RESOURCE_EXHAUSTED: u8 = 8;
const GRPC_UNAVAILABLE: u8 = 14;

type Reply = Result<Response<Body>, Failure>;

/// Why a call gets no ordinary answer.
enum Failure {
    Reply(Box<Response<Body>>),
    Store(StoreError),
    Unsupported(Unsupported),
}

impl From<StoreError> for Failure {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<Unsupported> for Failure {
    fn from(error: Unsupported) -> Self {
        Self::Unsupported(error)
    }
}

impl From<Box<Response<Body>>> for Failure {
    fn from(reply: Box<Response<Body>>) -> Self {
        Self::Reply(reply)
    }
}

pub(super) struct Gateway {
    store: MemoryStore,
    instances: LaggingList,
}

impl Handler for Gateway {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Cut> {
        match self.route(request).await {
            Ok(reply) => Ok(reply),
            Err(Failure::Reply(reply)) => Ok(*reply),
            Err(Failure::Unsupported(error)) => {
                let status = StatusCode::BAD_REQUEST;
                Ok(error_reply(status, GRPC_INVALID_ARGUMENT, &error.to_string()))
            }
            Err(Failure::Store(error)) => store_error_reply(&error),
        }
    }
}

impl Gateway {
    pub(super) fn new(store: MemoryStore, instances: LaggingList) -> Self {
        Self { store, instances }
    }

    async fn route(&self, request: Request<Incoming>) -> Reply {
        let (parts, body) = request.into_parts();
        match (&parts.method, parts.uri.path()) {
            (&Method::GET, "/v1/instances") => Ok(self.list_instances()),
            (&Method::POST, "/v3/kv/range") => self.range(read_json(body).await?).await,
            (&Method::POST, "/v3/kv/txn") => self.txn(read_json(body).await?).await,
            (&Method::POST, "/v3/kv/deleterange") => self.delete(read_json(body).await?).await,
            (&Method::POST, "/v3/watch") => self.watch(read_json(body).await?).await,
            (&Method::POST, "/v3/lease/grant") => self.grant(read_json(body).await?).await,
            (&Method::POST, "/v3/lease/keepalive") => self.renew(read_json(body).await?).await,
            _ => Ok(status_reply(StatusCode::NOT_FOUND)),
        }
    }

    fn header(&self) -> Header {
        Header { revision: revision_number(self.store.revision()) }
    }

    fn list_instances(&self) -> Response<Body> {
        match self.instances.shown() {
            Some(list) => json_reply(StatusCode::OK, &list),
            None => status_reply(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn range(&self, request: RangeRequest) -> Reply {
        let found = match translate::keys(&request.key, &request.range_end)? {
            Keys::One(key) => self.store.get(&key).await?.into_iter().collect(),
            Keys::Prefix(prefix) => self.store.list(&prefix).await?,
        };
        Ok(json_reply(StatusCode::OK, &self.range_reply(found)))
    }

    fn range_reply(&self, found: Vec<Entry>) -> RangeReply {
        let kvs: Vec<_> = found.into_iter().map(Into::into).collect();
        let count = i64::try_from(kvs.len()).unwrap_or(i64::MAX);
        RangeReply { header: self.header(), kvs, count }
    }

    async fn txn(&self, request: TxnRequest) -> Reply {
        let reply = match translate::operation(&request)? {
            Operation::Swap { key, expected, value, lease } => {
                match self.store.swap(&key, expected, value, lease).await? {
                    Swap::Done(revision) => self.swapped(revision),
                    Swap::Conflict(found) => self.conflict(&request, found),
                }
            }
            Operation::Delete { key, expected } => {
                if self.store.delete(&key, expected).await? {
                    self.deleted_in_txn()
                } else {
                    let found = self.store.get(&key).await?;
                    self.conflict(&request, found)
                }
            }
        };
        Ok(json_reply(StatusCode::OK, &reply))
    }

    fn swapped(&self, revision: Revision) -> TxnReply {
        let header = Header { revision: revision_number(revision) };
        let responses = vec![ResponseOp::Put { header: header.clone() }];
        TxnReply { header, succeeded: true, responses }
    }

    fn deleted_in_txn(&self) -> TxnReply {
        let deleted = DeleteReply { header: self.header(), deleted: 1 };
        let responses = vec![ResponseOp::DeleteRange(deleted)];
        TxnReply { header: self.header(), succeeded: true, responses }
    }

    fn conflict(&self, request: &TxnRequest, found: Option<Entry>) -> TxnReply {
        let reads = request.failure.iter().filter(|op| op.request_range.is_some());
        let found: Vec<Entry> = found.into_iter().collect();
        let reply = |_| ResponseOp::Range(self.range_reply(found.clone()));
        TxnReply { header: self.header(), succeeded: false, responses: reads.map(reply).collect() }
    }

    async fn delete(&self, request: RangeRequest) -> Reply {
        let Keys::One(key) = translate::keys(&request.key, &request.range_end)? else {
            return Err(Unsupported::Range.into());
        };
        let mut deleted = false;
        while let Some(entry) = self.store.get(&key).await? {
            deleted = self.store.delete(&key, entry.revision).await?;
            if deleted {
                break;
            }
        }
        let reply = DeleteReply { header: self.header(), deleted: i64::from(deleted) };
        Ok(json_reply(StatusCode::OK, &reply))
    }

    async fn watch(&self, request: WatchRequest) -> Reply {
        let create = request.create_request;
        let prefix = match translate::keys(&create.key, &create.range_end)? {
            Keys::One(key) | Keys::Prefix(key) => key,
        };
        let current = self.store.revision();
        let from = match u64::try_from(create.start_revision) {
            Ok(from) if from > 0 => Revision(from),
            _ => Revision(current.0 + 1),
        };
        match self.store.watch(&prefix, from).await {
            Ok(watch) => Ok(Response::new(stream_body(watching::messages(watch, current)))),
            Err(StoreError::Compacted) => {
                Ok(Response::new(full_body(watching::compacted(current))))
            }
            Err(error) => Err(error.into()),
        }
    }

    async fn grant(&self, request: LeaseRequest) -> Reply {
        let ttl = Duration::from_secs(request.ttl_s.unsigned_abs());
        let lease = self.store.grant_lease(ttl).await?;
        let reply = LeaseReply { header: self.header(), id: lease.0, ttl_s: request.ttl_s };
        Ok(json_reply(StatusCode::OK, &reply))
    }

    async fn renew(&self, request: LeaseRequest) -> Reply {
        let exists = self.store.renew_lease(LeaseId(request.id)).await?;
        let reply = LeaseReply { header: self.header(), id: request.id, ttl_s: i64::from(exists) };
        Ok(json_reply(StatusCode::OK, &Streamed { result: reply }))
    }
}

fn store_error_reply(error: &StoreError) -> Result<Response<Body>, Cut> {
    let (status, code) = match error {
        StoreError::Unavailable { .. } => (StatusCode::SERVICE_UNAVAILABLE, GRPC_UNAVAILABLE),
        StoreError::RateLimited => (StatusCode::TOO_MANY_REQUESTS, GRPC_RESOURCE_EXHAUSTED),
        StoreError::Compacted => (StatusCode::BAD_REQUEST, GRPC_INVALID_ARGUMENT),
        // A lost answer is a connection that ends without one.
        StoreError::ResponseLost { .. } | StoreError::Malformed { .. } => return Err(Cut),
    };
    Ok(error_reply(status, code, &error.to_string()))
}

fn error_reply(status: StatusCode, code: u8, message: &str) -> Response<Body> {
    json_reply(status, &serde_json::json!({"error": message, "code": code, "message": message}))
}
