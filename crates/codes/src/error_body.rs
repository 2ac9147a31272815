//! The JSON body of an error response.

use serde::Deserialize;
use serde::Serialize;

use crate::Ran;
use crate::ResultCode;

/// An error in the format of the chat completions API, extended by the numbered result code.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// The fields inside an [`ErrorBody`].
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// A human-readable message.
    pub message: String,
    /// The kind of error that client libraries switch on.
    #[serde(rename = "type")]
    pub kind: String,
    /// The name of the result code.
    pub code: String,
    /// The number of the result code.
    pub result_code: u16,
    /// Whether an upstream may have run the request.
    pub ran: Ran,
    /// The identifier of the request.
    pub request_id: String,
}

impl ErrorBody {
    /// Creates the body for a code. An empty `detail` is replaced by the code's summary.
    pub fn new(code: ResultCode, detail: &str, request_id: &str) -> Self {
        let info = code.info();
        let message = if detail.is_empty() { info.summary } else { detail };
        Self {
            error: ErrorDetail {
                message: message.to_owned(),
                kind: kind_of(info.http_status).to_owned(),
                code: info.name.to_owned(),
                result_code: info.number,
                ran: info.ran,
                request_id: request_id.to_owned(),
            },
        }
    }

    /// Returns the body as JSON text.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("an error body has only serializable fields")
    }
}

fn kind_of(http_status: u16) -> &'static str {
    match http_status {
        401 => "authentication_error",
        403 => "permission_error",
        429 => "rate_limit_error",
        400..500 => "invalid_request_error",
        _ => "api_error",
    }
}
