//! What an order's upstream answered, as far as it is retained.

use bytes::Bytes;

/// The body of a retained reply.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OutcomeBody {
    /// The whole body.
    Whole(Bytes),
    /// The body was longer than [`Outcome::BODY_LIMIT_BYTES`] and is not retained.
    TooLong {
        /// The length of the body.
        length_bytes: u64,
    },
}

/// The reply of an upstream to an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The retained headers, by lower-case name.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: OutcomeBody,
}

impl Outcome {
    /// The longest body that is retained.
    pub const BODY_LIMIT_BYTES: usize = 4096;
    /// The longest header value that is retained.
    pub const HEADER_LIMIT_BYTES: usize = 256;
    /// The headers that are retained.
    pub const HEADERS: [&'static str; 4] = ["content-type", "content-language", "etag", "location"];

    /// Takes from a reply what is retained.
    pub fn from_response<'a>(
        status: u16,
        headers: impl Iterator<Item = (&'a str, &'a str)>,
        body: Bytes,
    ) -> Self {
        let kept = headers.filter(|(name, value)| {
            Self::HEADERS.contains(name) && value.len() <= Self::HEADER_LIMIT_BYTES
        });
        let headers = kept.map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let body = if body.len() <= Self::BODY_LIMIT_BYTES {
            OutcomeBody::Whole(body)
        } else {
            OutcomeBody::TooLong { length_bytes: body.len() as u64 }
        };
        Self { status, headers, body }
    }
}
