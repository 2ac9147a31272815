//! The listener for connections from callers.
//!
//! ```text
//! bound --run--> accepting --drain--> closing --last connection ends--> ended
//! ```
//!
//! While the node drains, each response asks the caller to close its connection. In `closing`, idle
//! connections are closed and requests in progress end normally.
//!
//! A request that is read in `closing` is refused and not sent to any upstream. What has no response
//! at the end of the stop gets one that promises nothing.
//!
//! A stream whose caller reads too slowly ends with its connection: it may wait for the caller.
//!
//! A response that is cut short never ends in order: its last chunk is missing, or, for a caller
//! that knows no chunks, its connection is reset.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use http::HeaderValue;
use http::Request;
use http::Version;
use http::header;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use log::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::caller_io::CallerIo;
use crate::accept::accept;
use crate::forward::Gateway;
use crate::telemetry::Metrics;
use redwingrill_transport::enable_dead_peer_detection;

/// The smallest buffer size that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;

/// Serves callers on one listening socket.
#[derive(Clone)]
pub struct CallerListener {
    /// The request handler.
    pub gateway: Gateway,
    /// Cancelled once the node drains.
    pub draining: CancellationToken,
    /// Cancelled to accept no more connections and close idle ones.
    pub closing: CancellationToken,
    /// Cancelled to end the requests that have no answer yet with a failure.
    pub ending: CancellationToken,
    /// Cancelled to close all connections immediately.
    pub aborting: CancellationToken,
    /// Tracks the accept loop and the connection tasks.
    pub tasks: TaskTracker,
    /// The metrics of the node.
    pub metrics: Metrics,
}

impl CallerListener {
    /// Accepts connections until `closing` is cancelled.
    pub async fn run(self, socket: TcpListener) {
        while let Some(stream) = accept(&socket, &self.closing, "accept_failed").await {
            self.serve(stream);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let options = stream.set_nodelay(true).and_then(|()| enable_dead_peer_detection(&stream));
        if let Err(e) = options {
            debug!("event=socket_option_failed reason={:?}", e.to_string());
        }
        let limits = self.gateway.limits();
        let gateway = Arc::new(self.gateway.clone());
        let draining = self.draining.clone();
        let (closing, ending) = (self.closing.clone(), self.ending.clone());
        let aborted = CancellationToken::new();
        let aborting_stream = aborted.clone();
        let knows_chunks = Arc::new(AtomicBool::new(true));
        let caller_knows_chunks = knows_chunks.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let gateway = gateway.clone();
            let (draining, aborting_stream) = (draining.clone(), aborting_stream.clone());
            let (closing, ending) = (closing.clone(), ending.clone());
            knows_chunks.store(request.version() >= Version::HTTP_11, Ordering::Relaxed);
            // Boxed, because hyper keeps the space of the future for the lifetime of the connection.
            Box::pin(async move {
                let mut response = if closing.is_cancelled() {
                    gateway.refuse_draining(&request)
                } else {
                    let id = gateway.request_id(&request);
                    tokio::select! {
                        biased;
                        response = gateway.handle(request, &aborting_stream) => response,
                        () = ending.cancelled() => gateway.fail_unanswered(&id),
                    }
                };
                if draining.is_cancelled() {
                    let close = HeaderValue::from_static("close");
                    response.headers_mut().insert(header::CONNECTION, close);
                }
                Ok::<_, Infallible>(response)
            })
        });
        let mut connection = http1::Builder::new()
            .timer(TokioTimer::new())
            // This timeout also covers the idle time between two requests.
            .header_read_timeout(limits.idle_timeout + limits.header_timeout)
            .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(CallerIo::new(stream), service);
        let closing = self.closing.clone();
        let aborting = self.aborting.clone();
        let (tasks, metrics) = (self.tasks.clone(), self.metrics.clone());
        self.tasks.spawn(async move {
            metrics.open_connections(tasks.len());
            let mut is_closing = false;
            let is_cut_short = loop {
                tokio::select! {
                    ended = &mut connection => {
                        if let Err(e) = &ended {
                            debug!("event=connection_ended reason={:?}", e.to_string());
                        }
                        break ended.is_err();
                    }
                    () = closing.cancelled(), if !is_closing => {
                        is_closing = true;
                        Pin::new(&mut connection).graceful_shutdown();
                    }
                    () = aborting.cancelled() => break true,
                    () = aborted.cancelled() => break true,
                }
            };
            if is_cut_short && !caller_knows_chunks.load(Ordering::Relaxed) {
                reset_on_close(connection.into_parts().io.stream());
            }
            metrics.open_connections(tasks.len().saturating_sub(1));
        });
    }
}

/// Lets the close of a connection reset it.
fn reset_on_close(stream: &TcpStream) {
    if let Err(e) = stream.set_zero_linger() {
        debug!("event=socket_option_failed reason={:?}", e.to_string());
    }
}
