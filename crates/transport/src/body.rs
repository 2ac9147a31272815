//! The response body, which returns its connection to the pool at its end.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::Framing;
use crate::TransportError;
use crate::pool::ConnectionGuard;

/// A response body. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    framing: Framing,
    guard: Option<ConnectionGuard>,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, framing: Framing, guard: ConnectionGuard) -> Self {
        Self { incoming, framing, guard: Some(guard) }
    }

    /// Returns what determines the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Waits for the next data. Returns `None` at the end of the body.
    ///
    /// # Errors
    ///
    /// [`TransportError::Silent`] if no data arrived within `wait`, which discards the connection
    /// and all older idle ones to the address, or [`TransportError::Broken`] if the connection
    /// failed before the end.
    pub async fn next(&mut self, wait: Duration) -> Result<Option<Bytes>, TransportError> {
        loop {
            let Ok(frame) = timeout(wait, self.incoming.frame()).await else {
                if let Some(guard) = self.guard.take() {
                    guard.discard_with_older();
                }
                return Err(TransportError::Silent { waited: wait });
            };
            match frame {
                None => {
                    self.release();
                    return Ok(None);
                }
                Some(Err(e)) => {
                    self.guard = None;
                    return Err(TransportError::Broken { reason: e.to_string() });
                }
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// As for [`ResponseBody::next`], and [`TransportError::TooLarge`] beyond `limit_bytes`.
    pub async fn read_all(
        mut self,
        limit_bytes: usize,
        wait: Duration,
    ) -> Result<Bytes, TransportError> {
        let mut body = BytesMut::new();
        while let Some(data) = self.next(wait).await? {
            if body.len() + data.len() > limit_bytes {
                return Err(TransportError::TooLarge { limit_bytes });
            }
            body.extend_from_slice(&data);
        }
        Ok(body.freeze())
    }

    fn release(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.release();
        }
    }
}
