//! Answers that are written twice.
//!
//! The extra copy of an answer arrives as the next request is sent on its connection, where the answer
//! to that request is expected, and all later ones are late by one request.

use std::collections::HashMap;
use std::sync::Mutex;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;

use crate::net::Body;
use crate::net::full_body;

/// A whole answer.
#[derive(Clone, Debug)]
pub(super) struct Written {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl From<Written> for Response<Body> {
    fn from(written: Written) -> Self {
        let mut reply = Response::new(full_body(written.body));
        *reply.status_mut() = written.status;
        *reply.headers_mut() = written.headers;
        reply
    }
}

/// The answers to come on each connection, by its number.
#[derive(Debug, Default)]
pub(super) struct Copies {
    due: Mutex<HashMap<u64, Written>>,
}

impl Copies {
    /// Returns whether a copy is to come on a connection.
    pub fn is_due(&self, connection: u64) -> bool {
        self.due.lock().expect("no holder panics").contains_key(&connection)
    }

    /// Takes the answer to a request of a connection, and returns what the caller gets for it.
    pub fn exchange(&self, connection: u64, written: Written) -> Written {
        let mut due = self.due.lock().expect("no holder panics");
        due.insert(connection, written.clone()).unwrap_or(written)
    }
}
