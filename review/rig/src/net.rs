//! Blocking HTTP/1.1 for stand-ins: a server with one thread a connection, a client, and a proxy.

use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(known, _)| known.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; `None` at the last one.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> std::io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|coding| coding.contains("chunked")) {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend(chunk);
        }
    } else if let Some(size) = message.header("content-length").and_then(|text| text.parse().ok()) {
        message.body = vec![0; size];
        reader.read_exact(&mut message.body)?;
    }
    Ok(())
}

/// The connection that a handler answers on.
pub struct Caller {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Caller {
    /// Returns whether the caller has closed the connection.
    pub fn has_left(&mut self) -> bool {
        if !self.reader.buffer().is_empty() {
            return false;
        }
        let _ = self.stream.set_read_timeout(Some(Duration::from_millis(1)));
        let mut byte = [0];
        let left = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(e) => !matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut),
        };
        let _ = self.stream.set_read_timeout(None);
        left
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Answers with a body of known length. Returns whether the connection goes on.
    pub fn answer(&mut self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> bool {
        let mut text = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

type Handler = dyn Fn(Message, &mut Caller) -> bool + Send + Sync;

/// A server that can end as a process does.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    /// Serves on a free port; the handler returns whether the connection goes on.
    pub fn start(handler: Arc<Handler>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Self { address, ended: Arc::default(), open: Arc::default() };
        let own = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if own.ended.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                let Ok(known) = stream.try_clone() else { continue };
                own.open.lock().unwrap().push(known);
                let (handler, own) = (handler.clone(), own.clone());
                thread::spawn(move || {
                    let Ok(reading) = stream.try_clone() else { return };
                    let mut caller = Caller { stream, reader: BufReader::new(reading) };
                    while let Ok(Some(mut request)) = read_head(&mut caller.reader) {
                        if own.ended.load(Ordering::SeqCst)
                            || read_body(&mut caller.reader, &mut request).is_err()
                            || !handler(request, &mut caller)
                        {
                            break;
                        }
                    }
                    let _ = caller.stream.shutdown(Shutdown::Both);
                });
            }
        });
        server
    }

    /// Ends: the port closes, and so do all connections.
    pub fn end(&self) {
        if self.ended.swap(true, Ordering::SeqCst) {
            return;
        }
        let _ = TcpStream::connect(self.address);
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// How a client's request ended.
#[derive(Debug)]
pub enum Answer {
    Whole(Message),
    /// The connection failed or ended too soon.
    Broken(String),
}

impl Answer {
    pub fn text(&self) -> String {
        match self {
            Self::Whole(message) => message.status().to_string(),
            Self::Broken(reason) => format!("broken ({reason})"),
        }
    }
}

/// Opens a connection and sends a request.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    limit: Duration,
) -> std::io::Result<BufReader<TcpStream>> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        text.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(BufReader::new(stream))
}

/// Sends a request on a new connection and reads the whole answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(String, String)],
    body: &[u8],
    limit: Duration,
) -> Answer {
    let read = || -> std::io::Result<Option<Message>> {
        let mut reader = send(address, method, target, headers, body, limit)?;
        let Some(mut answer) = read_head(&mut reader)? else { return Ok(None) };
        read_body(&mut reader, &mut answer)?;
        Ok(Some(answer))
    };
    match read() {
        Ok(Some(answer)) => Answer::Whole(answer),
        Ok(None) => Answer::Broken("closed".to_owned()),
        Err(e) => Answer::Broken(e.kind().to_string()),
    }
}

const PASS: u8 = 0;
const HOLD: u8 = 1;

/// A link to an address that can be cut as a partition does: nothing passes and nobody is told.
#[derive(Clone)]
pub struct Link {
    pub address: SocketAddr,
    mode: Arc<AtomicU8>,
}

impl Link {
    pub fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let link = Self { address, mode: Arc::new(AtomicU8::new(PASS)) };
        let own = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                let own = own.clone();
                thread::spawn(move || {
                    own.wait();
                    let Ok(other) = TcpStream::connect(to) else { return };
                    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                    let back = (other.try_clone().unwrap(), stream.try_clone().unwrap());
                    let second = own.clone();
                    thread::spawn(move || second.copy(back.0, back.1));
                    own.copy(stream, other);
                });
            }
        });
        link
    }

    pub fn cut(&self) {
        self.mode.store(HOLD, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        self.mode.store(PASS, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.mode.load(Ordering::SeqCst) == HOLD {
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; 16384];
        loop {
            let read = from.read(&mut buffer);
            // What arrives during a cut waits, as the sender's kernel would send it again.
            self.wait();
            match read {
                Ok(0) | Err(_) => break,
                Ok(size) => {
                    if to.write_all(&buffer[..size]).is_err() {
                        break;
                    }
                }
            }
        }
        let _ = to.shutdown(Shutdown::Write);
        let _ = from.shutdown(Shutdown::Read);
    }
}

/// Waits until a condition holds. Returns whether it did in time.
pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let ends = Instant::now() + limit;
    while Instant::now() < ends {
        if holds() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    holds()
}
