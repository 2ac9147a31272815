//! Orders to engines over HTTP.

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

/// An engine may answer only once it has loaded.
const TIMEOUTS: Timeouts =
    Timeouts { connect: Duration::from_millis(500), head: Duration::from_secs(10) };

const REPLY_LIMIT_BYTES: usize = 4 << 10;

/// The reply of an engine that holds a higher fencing number.
#[derive(Debug, Deserialize)]
struct Held {
    fencing_number: u64,
}

/// Sends orders through a pool of connections.
#[derive(Clone, Debug)]
pub struct HttpEngineOrders {
    pool: Pool,
}

impl HttpEngineOrders {
    /// Sends through `pool`.
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }
}

impl EngineOrders for HttpEngineOrders {
    async fn send(&self, order: &Order) -> OrderOutcome {
        let reply = self.pool.send(order.address, request(order), Freshness::Any, &TIMEOUTS).await;
        match reply {
            Ok(reply) => outcome(reply).await,
            Err(error) if error.may_have_been_received() => OrderOutcome::Unknown,
            Err(_) => OrderOutcome::NotTaken,
        }
    }
}

fn request(order: &Order) -> Request<Bytes> {
    let (path, body) = match &order.kind {
        OrderKind::Load(load) => ("/orders/load", load_body(order, load)),
        OrderKind::Role(role) => {
            let body = json!({ "role": role.role, "fencing_number": order.fencing_number });
            ("/orders/role", body)
        }
    };
    Request::post(path)
        .header(header::HOST, order.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Bytes::from(body.to_string()))
        .expect("the request is valid")
}

fn load_body(order: &Order, load: &redwingrill_rollout::LoadOrder) -> Value {
    json!({
        "model": load.model,
        "weights_version": load.weights_version,
        "fencing_number": order.fencing_number,
    })
}

async fn outcome(reply: http::Response<ReplyBody>) -> OrderOutcome {
    let status = reply.status();
    let body = reply.into_body().read_all(REPLY_LIMIT_BYTES, TIMEOUTS.head).await;
    if status.is_success() {
        return OrderOutcome::Taken;
    }
    if status != StatusCode::CONFLICT {
        // An error of the server may come after it began.
        let refused = status.is_client_error();
        return if refused { OrderOutcome::NotTaken } else { OrderOutcome::Unknown };
    }
    let held = body.ok().and_then(|body| serde_json::from_slice::<Held>(&body).ok());
    held.map_or(OrderOutcome::NotTaken, |held| OrderOutcome::Refused { held: held.fencing_number })
}
