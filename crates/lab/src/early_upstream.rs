//! An upstream that gives up its answers early, or answers without a status.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// The size of an upload that the buffers of a connection to the upstream don't take.
pub const UPLOAD_BYTES: usize = 96 << 10;

/// As in a network: with the segments of the loopback device the sender's system takes whole uploads.
const SEGMENT_BYTES: u32 = 1_000;

const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// The only event of the answers.
const EVENT: &str = "id: 1\ndata: {\"id\":\"a\"}\n\n";

/// What the upstream does with a request that has a body.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum EarlyFault {
    /// Sends a part of an answer without length and resets the connection.
    Resets {
        /// The time between the two.
        after: Duration,
    },
    /// Sends a part of an answer without length, ends the connection in order and reads nothing.
    Ends,
    /// Reads the request and gives a whole answer with the status 000.
    AnswersWithoutStatus,
}

/// A running upstream. It ends when it is dropped.
#[derive(Debug)]
pub struct EarlyUpstream {
    address: SocketAddr,
    asked: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl EarlyUpstream {
    /// Starts an upstream.
    ///
    /// # Errors
    ///
    /// The I/O error if no port is free.
    pub fn start(fault: EarlyFault) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        SockRef::from(&socket).set_tcp_mss(SEGMENT_BYTES)?;
        socket.bind(([127, 0, 0, 1], 0).into())?;
        let listener = socket.listen(64)?;
        let address = listener.local_addr()?;
        let asked = Arc::<AtomicUsize>::default();
        let counter = asked.clone();
        let task = tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(answer(socket, fault, counter.clone()));
            }
        });
        Ok(Self { address, asked, task })
    }

    /// Returns its address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many requests with a body came.
    pub fn asked(&self) -> usize {
        self.asked.load(Ordering::Relaxed)
    }
}

impl Drop for EarlyUpstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn answer(mut socket: TcpStream, fault: EarlyFault, asked: Arc<AtomicUsize>) {
    let mut request = Vec::new();
    let mut piece = [0; 1_024];
    while !request.windows(4).any(|window| window == b"\r\n\r\n") {
        match socket.read(&mut piece).await {
            Ok(len) if len > 0 => request.extend_from_slice(&piece[..len]),
            _ => return,
        }
    }
    let head = String::from_utf8_lossy(&request).to_ascii_lowercase();
    if !head.starts_with("post ") {
        let report = r#"{"sequence":0,"busy":false,"models":[]}"#;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", report.len());
        let _ = socket.write_all(format!("{head}{report}").as_bytes()).await;
        return;
    }
    asked.fetch_add(1, Ordering::Relaxed);
    let id = head.lines().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap_or_default();
    let fields =
        format!("x-request-id: {id}\r\nx-server-stamp: s\r\ncontent-type: text/event-stream\r\n");
    let early = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{EVENT}");
    match fault {
        EarlyFault::Resets { after } => {
            let _ = socket.write_all(early.as_bytes()).await;
            tokio::time::sleep(after).await;
            let _ = socket.set_zero_linger();
        }
        EarlyFault::Ends => {
            let _ = socket.write_all(early.as_bytes()).await;
            let _ = socket.shutdown().await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
        EarlyFault::AnswersWithoutStatus => {
            let mut read_bytes = request.len();
            while read_bytes < UPLOAD_BYTES {
                match socket.read(&mut piece).await {
                    Ok(len) if len > 0 => read_bytes += len,
                    _ => break,
                }
            }
            let length = EVENT.len();
            let whole = format!("HTTP/1.1 000\r\n{fields}content-length: {length}\r\n\r\n{EVENT}");
            let _ = socket.write_all(whole.as_bytes()).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}
