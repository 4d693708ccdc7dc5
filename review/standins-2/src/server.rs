//! A server of the platform, as a process of its own: a model server that streams, or a plain one.
//!
//! It tells what it sees on standard output, one line each: `ARRIVED`, `RUNS`, `DONE`, `HALF` and `CRASHING`, with the
//! request's id. The process that started it kills it after `HALF` and `CRASHING`, which is the crash.

use std::collections::HashMap;
use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Request, respond};

/// Requests that it works on at once, and those that it queues; it turns away what is beyond.
const SLOTS: u32 = 16;
const QUEUE: u32 = 32;

/// Events of a long stream, and milliseconds between two.
const LONG: (u64, u64) = (120, 100);

/// What the server does, from its command line.
#[derive(Debug, Clone, Default)]
pub struct Options {
    values: HashMap<String, String>,
}

impl Options {
    /// Reads `name=value` arguments.
    pub fn parse(arguments: &[String]) -> Options {
        let pairs = arguments.iter().filter_map(|argument| argument.split_once('='));
        Options { values: pairs.map(|(n, v)| (n.to_owned(), v.to_owned())).collect() }
    }

    fn text(&self, name: &str) -> Option<&str> {
        self.values.get(name).map(String::as_str)
    }

    fn number(&self, name: &str, default: u64) -> u64 {
        self.text(name).and_then(|value| value.parse().ok()).unwrap_or(default)
    }
}

struct Server {
    id: String,
    born: u64,
    options: Options,
    running: AtomicU32,
    /// Whether the next answer breaks off in its middle.
    breaks_off: AtomicBool,
    /// Whether it says in its answers that it leaves.
    leaves: AtomicBool,
    /// Whether the next answer tells a time in `Keep-Alive` that is spoiled.
    spoils: AtomicBool,
    tickets: Mutex<HashMap<String, u64>>,
}

/// The body of every plain answer.
pub fn plain_body(target: &str) -> String {
    format!("{{\"record\":\"{target}\",\"lines\":\"{}\",\"end\":true}}", "0123456789".repeat(80))
}

/// Serves until its standard input ends.
pub fn run(id: &str, address: SocketAddr, born: u64, options: Options) -> io::Result<()> {
    let listener = TcpListener::bind(address)?;
    let server = Arc::new(Server {
        id: id.to_owned(),
        born,
        options,
        running: AtomicU32::new(0),
        breaks_off: AtomicBool::new(false),
        leaves: AtomicBool::new(false),
        spoils: AtomicBool::new(false),
        tickets: Mutex::default(),
    });
    say("READY", "-", "");
    let served = server.clone();
    http::serve(listener, move |request, stream| served.answer(request, stream));
    for line in io::stdin().lock().lines() {
        match line?.trim() {
            "half" => server.breaks_off.store(true, Ordering::SeqCst),
            "spoil" => server.spoils.store(true, Ordering::SeqCst),
            "leave" => server.leaves.store(true, Ordering::SeqCst),
            _ => {}
        }
    }
    Ok(())
}

fn say(what: &str, request: &str, more: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{what} {request} {more}");
    let _ = out.flush();
}

