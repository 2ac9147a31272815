//! The port to the administration of nodes, and its HTTP adapter.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use redwingrill_explain::Answer;
use redwingrill_explain::ExplainFault;
use redwingrill_explain::ExplainQuery;
use redwingrill_transport::BodyTimeouts;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::Timeouts;
use redwingrill_transport::TransportError;

const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_millis(500), head: Duration::from_secs(2) };

/// The time limit for an explanation, from the connection to the end of the body.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// The time limits for a response body.
const BODY_TIMEOUTS: BodyTimeouts =
    BodyTimeouts { piece: Duration::from_secs(2), whole: Duration::from_secs(20) };

/// Maximum size of a state dump.
const DUMP_LIMIT_BYTES: usize = 256 << 20;

/// The status that a node reports.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name.
    pub name: String,
    /// The lifecycle phase.
    pub phase: String,
    /// The generation in force; zero for none.
    pub generation: u64,
}

/// Why a node did not explain a request.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum ExplainError {
    /// The call failed.
    Call(String),
    /// The node answered that it cannot.
    Fault(ExplainFault),
}

/// Administration calls to nodes. Errors are messages for people.
pub trait NodeAdmin: Clone + Send + Sync + 'static {
    /// Returns the status of a node.
    fn status(&self, node: SocketAddr) -> impl Future<Output = Result<NodeStatus, String>> + Send;

    /// Returns the state dump of a node.
    fn dump(&self, node: SocketAddr) -> impl Future<Output = Result<Value, String>> + Send;

    /// Asks a node where a request would go.
    fn explain(
        &self,
        node: SocketAddr,
        query: &ExplainQuery,
    ) -> impl Future<Output = Result<Answer, ExplainError>> + Send;

    /// Starts the graceful shutdown of a node.
    fn drain(&self, node: SocketAddr) -> impl Future<Output = Result<(), String>> + Send;
}

/// Administration calls over HTTP.
#[derive(Clone, Debug)]
pub struct HttpNodes {
    pool: Pool,
}

impl HttpNodes {
    /// Creates a client that uses `pool`.
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    async fn call(&self, method: Method, node: SocketAddr, path: &str) -> Result<Bytes, String> {
        let (status, body) = self.answer(method, node, path).await?;
        if status.is_success() { Ok(body) } else { Err(format!("the node answered {status}")) }
    }

    async fn answer(
        &self,
        method: Method,
        node: SocketAddr,
        path: &str,
    ) -> Result<(StatusCode, Bytes), String> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(http::header::HOST, node.to_string())
            .body(Bytes::new())
            .expect("path is valid: constant or encoded");
        let text = |error: TransportError| error.to_string();
        let response =
            self.pool.send(node, request, Freshness::Any, &TIMEOUTS).await.map_err(text)?;
        let status = response.status();
        let body =
            response.into_body().read_all(DUMP_LIMIT_BYTES, BODY_TIMEOUTS).await.map_err(text)?;
        Ok((status, body))
    }
}

impl NodeAdmin for HttpNodes {
    async fn status(&self, node: SocketAddr) -> Result<NodeStatus, String> {
        let body = self.call(Method::GET, node, "/status").await?;
        serde_json::from_slice(&body).map_err(|error| format!("not a node's status: {error}"))
    }

    async fn dump(&self, node: SocketAddr) -> Result<Value, String> {
        let body = self.call(Method::GET, node, "/dump").await?;
        serde_json::from_slice(&body).map_err(|error| format!("not a node's dump: {error}"))
    }

    async fn explain(
        &self,
        node: SocketAddr,
        query: &ExplainQuery,
    ) -> Result<Answer, ExplainError> {
        let path = format!("/explain?{}", query.encode());
        let answer = tokio::time::timeout(EXPLAIN_TIMEOUT, self.answer(Method::GET, node, &path));
        let no_response = |_| ExplainError::Call("no response in time".to_owned());
        let (status, body) = answer.await.map_err(no_response)?.map_err(ExplainError::Call)?;
        let not_understood = |error| format!("answered {status}, not an explanation: {error}");
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|error| ExplainError::Call(not_understood(error)));
        }
        Err(match serde_json::from_slice(&body) {
            Ok(fault) => ExplainError::Fault(fault),
            Err(error) => ExplainError::Call(not_understood(error)),
        })
    }

    async fn drain(&self, node: SocketAddr) -> Result<(), String> {
        self.call(Method::POST, node, "/drain").await.map(|_| ())
    }
}
