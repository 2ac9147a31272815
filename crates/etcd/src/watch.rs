//! The stream of a watch from the gateway: one JSON message per line.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::Buf;
use bytes::BytesMut;

use crate::endpoints::store_error;
use crate::wire::Streamed;
use crate::wire::WatchResponse;
use redwingrill_ports::Change;
use redwingrill_ports::StoreError;
use redwingrill_ports::Watch;
use redwingrill_transport::ResponseBody;

/// The limit of a message: several values of up to a megabyte each, in base64.
const MESSAGE_LIMIT_BYTES: usize = 16 << 20;

/// The caller bounds the wait for the next change, so this timeout only has to be longer than any
/// such bound.
const UNBOUNDED_WAIT: Duration = Duration::from_secs(86_400);

/// An open watch.
#[derive(Debug)]
pub struct EtcdWatch {
    body: ResponseBody,
    buffer: BytesMut,
    changes: VecDeque<Change>,
}

impl EtcdWatch {
    /// Waits for the first message, which confirms that the watch was created.
    pub(crate) async fn open(body: ResponseBody, wait: Duration) -> Result<Self, StoreError> {
        let mut watch = Self { body, buffer: BytesMut::new(), changes: VecDeque::new() };
        let first = watch.next_message(wait).await?;
        if !first.created {
            return Err(StoreError::Malformed { reason: "watch not created".to_owned() });
        }
        watch.apply(first)?;
        Ok(watch)
    }

    fn apply(&mut self, message: WatchResponse) -> Result<(), StoreError> {
        if message.compact_revision.0 > 0 {
            return Err(StoreError::Compacted);
        }
        if message.canceled {
            return Err(StoreError::Unavailable { reason: "watch cancelled".to_owned() });
        }
        for event in message.events {
            self.changes.push_back(event.try_into()?);
        }
        Ok(())
    }

    async fn next_message(&mut self, wait: Duration) -> Result<WatchResponse, StoreError> {
        loop {
            if let Some(message) = take_message(&mut self.buffer)? {
                return Ok(message);
            }
            match self.body.next(wait).await {
                Ok(Some(data)) => self.buffer.extend_from_slice(&data),
                Ok(None) => {
                    return Err(StoreError::Unavailable { reason: "watch ended".to_owned() });
                }
                Err(e) => return Err(store_error(&e)),
            }
        }
    }
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<Change, StoreError> {
        loop {
            if let Some(change) = self.changes.pop_front() {
                return Ok(change);
            }
            let message = self.next_message(UNBOUNDED_WAIT).await?;
            self.apply(message)?;
        }
    }
}

/// Removes the first complete line from the buffer and parses it. Returns `None` if there is none.
fn take_message(buffer: &mut BytesMut) -> Result<Option<WatchResponse>, StoreError> {
    let malformed = |reason: String| StoreError::Malformed { reason };
    loop {
        let Some(end) = buffer.iter().position(|&byte| byte == b'\n') else {
            if buffer.len() > MESSAGE_LIMIT_BYTES {
                return Err(malformed("watch message too long".to_owned()));
            }
            return Ok(None);
        };
        let line = buffer.split_to(end);
        buffer.advance(1);
        if line.iter().all(u8::is_ascii_whitespace) {
            continue;
        }
        let message: Streamed<WatchResponse> =
            serde_json::from_slice(&line).map_err(|e| malformed(e.to_string()))?;
        return Ok(Some(message.result));
    }
}
