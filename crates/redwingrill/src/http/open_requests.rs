//! The requests that a node is serving.
//!
//! Invariant: a request is listed from its arrival until the last byte of its response is passed to
//! the connection, or the connection is closed.

use std::collections::HashMap;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body::Frame;
use http_body::SizeHint;
use http_body_util::BodyExt;
use tokio::sync::watch;

use super::Body;
use super::RequestId;

/// Lists open requests. Clones share the list.
#[derive(Clone, Debug, Default)]
pub struct OpenRequests {
    requests: Arc<Mutex<HashMap<RequestId, &'static str>>>,
    received: watch::Sender<u64>,
}

impl OpenRequests {
    /// Adds a request with the name of its call; dropping the returned guard removes it.
    pub fn begin(&self, id: RequestId, call: &'static str) -> OpenRequest {
        self.lock().insert(id, call);
        self.received.send_modify(|count| *count += 1);
        OpenRequest { list: self.clone(), id }
    }

    /// Returns the number of requests that were added so far.
    pub fn received(&self) -> watch::Receiver<u64> {
        self.received.subscribe()
    }

    /// Returns the number of open requests.
    pub fn count(&self) -> usize {
        self.lock().len()
    }

    /// Returns the open requests with the names of their calls.
    pub fn list(&self) -> Vec<(RequestId, &'static str)> {
        self.lock().iter().map(|(&id, &call)| (id, call)).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestId, &'static str>> {
        self.requests.lock().expect("no thread panics while holding the lock")
    }
}

/// The guard of one open request.
#[derive(Debug)]
pub struct OpenRequest {
    list: OpenRequests,
    id: RequestId,
}

impl OpenRequest {
    /// Keeps the request listed until the response body is dropped.
    pub fn hold_until_end(self, body: Body) -> Body {
        GuardedBody { body, _open: self }.boxed()
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.list.lock().remove(&self.id);
    }
}

struct GuardedBody {
    body: Body,
    _open: OpenRequest,
}

impl http_body::Body for GuardedBody {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
