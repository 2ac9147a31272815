//! The response body, which returns its connection to the pool at its end.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::BudgetedBuffer;
use crate::ByteBudget;
use crate::Framing;
use crate::TransportError;
use crate::pool::ConnectionGuard;
use crate::upload::UploadState;

/// How long reading a whole body may take. A single duration limits the whole.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BodyTimeouts {
    /// The wait for each piece.
    pub piece: Duration,
    /// The time until the end of the body: pieces may come without end.
    pub whole: Duration,
}

impl From<Duration> for BodyTimeouts {
    fn from(whole: Duration) -> Self {
        Self { piece: whole, whole }
    }
}

/// A response body. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct ResponseBody {
    pub(crate) incoming: Incoming,
    // Whether the status and the headers allow a body.
    pub(crate) has_body: bool,
    pub(crate) framing: Framing,
    pub(crate) budget: ByteBudget,
    pub(crate) upload: UploadState,
    pub(crate) guard: Option<ConnectionGuard>,
}

impl ResponseBody {
    /// Returns what determines the end of the body.
    pub fn framing(&self) -> Framing {
        self.framing
    }

    /// Waits for the next data. Returns `None` at the end of the body; where only the end of the
    /// connection marks it, some 50 ms after that.
    ///
    /// # Errors
    ///
    /// [`TransportError::Silent`] if no data arrived within `wait`, which discards the connection
    /// and all older idle ones to the address, or [`TransportError::Broken`] if the connection
    /// failed before the end or, where only its end marks that of the body, while the request was
    /// still being written or just after it had ended in order.
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
                    if self.has_body && !self.framing.marks_end() {
                        self.confirm_end(wait).await?;
                    }
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

    /// Reads the whole body within `timeouts`.
    ///
    /// # Errors
    ///
    /// As for [`ResponseBody::next`], [`TransportError::TooLarge`] beyond `limit_bytes`, and
    /// [`TransportError::BuffersFull`] beyond what the budget allows.
    pub async fn read_all(
        mut self,
        limit_bytes: usize,
        timeouts: impl Into<BodyTimeouts>,
    ) -> Result<Bytes, TransportError> {
        let timeouts = timeouts.into();
        let deadline = Instant::now() + timeouts.whole;
        let mut body = BudgetedBuffer::new(&self.budget);
        loop {
            let remaining = deadline.saturating_duration_since(Instant::now());
            let Some(data) = self.next(timeouts.piece.min(remaining)).await? else { break };
            if body.len() + data.len() > limit_bytes {
                return Err(TransportError::TooLarge { limit_bytes });
            }
            body.extend(&data).map_err(|_| TransportError::BuffersFull)?;
        }
        Ok(body.freeze())
    }

    /// Waits for what shows that the end of the connection is that of the answer: the request was
    /// written, and the server did not reset the connection after its end.
    async fn confirm_end(&mut self, wait: Duration) -> Result<(), TransportError> {
        let is_written = timeout(wait, self.upload.wait_written()).await == Ok(true);
        let guard = self.guard.as_ref();
        let reset = match guard.filter(|_| is_written) {
            Some(guard) => guard.watch_reset().await,
            None => Ok(()),
        };
        let reason = match reset {
            Ok(()) if is_written => return Ok(()),
            Ok(()) => "the connection ended while the request was being written".to_owned(),
            Err(e) => format!("the connection was reset after its end: {e}"),
        };
        self.guard = None;
        Err(TransportError::Broken { reason })
    }

    fn release(&mut self) {
        if let Some(guard) = self.guard.take() {
            guard.release();
        }
    }
}
