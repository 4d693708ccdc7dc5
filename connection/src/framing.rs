//! Checks the head of a response before its body is read: the status, and what determines the end of the body.
//!
//! The HTTP client reads a body with an unsupported transfer coding to the end of the connection, as it does
//! without any length. In the response of a faulty upstream that is a damaged `Transfer-Encoding: chunked`, and the body
//! would include the chunk sizes. If the name of the header is damaged, or an empty line ends the head too early, the
//! response has no length at all, and its body begins with what was meant to delimit it.

use std::fmt;

use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{HeaderMap, Response, StatusCode, Version};

/// Why the limits of a response body are not certain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The status is not one of a final response.
    Status(StatusCode),
    /// A transfer coding other than `chunked`, or several.
    TransferEncoding(String),
    /// Both a length and a transfer coding.
    Ambiguous,
    /// A length, though responses with this status have no body.
    NoBody(StatusCode),
    /// A body without a length that begins with a chunk size or with headers.
    InBody,
    /// More bytes than the length states, which begin no other response.
    Surplus,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Status(status) => write!(f, "status {} of a final response", status.as_u16()),
            Fault::TransferEncoding(coding) => write!(f, "unknown transfer coding {coding:?}"),
            Fault::Ambiguous => write!(f, "both a content length and a transfer coding"),
            Fault::NoBody(status) => write!(f, "a body length with status {}", status.as_u16()),
            Fault::InBody => write!(f, "the body begins with a chunk size or with headers"),
            Fault::Surplus => write!(f, "the body is longer than the content length"),
        }
    }
}

impl std::error::Error for Fault {}

/// Checks the head of a response.
pub fn check<B>(response: &Response<B>) -> Result<(), Fault> {
    let (status, headers) = (response.status(), response.headers());
    if !(200..600).contains(&status.as_u16()) {
        return Err(Fault::Status(status));
    }
    let is_chunked = is_chunked(headers)?;
    let length = headers.get(CONTENT_LENGTH);
    if is_chunked && length.is_some() {
        return Err(Fault::Ambiguous);
    }
    let has_body = is_chunked || length.is_some_and(|length| length != "0");
    if has_body && has_no_body(status) {
        return Err(Fault::NoBody(status));
    }
    Ok(())
}

/// Whether responses with this status end with their head.
fn has_no_body(status: StatusCode) -> bool {
    [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&status)
}

/// What determines the end of a response body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// By a number of bytes.
    Length,
    /// By chunks, or by the status of a response without a body.
    Stated,
    /// By the end of the connection, which the response announces.
    AnnouncedClose,
    /// By the end of the connection, without an announcement.
    Close,
}

impl BodyEnd {
    /// The end of the body of a response with this head.
    pub fn of(head: &Parts) -> BodyEnd {
        let headers = &head.headers;
        if has_no_body(head.status) || headers.contains_key(TRANSFER_ENCODING) {
            BodyEnd::Stated
        } else if headers.contains_key(CONTENT_LENGTH) {
            BodyEnd::Length
        } else if announces_close(head.version, headers) {
            BodyEnd::AnnouncedClose
        } else {
            BodyEnd::Close
        }
    }

    /// Whether the body ends with its connection.
    pub fn is_close(self) -> bool {
        matches!(self, BodyEnd::AnnouncedClose | BodyEnd::Close)
    }

    /// Checks the beginning of the body, if nothing states where it ends.
    pub fn check(self, body: &[u8]) -> Result<(), Fault> {
        match self {
            BodyEnd::Length | BodyEnd::Stated => Ok(()),
            BodyEnd::AnnouncedClose => check_body(body, true),
            BodyEnd::Close => check_body(body, false),
        }
    }
}

/// Whether the body is chunked. No other transfer coding is ever requested.
fn is_chunked(headers: &HeaderMap) -> Result<bool, Fault> {
    let codings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    match codings.as_slice() {
        [] => Ok(false),
        [coding] if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(true),
        codings => {
            let texts = codings.iter().map(|coding| String::from_utf8_lossy(coding.as_bytes()));
            Err(Fault::TransferEncoding(texts.collect::<Vec<_>>().join(", ")))
        }
    }
}

/// Checks the beginning of a body that ends with its connection. If the response does not announce that it closes the
/// connection, a line with a chunk size is enough; otherwise a whole chunk is needed, as a body may begin with a number.
fn check_body(body: &[u8], announces_close: bool) -> Result<(), Fault> {
    let is_chunk = match Chunk::parse(body) {
        Some(chunk) => !announces_close || chunk.is_whole,
        None => false,
    };
    if is_chunk || begins_with_length(body) { Err(Fault::InBody) } else { Ok(()) }
}

/// Whether the response announces that its connection ends.
fn announces_close(version: Version, headers: &HeaderMap) -> bool {
    let options = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let mut options = options.flat_map(|value| value.split(','));
    version != Version::HTTP_11 || options.any(|option| option.trim().eq_ignore_ascii_case("close"))
}

/// A chunk of the chunked transfer coding at the beginning of a body.
struct Chunk {
    /// Whether the data has the stated size and ends as it must.
    is_whole: bool,
}

impl Chunk {
    fn parse(body: &[u8]) -> Option<Chunk> {
        let (line, data) = split_line(body)?;
        let size = line.split(|byte| *byte == b';').next().unwrap_or_default().trim_ascii();
        let is_hex = !size.is_empty() && size.iter().all(u8::is_ascii_hexdigit);
        let size = usize::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok();
        let ends = |size: usize| data.get(size..).is_some_and(|rest| rest.starts_with(b"\r\n"));
        is_hex.then(|| Chunk { is_whole: size.is_some_and(ends) })
    }
}

/// Whether a body begins with headers of which one would delimit it.
fn begins_with_length(mut body: &[u8]) -> bool {
    while let Some((line, rest)) = split_line(body) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return false };
        let name = &line[..colon];
        if [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|n| name.eq_ignore_ascii_case(n.as_ref()))
        {
            return true;
        }
        if HeaderName::from_bytes(name).is_err() {
            return false;
        }
        body = rest;
    }
    false
}

/// The first line without its end, and what follows it. Lines of a head end in CR LF.
fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let end = bytes.windows(2).position(|pair| pair == b"\r\n")?;
    Some((&bytes[..end], &bytes[end + 2..]))
}
