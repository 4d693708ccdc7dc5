//! The platform's metadata store, in memory.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Request, response};

/// Items in one page of a range.
const PAGE_SIZE: usize = 500;

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Key, revision, and the value unless the item was removed.
    history: Vec<(String, u64, Option<String>)>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves the store at this address.
    pub fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let _ =
                        Connection::new(stream).and_then(|connection| store.answer_all(connection));
                });
            }
        });
        Ok(())
    }

    /// Writes a text, as the operator and the servers do.
    pub fn put(&self, key: &str, text: &str) {
        self.change(key, Some(base64(text.as_bytes())));
    }

    /// Changes an item, and returns the revision of the change.
    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state.items.insert(key.to_owned(), (revision, value.clone())),
            None => state.items.remove(key),
        };
        state.history.push((key.to_owned(), revision, value));
        changed.notify_all();
        revision
    }

    fn answer_all(&self, mut connection: Connection) -> io::Result<()> {
        while let Some(request) = connection.read_request()? {
            let (status, body) = self.answer(&request);
            let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
            connection.write(&response(status, headers, body.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> (&'static str, String) {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/api/kv-range") => ("200 OK", self.range(request)),
            ("GET", "/api/kv-watch") => ("200 OK", self.watch(request)),
            ("POST", "/api/kv-txn") => ("200 OK", self.transact(&request.body)),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> String {
        let (prefix, after) = (request.parameter("PathPrefix"), request.parameter("SinceRev"));
        let state = self.shared.0.lock().unwrap();
        let mut found = state.items.iter().filter(|(key, _)| {
            key.starts_with(prefix) && (after.is_empty() || key.as_str() > after)
        });
        let page: Vec<String> = found
            .by_ref()
            .take(PAGE_SIZE)
            .map(|(key, (revision, value))| item(key, *revision, Some(value)))
            .collect();
        let more = found.next().is_some();
        format!(r#"{{"Items":[{}],"more":{more},"at":{}}}"#, page.join(","), state.revision)
    }

    fn watch(&self, request: &Request) -> String {
        let prefix = request.parameter("PathPrefix");
        let since: u64 = request.parameter("SinceRev").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.parameter("WaitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .history
                .iter()
                .filter(|(key, revision, _)| *revision > since && key.starts_with(prefix))
                .map(|(key, revision, value)| item(key, *revision, value.as_deref()))
                .collect();
            let remaining = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || remaining.is_zero() {
                return format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), state.revision);
            }
            state = changed.wait_timeout(state, remaining).unwrap().0;
        }
    }

    /// Carries out a transaction of the system, which has no condition. Keys and values need no escapes in JSON.
    fn transact(&self, body: &[u8]) -> String {
        let text = String::from_utf8_lossy(body);
        let (puts, removed) = text.split_once(r#""Remove""#).unwrap_or((&text, ""));
        for put in puts.split(r#"{"Key":""#).skip(1) {
            let key = put.split('"').next().unwrap_or_default();
            let value = put.split(r#""Value":""#).nth(1).and_then(|rest| rest.split('"').next());
            self.change(key, Some(value.unwrap_or_default().to_owned()));
        }
        for key in removed.split('"').skip(1).step_by(2) {
            self.change(key, None);
        }
        format!(r#"{{"Revision":{}}}"#, self.shared.0.lock().unwrap().revision)
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => format!(
            r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"made":{revision},"lease":0}}"#
        ),
        None => format!(r#"{{"Key":"{key}","Revision":{revision},"gone":true}}"#),
    }
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 4];
        bits[1..=group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes(bits);
        for digit in 0..4 {
            let value = (bits >> (18 - 6 * digit)) & 63;
            let is_padding = digit > group.len();
            text.push(if is_padding { '=' } else { DIGITS[value as usize].into() });
        }
    }
    text
}
