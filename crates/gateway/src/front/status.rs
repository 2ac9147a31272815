//! The HTTP server for readiness, metrics and the state dump.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Uri;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use log::debug;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accept::accept;

/// How long a connection may be idle between requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A minimal HTTP server that responds by URI.
#[derive(Debug)]
pub struct StatusServer {
    socket: TcpListener,
    tasks: TaskTracker,
}

impl StatusServer {
    /// Creates a server on a bound socket.
    pub fn new(socket: TcpListener) -> Self {
        Self { socket, tasks: TaskTracker::new() }
    }

    /// Responds to each URI with `handler` until `stopping` is cancelled, then joins the
    /// connections.
    pub async fn run<H, F>(self, handler: H, stopping: CancellationToken)
    where
        H: Fn(Uri) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = (StatusCode, Vec<u8>)> + Send + 'static,
    {
        while let Some(stream) = accept(&self.socket, &stopping, "status_accept_failed").await {
            self.serve(stream, handler.clone(), stopping.clone());
        }
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn serve<H, F>(&self, stream: TcpStream, handler: H, stopping: CancellationToken)
    where
        H: Fn(Uri) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = (StatusCode, Vec<u8>)> + Send + 'static,
    {
        let service = service_fn(move |request: Request<Incoming>| {
            let handled = handler(request.uri().clone());
            async move {
                let (status, text) = handled.await;
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                Ok::<_, Infallible>(response)
            }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        self.tasks.spawn(async move {
            tokio::select! {
                ended = connection => {
                    if let Err(e) = ended {
                        debug!("event=status_connection_ended reason={:?}", e.to_string());
                    }
                }
                () = stopping.cancelled() => {}
            }
        });
    }
}
