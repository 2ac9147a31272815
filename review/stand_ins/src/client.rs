//! A client: one streamed request on a connection of its own.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::engine::MODEL;
use crate::http;
use crate::record::Record;

/// The host of all routes, and the key of the only tenant.
pub const HOST: &str = "site.example";
pub const KEY: &str = "key-of-cafe";

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub route: String,
    pub events: u64,
    pub gap_ms: u64,
    pub deadline_ms: u64,
    /// The shared part of the prompt.
    pub part: u64,
    /// The client leaves this long after it was told to.
    pub leaves: Option<Leaving>,
}

/// When a client leaves.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// After so long without an event, once there was one.
    pub pause_ms: u64,
}

/// What became of a request.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub id: String,
    pub status: Option<u16>,
    pub last_event: u64,
    pub is_complete: bool,
    /// When the client closed its connection before the end, on the clock of the record.
    pub left_ms: Option<u64>,
    pub error: Option<String>,
    pub ended_ms: u64,
}

/// Sends a request from a thread of its own.
pub fn send(address: SocketAddr, ask: Ask, record: &Record) -> JoinHandle<Outcome> {
    let record = record.clone();
    thread::spawn(move || {
        let mut outcome = Outcome { id: ask.id.clone(), ..Outcome::default() };
        if let Err(e) = run(address, &ask, &mut outcome, &record) {
            outcome.error = Some(e.to_string());
        }
        outcome.ended_ms = record.ms();
        record.line(format!(
            "client of request {}: status {:?}, last event {}, complete {}, left {:?}, error {:?}",
            outcome.id, outcome.status, outcome.last_event, outcome.is_complete, outcome.left_ms,
            outcome.error,
        ));
        outcome
    })
}

fn run(address: SocketAddr, ask: &Ask, outcome: &mut Outcome, record: &Record) -> std::io::Result<()> {
    let mut stream = http::connect(address, Duration::from_secs(1))?;
    let body = "{}";
    let text = format!(
        "POST /{}/2f?events={}&gap={} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {}\r\n\
         x-model: {MODEL}\r\nx-token-count: 1460,80\r\n\
         x-prompt-prefix: {:08x}:1210,{:08x}:250\r\nx-deadline-ms: {}\r\n\
         authorization: Token {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        ask.route, ask.events, ask.gap_ms, ask.id, ask.part, 0x4000_0000 + number_of(&ask.id),
        ask.deadline_ms, body.len(),
    );
    record.line(format!("client sends request {} for /{}/ to {address}", ask.id, ask.route));
    stream.write_all(text.as_bytes())?;
    let ends = Instant::now() + Duration::from_millis(ask.deadline_ms);
    stream.set_read_timeout(Some(Duration::from_millis(ask.deadline_ms)))?;
    let closer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    outcome.status = Some(head.status());
    if head.status() != 200 {
        http::read_body(&mut reader, &head)?;
        return Ok(());
    }
    loop {
        let left = ends.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let pause = ask.leaves.map_or(left, |leaving| Duration::from_millis(leaving.pause_ms).min(left));
        closer.set_read_timeout(Some(pause))?;
        match http::read_chunk(&mut reader) {
            Ok(None) => {
                outcome.is_complete = true;
                return Ok(());
            }
            Ok(Some(data)) => {
                let text = String::from_utf8_lossy(&data).into_owned();
                let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
                outcome.last_event = ids.max().unwrap_or(outcome.last_event);
            }
            Err(e) if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {
                closer.shutdown(std::net::Shutdown::Both)?;
                outcome.left_ms = Some(record.ms());
                record.line(format!("client of request {} leaves after event {}", ask.id, outcome.last_event));
                return Ok(());
            }
            Err(e) => return Err(e),
        }
    }
}

/// A number that only this request has.
fn number_of(id: &str) -> u64 {
    id.bytes().fold(7u64, |hash, byte| (hash * 131 + u64::from(byte)) % 0x3fff_ffff)
}

/// Sends a plain request, and returns its status.
pub fn plain(address: SocketAddr, route: &str, id: &str, record: &Record) -> Option<u16> {
    let text = format!(
        "POST /{route}/2f HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 1500\r\n\
         authorization: Token {KEY}\r\ncontent-length: 2\r\n\r\n{{}}"
    );
    record.line(format!("client sends request {id} for /{route}/ to {address}"));
    let answer = http::call(address, &text, Duration::from_millis(1_500));
    let status = answer.as_ref().ok().map(|(head, _)| head.status());
    if status != Some(200) {
        record.line(format!("client of request {id}: {:?}", answer.map(|(head, _)| head.status())));
    }
    status
}
