//! Response bodies.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;

/// The body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Creates a body from data that is available in full.
pub fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).boxed()
}
