//! Headers of service calls.

use http::HeaderMap;
use http::HeaderValue;
use http::header;

use crate::Refusal;
use redwingrill_codes::ResultCode;

/// The header that names an order (IETF draft).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The header with the number of an order's sender.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// The header that names the client account, within which an Idempotency-Key is unique.
pub const CLIENT_ACCOUNT_HEADER: &str = "x-client-account";

/// The reply header that tells how long keys are retained, and how many orders may be in flight.
pub const WINDOW_HEADER: &str = "x-redwingrill-idempotency-window";

/// The reply header of an outcome that was recorded before.
pub const REPLAYED_HEADER: &str = "x-redwingrill-replayed";

/// Headers that concern one connection only and are not passed on.
const HOP_BY_HOP_HEADERS: &[header::HeaderName] = &[
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::HOST,
    header::AUTHORIZATION,
    header::UPGRADE,
    header::TE,
    header::TRAILER,
];

/// Headers that only the router sets.
const ROUTER_HEADERS: &[&str] = &[FENCING_HEADER, CLIENT_ACCOUNT_HEADER];

/// Copies the headers that are passed on.
pub(super) fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !HOP_BY_HOP_HEADERS.contains(name) && !ROUTER_HEADERS.contains(&name.as_str()) {
            to.append(name, value.clone());
        }
    }
}

/// Makes the value of a header.
pub(super) fn header_value(text: &str) -> Result<HeaderValue, Refusal> {
    text.parse().map_err(|_| ResultCode::Internal.into())
}
