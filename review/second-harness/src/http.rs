//! HTTP/1.1 messages over blocking sockets: as much as the stand-ins and the clients need.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::net::TcpStream;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    /// The headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing says: by its length, by its last chunk, or, without
    /// either, by an orderly end of the connection.
    pub is_whole: bool,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; zero if it has none.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the path of a request, without its query.
    pub fn path(&self) -> &str {
        let target = self.first.get(1).map_or("", String::as_str);
        target.split('?').next().unwrap_or("")
    }

    /// Returns a decoded parameter of the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let target = self.first.get(1)?;
        let (_, query) = target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let (_, value) = pairs.into_iter().find(|(known, _)| *known == name)?;
        Some(percent_decoded(value))
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the connection.
///
/// # Errors
///
/// The error of the connection, also if it ends inside the head.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return match message.first.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.first.is_empty() {
            if !line.is_empty() {
                message.first = line.split(' ').map(str::to_owned).collect();
            }
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the headers announce. A response without length and chunks ends with its
/// connection. What was received before an error stays in `message.body`.
///
/// # Errors
///
/// The error of the connection, also if it ends before the body does.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.contains("chunked"));
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    if is_chunked {
        loop {
            let mut line = Vec::new();
            if reader.read_until(b'\n', &mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let text = String::from_utf8_lossy(&line);
            let size = usize::from_str_radix(text.trim(), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Some(length) = length {
        let mut limited = reader.take(length as u64);
        limited.read_to_end(&mut message.body)?;
        if message.body.len() < length {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    } else if is_response {
        reader.read_to_end(&mut message.body)?;
    }
    message.is_whole = true;
    Ok(())
}

/// Reads a whole message; `None` at the end of the connection.
///
/// # Errors
///
/// See [`read_head`] and [`read_body`].
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Returns the bytes of a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