impl Server {
    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if request.header("expect-instance").is_some_and(|expected| expected != self.id) {
            let back = request
                .header("request-id")
                .map(|id| format!("Request-Id: {id}\r\n"))
                .unwrap_or_default();
            respond(stream, 421, &format!("Instance-Id: {}\r\n{back}", self.id), b"")?;
            return Ok(true);
        }
        match request.path() {
            "/healthz" => {
                respond(stream, 200, &format!("Instance-Id: {}\r\n", self.id), b"")?;
                return Ok(true);
            }
            "/api/report" => {
                respond(
                    stream,
                    200,
                    "Content-Type: application/json\r\n",
                    self.report().as_bytes(),
                )?;
                return Ok(true);
            }
            "/api/order" => {
                respond(
                    stream,
                    200,
                    "Content-Type: application/json\r\n",
                    self.order(request).as_bytes(),
                )?;
                return Ok(true);
            }
            _ => {}
        }
        let Some(id) = request.header("request-id").map(str::to_owned) else {
            respond(stream, 400, "Not-Run: 1\r\n", b"")?;
            return Ok(true);
        };
        say(
            "ARRIVED",
            &id,
            &format!(
                "vm={} key={} tenant={} left={}",
                request.header("x-vm").unwrap_or("-"),
                request.header("key").unwrap_or("-"),
                request.header("tenant").unwrap_or("-"),
                request.header("deadline-ms").unwrap_or("-"),
            ),
        );
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS + QUEUE {
            self.running.fetch_sub(1, Ordering::SeqCst);
            respond(stream, 503, &format!("Not-Run: 1\r\n{}", self.signature(&id)), b"")?;
            return Ok(true);
        }
        say("RUNS", &id, "");
        let result = self.work(request, &id, stream);
        self.running.fetch_sub(1, Ordering::SeqCst);
        say("DONE", &id, "");
        result
    }

    /// The headers of an answer of its own.
    fn signature(&self, id: &str) -> String {
        let keep =
            if self.spoils.swap(false, Ordering::SeqCst) { "9223372036854775807" } else { "15" };
        let keep = format!("Keep-Alive: timeout={keep}\r\n");
        let leaves = if self.leaves.load(Ordering::SeqCst) {
            "Server-Leaving: 1\r\nConnection: close\r\n"
        } else {
            ""
        };
        format!("Request-Id: {id}\r\nServer-Stamp: {}.{id}\r\n{keep}{leaves}", self.id)
    }

    fn work(&self, request: &Request, id: &str, stream: &mut TcpStream) -> io::Result<bool> {
        if self.crashes(request) {
            say("CRASHING", id, "");
            thread::sleep(Duration::from_secs(600));
        }
        if self.options.text("kind") == Some("engine") {
            return self.stream_events(request, id, stream);
        }
        thread::sleep(Duration::from_millis(self.options.number("work", 60)));
        let body = plain_body(&request.target);
        if self.options.text("frame") != Some("none") {
            respond(stream, 200, &self.signature(id), body.as_bytes())?;
            return Ok(true);
        }
        // Neither a length nor chunks: the answer ends with its channel.
        let (first, rest) = body.as_bytes().split_at(body.len() / 2);
        let head = format!("HTTP/1.1 200 OK\r\n{}Connection: close\r\n\r\n", self.signature(id));
        stream.write_all(&[head.as_bytes(), first].concat())?;
        if self.breaks_off.swap(false, Ordering::SeqCst) {
            say("HALF", id, "");
            thread::sleep(Duration::from_secs(600));
        }
        thread::sleep(Duration::from_millis(self.options.number("pause", 50)));
        stream.write_all(rest)?;
        Ok(false)
    }

    /// Whether the request crashes the servers that begin to run it, by its body or a shared part of its prompt.
    fn crashes(&self, request: &Request) -> bool {
        let deadly =
            self.options.text("deadly").is_some_and(|text| request.body == text.as_bytes());
        let shared = request
            .header("prompt-prefix")
            .and_then(|parts| parts.rsplit_once(','))
            .map_or("", |(s, _)| s);
        let bad = self.options.text("bad").is_some_and(|bad| {
            shared
                .split(',')
                .any(|part| part.split_once(':').is_some_and(|(id, _)| id.trim() == bad))
        });
        deadly || bad
    }

    fn stream_events(
        &self,
        request: &Request,
        id: &str,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let last: u64 =
            request.header("last-event-id").and_then(|n| n.trim().parse().ok()).unwrap_or(0);
        thread::sleep(Duration::from_millis(self.options.number("first", 60)));
        // Without chunks the stream ends with its channel.
        let is_chunked = self.options.text("frame") != Some("none");
        let framing = if is_chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\n{framing}\r\n\r\n",
            self.signature(id)
        );
        stream.write_all(head.as_bytes())?;
        let is_long = request.path().starts_with("/report/");
        let (events, gap) = if is_long {
            LONG
        } else {
            (self.options.number("events", 10), self.options.number("gap", 20))
        };
        for event in last + 1..=events {
            let text = format!("id: {event}\ndata: piece {event} of {}\n\n", request.path());
            let text = if is_chunked { format!("{:x}\r\n{text}\r\n", text.len()) } else { text };
            stream.write_all(text.as_bytes())?;
            thread::sleep(Duration::from_millis(gap));
        }
        if is_chunked {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(is_chunked)
    }

    fn report(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        let used: u64 = self.tickets.lock().unwrap().values().sum();
        format!(
            "{{\"Stage\":\"dual\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Utilization\":false,\
             \"Seq\":0,\"Waiting\":0,\"Running\":{running},\"KvUsed\":{used},\"KvTotal\":232000,\"Handles\":0,\"born\":{}}}",
            self.born
        )
    }

    fn order(&self, request: &Request) -> String {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let order = crate::json::parse(&text);
        let field = |name: &str| {
            order.as_ref().and_then(|o| o.get(name)).and_then(|v| v.text()).map(str::to_owned)
        };
        let mut tickets = self.tickets.lock().unwrap();
        match (field("op").as_deref(), field("Id")) {
            (Some("reserve"), Some(id)) => {
                tickets.insert(id, 0);
            }
            (_, Some(id)) => {
                tickets.remove(&id);
            }
            _ => {}
        }
        "{\"free\":200000}".to_owned()
    }
}
