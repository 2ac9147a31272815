//! Just enough HTTP/1.1 for the stand-ins: whole requests, and answers with a length or in chunks.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;

/// A head: the words of its first line, and its headers with names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub words: Vec<String>,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.words.get(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|value| value.to_ascii_lowercase().contains("chunked"))
    }

    fn length(&self) -> usize {
        self.header("content-length").and_then(|value| value.trim().parse().ok()).unwrap_or(0)
    }
}

/// A request with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn method(&self) -> &str {
        self.head.words.first().map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.head.words.get(1).map_or("", String::as_str)
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns a field of the query; these stand-ins get no encoded characters but slashes.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut fields = query.split('&').filter_map(|field| field.split_once('='));
        let value = fields.find(|(known, _)| *known == name)?.1;
        Some(value.replace("%2F", "/").replace("%2f", "/"))
    }
}

/// Reads a head; `None` if the connection ended before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let words = line.trim_end().splitn(3, ' ').map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head { words, headers }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk; `None` at the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
    let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
    let mut data = vec![0; size + 2];
    reader.read_exact(&mut data)?;
    data.truncate(size);
    Ok((size > 0).then_some(data))
}

/// Reads a body by its head.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        while let Some(data) = read_chunk(reader)? {
            body.extend(data);
        }
    } else {
        body.resize(head.length(), 0);
        reader.read_exact(&mut body)?;
    }
    Ok(body)
}

/// Reads a request; `None` if the connection ended in order before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(head) = read_head(reader)? else { return Ok(None) };
    let body = read_body(reader, &head)?;
    Ok(Some(Request { head, body }))
}

/// Writes an answer with a length.
pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        404 => "Not Found",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Returns whether the peer has closed or reset the connection. Reads nothing.
pub fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0];
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let seen = stream.peek(&mut byte);
    let _ = stream.set_nonblocking(false);
    match seen {
        Ok(0) => true,
        Ok(_) => false,
        Err(e) => e.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Connects with a time limit.
pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request and returns the status of the answer, for calls without a stream.
pub fn call(address: SocketAddr, text: &str, limit: Duration) -> io::Result<(Head, Vec<u8>)> {
    let mut stream = connect(address, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok((head, body))
}

/// Binds a free port of the loopback network.
pub fn listen(ip: [u8; 4]) -> io::Result<TcpListener> {
    TcpListener::bind(SocketAddr::from((ip, 0)))
}
