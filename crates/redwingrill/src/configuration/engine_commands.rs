//! Sends roll-out commands to engines over HTTP.

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

impl CommandSender for HttpEngineCommands {
    async fn send(&self, command: &EngineCommand) -> CommandOutcome {
        let response =
            self.pool.send(command.address, request(command), Freshness::Any, &TIMEOUTS).await;
        match response {
            Ok(response) => outcome(response).await,
            Err(error) if error.may_have_been_received() => CommandOutcome::Unknown,
            Err(_) => CommandOutcome::NotExecuted,
        }
    }
}

fn request(command: &EngineCommand) -> Request<Bytes> {
    let (path, body) = match &command.kind {
        CommandKind::Load(load) => ("/orders/load", load_body(command, load)),
        CommandKind::Role(role) => {
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

fn load_body(command: &EngineCommand, load: &redwingrill_rollout::LoadCommand) -> Value {
    json!({
        "model": load.model,
        "weights_version": load.weights_version,
        "fencing_number": command.fencing_number,
    })
}

async fn outcome(response: http::Response<ResponseBody>) -> CommandOutcome {
    let status = response.status();
    let body = response.into_body().read_all(RESPONSE_LIMIT_BYTES, TIMEOUTS.head).await;
    if status.is_success() {
        return CommandOutcome::Accepted;
    }
    if status != StatusCode::CONFLICT {
        // A server error may be returned after the engine began to execute the command.
        let refused = status.is_client_error();
        return if refused { CommandOutcome::NotExecuted } else { CommandOutcome::Unknown };
    }
    let fenced = body.ok().and_then(|body| serde_json::from_slice::<FencedResponse>(&body).ok());
    fenced.map_or(CommandOutcome::NotExecuted, |fenced| CommandOutcome::Refused {
        highest_seen: fenced.fencing_number,
    })
}
