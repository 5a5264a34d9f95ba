//! Minimal HTTP/1.1 over blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let code = self.first.split_whitespace().nth(1);
        code.and_then(|c| c.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.first.split_whitespace().next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.first.split_whitespace().nth(1).unwrap_or("")
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

fn find(buf: &[u8], pattern: &[u8]) -> Option<usize> {
    buf.windows(pattern.len()).position(|w| w == pattern)
}

fn fill(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let n = stream.read(&mut chunk)?;
    buf.extend_from_slice(&chunk[..n]);
    Ok(n)
}

/// Reads a head; `None` if the connection was closed before its first byte.
pub fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(end) = find(buf, b"\r\n\r\n") {
            break end;
        }
        if fill(stream, buf)? == 0 {
            return match buf.is_empty() {
                true => Ok(None),
                false => Err(invalid("the connection ended within a head")),
            };
        }
    };
    let text = String::from_utf8_lossy(&buf[..end]).into_owned();
    buf.drain(..end + 4);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").to_owned();
    let headers = lines.filter_map(|l| l.split_once(':'));
    let headers = headers.map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()));
    Ok(Some(Message {
        first,
        headers: headers.collect(),
        body: Vec::new(),
    }))
}

/// Reads the body that belongs to a head. A response without a length ends with its connection.
pub fn read_body(stream: &mut TcpStream, buf: &mut Vec<u8>, head: &mut Message) -> io::Result<()> {
    let chunked = head.header("transfer-encoding").is_some();
    if chunked {
        loop {
            let end = loop {
                if let Some(end) = find(buf, b"\r\n") {
                    break end;
                }
                if fill(stream, buf)? == 0 {
                    return Err(invalid("cut off within a chunked body"));
                }
            };
            let line = String::from_utf8_lossy(&buf[..end]).into_owned();
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| invalid("no chunk size"))?;
            buf.drain(..end + 2);
            while buf.len() < size + 2 {
                if fill(stream, buf)? == 0 {
                    return Err(invalid("cut off within a chunk"));
                }
            }
            head.body.extend_from_slice(&buf[..size]);
            buf.drain(..size + 2);
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = head
        .header("content-length")
        .and_then(|v| v.parse::<usize>().ok());
    let is_response = head.first.starts_with("HTTP/");
    let Some(length) = length else {
        if is_response && head.status() != 204 {
            while fill(stream, buf)? > 0 {}
            head.body.append(buf);
        }
        return Ok(());
    };
    while buf.len() < length {
        if fill(stream, buf)? == 0 {
            return Err(invalid("cut off within the body"));
        }
    }
    head.body = buf.drain(..length).collect();
    Ok(())
}

pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Sends a request on a new connection and returns the complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let mut stream = connect(address, limit.min(Duration::from_secs(1)))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(n, _)| n.eq_ignore_ascii_case("host")) {
        text.push_str("Host: control.example\r\n");
    }
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" || !body.is_empty() {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("Connection: close\r\n\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    let left = until.saturating_duration_since(Instant::now());
    stream.set_write_timeout(Some(left.max(Duration::from_millis(1))))?;
    stream.write_all(&bytes)?;
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut buf = Vec::new();
    let head = read_head(&mut stream, &mut buf)?;
    let mut head = head.ok_or_else(|| invalid("closed without a response"))?;
    read_body(&mut stream, &mut buf, &mut head)?;
    Ok(head)
}
