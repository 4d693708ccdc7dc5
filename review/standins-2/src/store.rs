//! The platform's metadata store, with the calls that a VM uses: ranges, watches and changes without a condition.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request, respond};
use crate::json::{self, Value, base64, quote};

/// Items in one page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
}

struct Event {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    era: u64,
    /// Whether it answers nothing.
    is_away: bool,
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Event>,
}

/// A copy of the store.
pub struct Copy {
    revision: u64,
    items: BTreeMap<String, Item>,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves at an address.
    pub fn serve(&self, address: SocketAddr) -> io::Result<()> {
        let listener = TcpListener::bind(address)?;
        let store = self.clone();
        http::serve(listener, move |request, stream| store.answer(request, stream));
        Ok(())
    }

    /// Writes a key.
    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(base64(value.as_bytes())));
    }

    /// Removes a key, if it is there.
    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    /// A copy of all items, with their revision.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { revision: state.revision, items: state.items.clone() }
    }

    /// Goes away for this long, and comes back from a copy. The operator then writes its newest state again.
    pub fn restore(&self, copy: Copy, away: Duration, again: Duration) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
        thread::sleep(away);
        let newest = {
            let mut state = self.state.0.lock().unwrap();
            let newest = state.items.get("op/config").map(|item| item.value.clone());
            state.era += 1;
            state.revision = copy.revision;
            state.items = copy.items;
            state.history.clear();
            state.is_away = false;
            newest
        };
        thread::sleep(again);
        self.change("op/config", newest);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut state = self.state.0.lock().unwrap();
        if value.is_none() && !state.items.contains_key(key) {
            return;
        }
        state.revision += 1;
        let revision = state.revision;
        let item = value.map(|value| {
            let made = state.items.get(key).map_or(revision, |item| item.made);
            Item { value, revision, made }
        });
        match &item {
            Some(item) => state.items.insert(key.to_owned(), item.clone()),
            None => state.items.remove(key),
        };
        state.history.push(Event { key: key.to_owned(), revision, item });
        self.state.1.notify_all();
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
        if self.state.0.lock().unwrap().is_away {
            return Ok(false);
        }
        let (status, body) = match (request.method.as_str(), request.path()) {
            ("GET", "/api/kv-key") => self.key(request),
            ("GET", "/api/kv-range") => (200, self.range(request)),
            ("GET", "/api/kv-watch") => self.watch(request),
            ("POST", "/api/kv-txn") => self.transact(request),
            _ => (404, "{}".to_owned()),
        };
        respond(
            stream,
            status,
            "Content-Type: application/json\r\nStore-Era: 1\r\n",
            body.as_bytes(),
        )?;
        Ok(true)
    }

    fn key(&self, request: &Request) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let key = request.query("Key").unwrap_or_default();
        match state.items.get(key) {
            Some(item) => (200, write(key, item, &format!(",\"at\":{}", state.revision))),
            None => (404, "{}".to_owned()),
        }
    }

    fn range(&self, request: &Request) -> String {
        let prefix = request.query("PathPrefix").unwrap_or_default();
        let after = request.query("SinceRev").unwrap_or_default();
        let state = self.state.0.lock().unwrap();
        let found =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<String> =
            found.clone().take(PAGE).map(|(key, item)| write(key, item, "")).collect();
        let more = found.count() > PAGE;
        format!("{{\"Items\":[{}],\"more\":{more},\"at\":{}}}", items.join(","), state.revision)
    }

    fn watch(&self, request: &Request) -> (u16, String) {
        let prefix = request.query("PathPrefix").unwrap_or_default();
        let since: u64 = request.query("SinceRev").and_then(|n| n.parse().ok()).unwrap_or(0);
        let wait = request.query("WaitMs").and_then(|n| n.parse().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let events =
                state.history.iter().filter(|e| e.revision > since && e.key.starts_with(prefix));
            let events: Vec<String> = events
                .map(|event| match &event.item {
                    Some(item) => write(&event.key, item, ""),
                    None => format!(
                        "{{\"Key\":{},\"Revision\":{},\"gone\":true}}",
                        quote(&event.key),
                        event.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                return (
                    200,
                    format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision),
                );
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body).into_owned();
        let Some(transaction) = json::parse(&text) else { return (400, "{}".to_owned()) };
        let list = |name: &str| transaction.get(name).map_or(&[][..], Value::list).to_vec();
        let text = |value: &Value, name: &str| {
            value.get(name).and_then(Value::text).unwrap_or_default().to_owned()
        };
        let (puts, removed) = (list("put"), list("Remove"));
        let keys = puts.iter().map(|put| text(put, "Key"));
        let keys = keys.chain(removed.iter().filter_map(Value::text).map(str::to_owned));
        if keys.into_iter().any(|key| key.starts_with("op/") || key.starts_with("servers/")) {
            return (403, "{}".to_owned());
        }
        puts.iter().for_each(|put| self.change(&text(put, "Key"), Some(text(put, "Value"))));
        removed.iter().filter_map(Value::text).for_each(|key| self.change(key, None));
        (200, format!("{{\"Revision\":{}}}", self.state.0.lock().unwrap().revision))
    }
}

fn write(key: &str, item: &Item, more: &str) -> String {
    let Item { value, revision, made } = item;
    format!(
        "{{\"Key\":{},\"Value\":\"{value}\",\"Revision\":{revision},\"made\":{made},\"lease\":0{more}}}",
        quote(key)
    )
}
