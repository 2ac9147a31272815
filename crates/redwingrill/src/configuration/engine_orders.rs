//! Orders to engines over HTTP.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http::header;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;

use redwingrill_rollout::CommandKind;
use redwingrill_rollout::CommandOutcome;
use redwingrill_rollout::CommandSender;
use redwingrill_rollout::EngineCommand;
use redwingrill_transport::Freshness;
use redwingrill_transport::Pool;
use redwingrill_transport::ResponseBody;
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

impl CommandSender for HttpEngineOrders {
    async fn send(&self, order: &EngineCommand) -> CommandOutcome {
        let reply = self.pool.send(order.address, request(order), Freshness::Any, &TIMEOUTS).await;
        match reply {
            Ok(reply) => outcome(reply).await,
            Err(error) if error.may_have_been_received() => CommandOutcome::Unknown,
            Err(_) => CommandOutcome::NotExecuted,
        }
    }
}

fn request(order: &EngineCommand) -> Request<Bytes> {
    let (path, body) = match &order.kind {
        CommandKind::Load(load) => ("/orders/load", load_body(order, load)),
        CommandKind::Role(role) => {
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

fn load_body(order: &EngineCommand, load: &redwingrill_rollout::LoadCommand) -> Value {
    json!({
        "model": load.model,
        "weights_version": load.weights_version,
        "fencing_number": order.fencing_number,
    })
}

async fn outcome(reply: http::Response<ResponseBody>) -> CommandOutcome {
    let status = reply.status();
    let body = reply.into_body().read_all(REPLY_LIMIT_BYTES, TIMEOUTS.head).await;
    if status.is_success() {
        return CommandOutcome::Accepted;
    }
    if status != StatusCode::CONFLICT {
        // An error of the server may come after it began.
        let refused = status.is_client_error();
        return if refused { CommandOutcome::NotExecuted } else { CommandOutcome::Unknown };
    }
    let held = body.ok().and_then(|body| serde_json::from_slice::<Held>(&body).ok());
    held.map_or(CommandOutcome::NotExecuted, |held| CommandOutcome::Refused {
        highest_seen: held.fencing_number,
    })
}
