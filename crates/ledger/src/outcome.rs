//! The retained part of an upstream's response to an order.

use bytes::Bytes;

/// The body of a retained response.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum OutcomeBody {
    /// The whole body.
    Whole(Bytes),
    /// The body was longer than [`Outcome::BODY_LIMIT_BYTES`] and is not retained.
    TooLong {
        /// The length of the body in bytes.
        length_bytes: u64,
    },
}

/// The retained response of an upstream to an order.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Outcome {
    /// The HTTP status.
    pub status: u16,
    /// The retained headers, with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: OutcomeBody,
}

impl Outcome {
    /// The maximum length of a retained body.
    pub const BODY_LIMIT_BYTES: usize = 4096;
    /// The maximum length of a retained header value.
    pub const HEADER_LIMIT_BYTES: usize = 256;
    /// The lower-case names of the retained headers.
    pub const HEADERS: [&'static str; 4] = ["content-type", "content-language", "etag", "location"];

    /// Extracts the retained part of a response.
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
