//! The HTTP/1.1 that the stand-ins speak: requests as a server reads them, and responses as a consumer reads them.

use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Headers, with names in lower case.
type Headers = Vec<(String, String)>;

/// A request as a server has read it, with its whole body.
#[derive(Debug, Clone)]
pub struct Request {
    /// The method.
    pub method: String,
    /// The path with its query.
    pub target: String,
    /// The headers, with names in lower case.
    pub headers: Headers,
    /// The body.
    pub body: Vec<u8>,
}

impl Request {
    /// A header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// A field of the query.
    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .find_map(|field| field.split_once('=').filter(|(n, _)| *n == name))
            .map(|(_, v)| v)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(header, _)| header == name).map(|(_, value)| value.as_str())
}

fn cut(what: &str) -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, what.to_owned())
}

/// Reads the first line and the headers; none at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(String, Headers)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(cut("the head is cut"));
        }
        let field = line.trim_end();
        if field.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = field.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a chunked body to its last chunk. What was read before a cut stays in `body`.
fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(cut("no last chunk"));
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| cut("no size of a chunk"))?;
        let start = body.len();
        read_exactly(reader, body, size)?;
        let mut end = String::new();
        reader.read_line(&mut end)?;
        if size == 0 {
            return Ok(());
        }
        if body.len() != start + size {
            return Err(cut("a chunk is cut"));
        }
    }
}

fn read_exactly(reader: &mut impl Read, body: &mut Vec<u8>, size: usize) -> io::Result<()> {
    let read = reader.take(size as u64).read_to_end(body)?;
    if read < size { Err(cut("the body is cut")) } else { Ok(()) }
}

/// Reads a request; none at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some((first, headers)) = read_head(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let mut body = Vec::new();
    if find(&headers, "transfer-encoding").is_some() {
        read_chunks(reader, &mut body)?;
    } else if let Some(length) = find(&headers, "content-length") {
        read_exactly(reader, &mut body, length.parse().map_err(|_| cut("no length"))?)?;
    }
    Ok(Some(Request { method, target, headers, body }))
}

/// Serves each connection in a thread of its own. `answer` writes the response, and returns whether the connection goes on.
pub fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Request, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
{
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let Ok(read) = stream.try_clone() else { return };
                let mut reader = BufReader::new(read);
                while let Ok(Some(request)) = read_request(&mut reader) {
                    if !answer(&request, &mut stream).unwrap_or(false) {
                        return;
                    }
                }
            });
        }
    });
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut text =
        format!("HTTP/1.1 {status} S\r\n{headers}Content-Length: {}\r\n\r\n", body.len())
            .into_bytes();
    text.extend_from_slice(body);
    stream.write_all(&text)
}

/// What a consumer got for a request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The status; 0 if there was no head of a response.
    pub status: u16,
    /// The headers, with names in lower case.
    pub headers: Headers,
    /// The body, as far as it came.
    pub body: Vec<u8>,
    /// Whether the response was complete by the framing that its head states.
    pub is_complete: bool,
    /// Why it was not complete.
    pub why: String,
    /// Time from sending to the end.
    pub took: Duration,
}

impl Answer {
    /// A header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// One line for the record.
    pub fn describe(&self) -> String {
        let stamp = self.header("server-stamp").unwrap_or("none");
        let end =
            if self.is_complete { "complete".to_owned() } else { format!("cut: {}", self.why) };
        let text = String::from_utf8_lossy(&self.body);
        let text: String = text.chars().take(160).collect::<String>().escape_debug().to_string();
        format!(
            "{} stamp {stamp}, {} bytes, {end}, {} ms: {text}",
            self.status,
            self.body.len(),
            self.took.as_millis()
        )
    }
}

/// A consumer's channel to a VM.
pub struct Channel {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Channel {
    /// Opens a channel.
    pub fn open(address: SocketAddr) -> io::Result<Channel> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Channel { stream, reader })
    }

    /// Sends a request, given its head without the last empty line, and reads the response for at most `limit`.
    pub fn ask(&mut self, head: &str, body: &[u8], limit: Duration) -> Answer {
        let began = Instant::now();
        let mut answer = Answer::default();
        let result = self.exchange(head, body, limit, &mut answer);
        answer.took = began.elapsed();
        match result {
            Ok(()) => answer.is_complete = true,
            Err(e) => answer.why = e.to_string(),
        }
        answer
    }

    fn exchange(
        &mut self,
        head: &str,
        body: &[u8],
        limit: Duration,
        answer: &mut Answer,
    ) -> io::Result<()> {
        self.stream.set_read_timeout(Some(limit))?;
        let mut text = head.as_bytes().to_vec();
        if !body.is_empty() || head.starts_with("POST") {
            text.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
        }
        text.extend_from_slice(b"\r\n");
        text.extend_from_slice(body);
        self.stream.write_all(&text)?;
        let (first, headers) =
            read_head(&mut self.reader)?.ok_or_else(|| cut("the channel is closed"))?;
        answer.status = first.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        answer.headers = headers;
        if answer.header("transfer-encoding").is_some() {
            return read_chunks(&mut self.reader, &mut answer.body);
        }
        match answer.header("content-length").map(str::parse) {
            Some(Ok(length)) => read_exactly(&mut self.reader, &mut answer.body, length),
            Some(Err(_)) => Err(cut("no length")),
            None => self.reader.read_to_end(&mut answer.body).map(drop),
        }
    }
}

/// Asks once on a channel of its own.
pub fn ask(address: SocketAddr, head: &str, body: &[u8], limit: Duration) -> Answer {
    match Channel::open(address) {
        Ok(mut channel) => channel.ask(head, body, limit),
        Err(e) => Answer { why: format!("no channel: {e}"), ..Answer::default() },
    }
}
