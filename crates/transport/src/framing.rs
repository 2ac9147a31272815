//! How the end of a response body is determined.

use std::fmt;

use http::HeaderMap;
use http::header;

/// What determines the end of a response body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Framing {
    /// The `Content-Length` header. A body that ends early is an error.
    Length,
    /// Chunked transfer coding. A body that ends before its last chunk is an error.
    Chunked,
    /// The end of the connection. An orderly end says nothing about completeness.
    Connection,
}

impl Framing {
    /// Returns the framing of a response with a body, by RFC 9112, section 6.3.
    pub fn of(headers: &HeaderMap) -> Self {
        let codings = headers.get_all(header::TRANSFER_ENCODING);
        match codings.iter().next_back() {
            Some(codings) => {
                let last = codings.to_str().ok().and_then(|codings| codings.rsplit(',').next());
                match last.is_some_and(|last| last.trim().eq_ignore_ascii_case("chunked")) {
                    true => Self::Chunked,
                    false => Self::Connection,
                }
            }
            None if headers.contains_key(header::CONTENT_LENGTH) => Self::Length,
            None => Self::Connection,
        }
    }

    /// Returns whether an orderly end of the body shows that it is complete.
    pub fn marks_end(self) -> bool {
        self != Self::Connection
    }
}

impl fmt::Display for Framing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::Connection => "connection",
        })
    }
}
