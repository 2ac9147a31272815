//! Sends roll-out commands to engines over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use redwingrill_rollout::EngineOrders;
use redwingrill_rollout::Order;
use redwingrill_rollout::OrderKind;
use redwingrill_rollout::OrderOutcome;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::ReplyBody;
use redwingrill_transport::Timeouts;

/// The head timeout is long because an engine may respond only after it has loaded the weights.
const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_millis(500), head: Duration::from_secs(10) };

const RESPONSE_LIMIT_BYTES: usize = 4 << 10;

/// The response of an engine that has seen a higher fencing number.
#[derive(Debug, Deserialize)]
struct FencedResponse {
    fencing_number: u64,
}

/// Sends commands through a connection pool.
#[derive(Clone, Debug)]
pub struct HttpEngineCommands {
    pool: Pool,
}

impl HttpEngineCommands {
    /// Creates a sender that uses `pool`.
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }
}

impl EngineOrders for HttpEngineCommands {
    async fn send(&self, command: &Order) -> OrderOutcome {
        let response =
            self.pool.send(command.address, request(command), Freshness::Any, &TIMEOUTS).await;
        match response {
            Ok(response) => outcome(response).await,
            Err(error) if error.may_have_been_received() => OrderOutcome::Unknown,
            Err(_) => OrderOutcome::NotTaken,
        }
    }
}

fn request(command: &Order) -> Request<Bytes> {
    let (path, body) = match &command.kind {
        OrderKind::Load(load) => ("/orders/load", load_body(command, load)),
        OrderKind::Role(role) => {
            let body = json!({ "role": role.role, "fencing_number": command.fencing_number });
            ("/orders/role", body)
        }
    };
    Request::post(path)
        .header(header::HOST, command.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body.to_string()))
        .expect("request parts are constants or valid header values")
}

fn load_body(command: &Order, load: &redwingrill_rollout::LoadOrder) -> Value {
    json!({
        "model": load.model,
        "weights_version": load.weights_version,
        "fencing_number": command.fencing_number,
    })
}

async fn outcome(response: http::Response<ReplyBody>) -> OrderOutcome {
    let status = response.status();
    let body = response.into_body().read_all(RESPONSE_LIMIT_BYTES, TIMEOUTS.head).await;
    if status.is_success() {
        return OrderOutcome::Taken;
    }
    if status != StatusCode::CONFLICT {
        // A server error may be returned after the engine began to execute the command.
        let refused = status.is_client_error();
        return if refused { OrderOutcome::NotTaken } else { OrderOutcome::Unknown };
    }
    let fenced = body.ok().and_then(|body| serde_json::from_slice::<FencedResponse>(&body).ok());
    fenced.map_or(OrderOutcome::NotTaken, |fenced| OrderOutcome::Refused {
        held: fenced.fencing_number,
    })
}
