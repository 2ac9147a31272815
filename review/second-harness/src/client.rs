//! A client: one request on a connection of its own.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http::Message;
use crate::http::read_body;
use crate::http::read_head;

/// What a client saw.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// The status; zero if there was none.
    pub status: u16,
    /// The answer, as far as it came.
    pub answer: Message,
    /// Whether the answer ended as whole.
    pub is_whole: bool,
    /// The error of the connection, if there was one.
    pub error: String,
}

/// Returns the bytes of a GET request.
pub fn get(host: &str, path: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    request("GET", host, path, headers, b"")
}

/// Returns the bytes of a request.
pub fn request(
    method: &str,
    host: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request and reads its answer.
pub fn call(address: SocketAddr, request: &[u8], wait: Duration) -> Seen {
    let mut seen = Seen::default();
    if let Err(e) = exchange(address, request, wait, &mut seen) {
        seen.error = e.to_string();
    }
    seen.is_whole = seen.error.is_empty() && seen.answer.is_whole;
    seen
}

fn exchange(
    address: SocketAddr,
    request: &[u8],
    wait: Duration,
    seen: &mut Seen,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, wait)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(wait))?;
    stream.set_write_timeout(Some(wait))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    seen.answer = head.ok_or_else(|| std::io::Error::from(std::io::ErrorKind::UnexpectedEof))?;
    seen.status = seen.answer.status();
    read_body(&mut reader, &mut seen.answer, true)
}
