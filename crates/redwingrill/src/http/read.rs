//! Reads request bodies and API keys, within limits.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::header;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::Refusal;
use redwingrill_codes::ResultCode;

/// Reads a complete body.
///
/// # Errors
///
/// [`ResultCode::BodyTooLarge`] beyond `limit_bytes`, [`ResultCode::RequestTimeout`] if the caller
/// takes longer than `limit`, and [`ResultCode::BadRequest`] if it ends early.
pub async fn read_body(
    body: Incoming,
    limit_bytes: usize,
    limit: Duration,
) -> Result<Bytes, Refusal> {
    if body.size_hint().lower() > limit_bytes as u64 {
        return Err(ResultCode::BodyTooLarge.into());
    }
    let reading = read_limited(body, limit_bytes);
    timeout(limit, reading).await.unwrap_or_else(|_| Err(ResultCode::RequestTimeout.into()))
}

async fn read_limited(mut body: Incoming, limit_bytes: usize) -> Result<Bytes, Refusal> {
    let known_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(0);
    let mut collected = BytesMut::with_capacity(known_bytes.min(limit_bytes));
    while let Some(frame) = body.frame().await {
        let ended_early = |_| Refusal::with_detail(ResultCode::BadRequest, "the body ended early");
        let Ok(data) = frame.map_err(ended_early)?.into_data() else { continue };
        if collected.len() + data.len() > limit_bytes {
            return Err(ResultCode::BodyTooLarge.into());
        }
        collected.extend_from_slice(&data);
    }
    Ok(collected.freeze())
}

/// Returns the API key of a request.
///
/// # Errors
///
/// [`ResultCode::KeyMissing`] if there is no `Authorization` header with a bearer key.
pub fn bearer_key(headers: &HeaderMap) -> Result<&str, Refusal> {
    let value = headers.get(header::AUTHORIZATION).ok_or(ResultCode::KeyMissing)?;
    let text = value.to_str().map_err(|_| ResultCode::KeyMissing)?;
    let (scheme, key) = text.split_once(' ').ok_or(ResultCode::KeyMissing)?;
    let key = key.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || key.is_empty() {
        return Err(ResultCode::KeyMissing.into());
    }
    Ok(key)
}
