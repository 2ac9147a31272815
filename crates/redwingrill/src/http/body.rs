//! Bodies of replies.

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;

/// The body of any reply.
pub type Body = BoxBody<Bytes, Infallible>;

/// Makes a body that is known in full.
pub fn full_body(data: impl Into<Bytes>) -> Body {
    Full::new(data.into()).boxed()
}
