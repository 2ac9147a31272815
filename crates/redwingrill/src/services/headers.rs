//! Headers of service calls.

use http::HeaderMap;
use http::HeaderValue;
use http::header;

use crate::Refusal;
use redwingrill_codes::ResultCode;

/// The header that identifies an order (IETF draft).
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The header with the fencing number of the node that sends an order.
pub const FENCING_HEADER: &str = "x-fencing-number";

/// The header with the client account, within which an Idempotency-Key is unique.
pub const CLIENT_ACCOUNT_HEADER: &str = "x-client-account";

/// The response header with the retention time of keys and the limit of orders in flight.
pub const WINDOW_HEADER: &str = "x-redwingrill-idempotency-window";

/// The response header that marks a replayed outcome.
pub const REPLAYED_HEADER: &str = "x-redwingrill-replayed";

/// Hop-by-hop headers, which are not forwarded.
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

/// Headers that only the router sets; a caller's are not forwarded.
const ROUTER_HEADERS: &[&str] = &[FENCING_HEADER, CLIENT_ACCOUNT_HEADER];

/// Copies the headers that are forwarded.
pub(super) fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in from {
        if !HOP_BY_HOP_HEADERS.contains(name) && !ROUTER_HEADERS.contains(&name.as_str()) {
            to.append(name, value.clone());
        }
    }
}

/// Parses a header value.
pub(super) fn header_value(text: &str) -> Result<HeaderValue, Refusal> {
    text.parse().map_err(|_| ResultCode::Internal.into())
}
