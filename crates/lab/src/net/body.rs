//! Request and reply bodies.

use bytes::Bytes;
use futures::Stream;
use futures::StreamExt;
use http::Response;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

/// The body of every reply.
pub type Body = UnsyncBoxBody<Bytes, Cut>;

/// Ends a connection without the rest of the answer.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Snafu)]
#[snafu(display("connection cut by a switched fault"))]
pub struct Cut;

/// Makes a body of known length.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Makes a body of chunks that are sent as they come.
pub fn stream_body(chunks: impl Stream<Item = Result<Bytes, Cut>> + Send + 'static) -> Body {
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}

/// Makes a JSON reply.
pub fn json_reply(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_string(value).expect("replies have string keys");
    let mut reply = Response::new(full_body(text));
    *reply.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(CONTENT_TYPE, json);
    reply
}

/// Makes a reply without a body.
pub fn status_reply(status: StatusCode) -> Response<Body> {
    let mut reply = Response::new(full_body(Bytes::new()));
    *reply.status_mut() = status;
    reply
}

/// Reads a JSON body; an empty one stands for `{}`. The error is the reply to send.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Box<Response<Body>>> {
    let collected = body.collect().await.map_err(|e| bad_request(&e.to_string()))?;
    let bytes = collected.to_bytes();
    let text: &[u8] = if bytes.is_empty() { b"{}" } else { &bytes };
    serde_json::from_slice(text).map_err(|e| bad_request(&e.to_string()))
}

fn bad_request(reason: &str) -> Box<Response<Body>> {
    let body = serde_json::json!({"error": {"message": reason}});
    Box::new(json_reply(StatusCode::BAD_REQUEST, &body))
}
