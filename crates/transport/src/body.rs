//! The body of a reply, which gives its connection back to the pool at its end.

use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::TransportError;
use crate::pool::Lease;

/// A reply body. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    incoming: Incoming,
    lease: Option<Lease>,
}

impl ResponseBody {
    pub(crate) fn new(incoming: Incoming, lease: Lease) -> Self {
        Self { incoming, lease: Some(lease) }
    }

    /// Waits for the next piece of data; `None` is the proper end of the body.
    ///
    /// # Errors
    ///
    /// [`TransportError::Silent`] if nothing came within `wait`, which condemns the connection, or
    /// [`TransportError::Broken`] if the connection failed before the end.
    pub async fn next(&mut self, wait: Duration) -> Result<Option<Bytes>, TransportError> {
        loop {
            let Ok(frame) = timeout(wait, self.incoming.frame()).await else {
                if let Some(lease) = self.lease.take() {
                    lease.condemn();
                }
                return Err(TransportError::Silent { waited: wait });
            };
            match frame {
                None => {
                    self.give_back();
                    return Ok(None);
                }
                Some(Err(e)) => {
                    self.lease = None;
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
    /// As for [`ReplyBody::next`], and [`TransportError::TooLarge`] beyond `limit_bytes`.
    pub async fn read_all(
        mut self,
        limit_bytes: usize,
        wait: Duration,
    ) -> Result<Bytes, TransportError> {
        let mut whole = BytesMut::new();
        while let Some(data) = self.next(wait).await? {
            if whole.len() + data.len() > limit_bytes {
                return Err(TransportError::TooLarge { limit_bytes });
            }
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }

    fn give_back(&mut self) {
        if let Some(lease) = self.lease.take() {
            lease.give_back();
        }
    }
}
