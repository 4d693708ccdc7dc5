//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// A request, or the head of one.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or_default()
    }

    /// The value of a parameter of the query.
    pub fn parameter(&self, name: &str) -> &str {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(found, _)| *found == name).map(|(_, value)| value).next().unwrap_or_default()
    }
}

/// A response as a client received it.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body ended as its framing states.
    pub is_whole: bool,
}

impl Response {
    /// The value of a header, by its name in lower case.
    pub fn header(&self, name: &str) -> &str {
        find(&self.headers, name).unwrap_or_default()
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
}

/// A connection with a read buffer.
pub struct Connection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Connection> {
        stream.set_nodelay(true)?;
        Ok(Connection { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a request with its body; none if the peer has closed the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.read_head()? else { return Ok(None) };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (path, query) = (path.to_owned(), query.to_owned());
        let mut request = Request { method, path, query, headers, body: Vec::new() };
        let (body, _) = self.read_body(&request.headers, Some(0))?;
        request.body = body;
        Ok(Some(request))
    }

    /// Reads a response with its body, as far as it arrives.
    pub fn read_response(&mut self) -> io::Result<Response> {
        let head = self.read_head()?;
        let (first, headers) = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let (body, is_whole) = self.read_body(&headers, None)?;
        Ok(Response { status, headers, body, is_whole })
    }

    fn read_head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        let mut first = String::new();
        if self.reader.read_line(&mut first)? == 0 {
            return Ok(None);
        }
        let mut headers = Vec::new();
        loop {
            let mut line = String::new();
            if self.reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(Some((first.trim_end().to_owned(), headers)));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads a body, and whether it is whole. Without a framing it has the length `unframed`, or ends with the connection.
    fn read_body(
        &mut self,
        headers: &[(String, String)],
        unframed: Option<usize>,
    ) -> io::Result<(Vec<u8>, bool)> {
        if find(headers, "transfer-encoding").is_some_and(|coding| coding == "chunked") {
            return Ok(self.read_chunks());
        }
        let length = find(headers, "content-length").and_then(|length| length.parse().ok());
        let mut body = Vec::new();
        match length.or(unframed) {
            Some(length) => {
                let read = (&mut self.reader).take(length as u64).read_to_end(&mut body);
                let is_whole = read.is_ok() && body.len() == length;
                Ok((body, is_whole))
            }
            None => {
                let is_whole = self.reader.read_to_end(&mut body).is_ok();
                Ok((body, is_whole))
            }
        }
    }

    fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            if !self.reader.read_line(&mut line).is_ok_and(|read| read > 0) {
                return (body, false);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return (body, false) };
            let mut chunk = vec![0; length + 2];
            if self.reader.read_exact(&mut chunk).is_err() {
                return (body, false);
            }
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return (body, true);
            }
        }
    }
}

/// A response with a body of this length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

/// A chunk of the chunked transfer coding.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat()
}
