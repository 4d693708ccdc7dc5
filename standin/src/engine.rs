//! A model engine: continuous batching under a token budget per pass, chunked prefill by priority,
//! a prefix cache in limited memory, streams that can be resumed, and reservations that expire.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::prefix;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::answer;
use crate::fault::{Fault, Kind};
use crate::memory::Memory;
use crate::server::LEAVING;
use crate::stream::Stream;

/// Settings of an engine.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The models it serves.
    pub models: Vec<String>,
    /// Memory capacity in tokens.
    pub memory: u64,
    /// Maximum number of tokens computed in one pass.
    pub step_tokens: u64,
    /// Fixed cost of a pass in milliseconds.
    pub step_ms: f64,
    /// Additional cost of each token in a pass, in milliseconds.
    pub token_ms: f64,
    /// Milliseconds for each pair of a prompt token and a token of context before it: the share of
    /// the cost that grows with the square of the prompt length.
    pub context_ms: f64,
    /// Factor by which the engine runs faster than these costs.
    pub speed: f64,
    /// Maximum number of queued requests; further ones are refused.
    pub max_waiting: usize,
    /// Age of the reports it serves, in milliseconds.
    pub report_lag_ms: u64,
    /// Delay of its cache events, in milliseconds.
    pub cache_lag_ms: u64,
    /// Every n-th cache event is lost; 0 for none.
    pub cache_gap: u64,
    /// Whether orders with an older fence are refused.
    pub checks_fence: bool,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            models: vec!["base".to_owned()],
            memory: 400_000,
            step_tokens: 512,
            step_ms: 4.0,
            token_ms: 0.04,
            context_ms: 0.000_000_2,
            speed: 1.0,
            max_waiting: 256,
            report_lag_ms: 500,
            cache_lag_ms: 1_000,
            cache_gap: 10,
            checks_fence: true,
        }
    }
}

/// A request to generate or to prefill.
#[derive(Debug, Clone, Default)]
pub struct Request {
    /// The request's id.
    pub id: String,
    /// The model.
    pub model: String,
    /// The prompt, or its segment for this engine.
    pub prompt: bytes::Bytes,
    /// Maximum number of tokens to generate; 0 to prefill only.
    pub max_tokens: u64,
    /// Priority; lower values are served first.
    pub priority: u8,
    /// The index of the first generated token.
    pub first_index: u64,
    /// Time after which the request is aborted.
    pub deadline: Duration,
    /// How long the request keeps running without a reader.
    pub linger: Duration,
    /// The reservation whose memory it uses.
    pub reservation: Option<String>,
    /// Tokens of the segments before this one, which are on other engines.
    pub context_tokens: u64,
    /// The prefix state after the segments before this one.
    pub context_state: Option<u64>,
}

/// Why a request is refused before it runs: the HTTP status and the reason.
pub type Refusal = (u16, &'static str);

struct Job {
    stream: Arc<Stream>,
    request: Request,
    blocks: Vec<u64>,
    prompt_tokens: u64,
    computed: u64,
    generated: u64,
    state: u64,
    memory: u64,
    admitted: bool,
    deadline: Instant,
}

impl Job {
    fn remaining_prefill(&self) -> u64 {
        self.prompt_tokens.saturating_sub(self.computed)
    }
}

#[derive(Debug)]
struct Reservation {
    tokens: u64,
    until: Instant,
    running_jobs: u32,
    state: u64,
    computed_tokens: u64,
}

/// The engine's load report; the field names are those of the protocol.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Report {
    seq: u64,
    models: Vec<String>,
    leaving: bool,
    running: u32,
    waiting: u32,
    prefill: u64,
    memory: u64,
    used: u64,
}

/// An event of the prefix cache: blocks that were stored.
#[derive(Debug, Clone, Serialize)]
pub struct CacheEvent {
    seq: u64,
    stored: Vec<String>,
    #[serde(skip)]
    at: Option<Instant>,
}

/// Counters for tests.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Stats {
    /// Tokens of memory in use.
    pub used: u64,
    /// Tokens of memory that are reserved.
    #[serde(rename = "held")]
    pub reserved: u64,
    /// Number of streams that can be read.
    pub streams: usize,
    /// How many times each request was started, over all its streams, by request id.
    pub runs: BTreeMap<String, u32>,
    /// Number of requests started.
    pub begun: u64,
    /// Number of prompt tokens computed.
    pub computed: u64,
    /// Milliseconds since the last request was started.
    pub idle_ms: u64,
}

#[derive(Default)]
struct State {
    jobs: Vec<Job>,
    streams: HashMap<String, Arc<Stream>>,
    reservations: HashMap<String, Reservation>,
    reports: VecDeque<(Instant, Report)>,
    cache_events: VecDeque<CacheEvent>,
    cache_seq: u64,
    faults: VecDeque<Fault>,
    leaving: bool,
    fence: u64,
    runs: BTreeMap<String, u32>,
    begun: u64,
    computed: u64,
    last_started: Option<Instant>,
}

/// A model engine.
pub struct Engine {
    settings: Settings,
    state: Mutex<State>,
    memory: Mutex<Memory>,
    models: Mutex<Vec<String>>,
    speed: Mutex<f64>,
    paused_until: Mutex<Instant>,
    work: Notify,
    boot_id: u64,
}

impl Engine {
    /// Creates an idle engine; [`Engine::run`] processes its requests.
    pub fn new(settings: Settings) -> Arc<Engine> {
        Arc::new(Engine {
            state: Mutex::default(),
            memory: Mutex::new(Memory::new(settings.memory)),
            models: Mutex::new(settings.models.clone()),
            speed: Mutex::new(settings.speed),
            paused_until: Mutex::new(Instant::now()),
            settings,
            work: Notify::new(),
            boot_id: rand::random(),
        })
    }

    /// Queues a request, or refuses it.
    pub fn submit(&self, request: Request) -> Result<Arc<Stream>, Refusal> {
        let blocks = prefix::blocks(&request.prompt, usize::MAX);
        let start = request.context_state.unwrap_or(prefix::START);
        let state = prefix::state(start, &request.prompt);
        let prompt_tokens = (request.prompt.len() as u64).div_ceil(answer::TOKEN_LEN as u64);
        let mut inner = self.state.lock().unwrap();
        let fault = self.admit(&mut inner, &request, prompt_tokens)?;
        let cached = match request.context_state {
            None => self.memory.lock().unwrap().cached_prefix(&blocks).min(prompt_tokens - 1),
            Some(_) => 0,
        };
        inner.begun += 1;
        *inner.runs.entry(request.id.clone()).or_default() += 1;
        inner.last_started = Some(Instant::now());
        let id = format!("{:x}.{}", self.boot_id, inner.begun);
        let stream = Arc::new(Stream::new(id, &request, cached, fault));
        inner.streams.insert(stream.id.clone(), stream.clone());
        let memory =
            if request.reservation.is_some() { 0 } else { prompt_tokens + request.max_tokens };
        if let Some(reservation) =
            request.reservation.as_ref().and_then(|r| inner.reservations.get_mut(r))
        {
            reservation.running_jobs += 1;
        }
        inner.jobs.push(Job {
            stream: stream.clone(),
            blocks,
            prompt_tokens,
            computed: cached,
            generated: 0,
            state,
            memory,
            admitted: false,
            deadline: Instant::now() + request.deadline,
            request,
        });
        inner.jobs.sort_by_key(|j| j.request.priority);
        drop(inner);
        self.work.notify_one();
        Ok(stream)
    }

    fn admit(
        &self,
        inner: &mut State,
        request: &Request,
        tokens: u64,
    ) -> Result<Option<Fault>, Refusal> {
        if inner.leaving {
            return Err((503, LEAVING));
        }
        if !self.models.lock().unwrap().contains(&request.model) {
            return Err((409, "model not loaded"));
        }
        if tokens == 0 {
            return Err((400, "empty prompt"));
        }
        let room = match &request.reservation {
            Some(reservation) => {
                inner.reservations.get(reservation).ok_or((409, "no such reservation"))?.tokens
            }
            None => self.settings.memory,
        };
        if tokens + request.max_tokens > room {
            return Err((413, "exceeds the engine's memory"));
        }
        if inner.jobs.iter().filter(|j| !j.admitted).count() >= self.settings.max_waiting {
            return Err((429, "queue is full"));
        }
        let fault = take_fault(&mut inner.faults);
        match fault {
            Some(Fault { kind: Kind::Refuse, .. }) => Err((503, "injected fault")),
            fault => Ok(fault),
        }
    }

    /// The stream with this id, unless it has been removed.
    pub fn stream(&self, id: &str) -> Option<Arc<Stream>> {
        self.state.lock().unwrap().streams.get(id).cloned()
    }

    /// Aborts a stream; false if there is none with this id.
    pub fn cancel(&self, id: &str) -> bool {
        let mut inner = self.state.lock().unwrap();
        let found = inner.streams.remove(id);
        if let Some(stream) = &found {
            stream.update(|o| o.aborted = true);
            self.remove_finished(&mut inner);
        }
        found.is_some()
    }

    /// Reserves memory for `ttl`, or renews the reservation with this id.
    pub fn reserve(&self, id: &str, tokens: u64, ttl: Duration) -> Result<(), Refusal> {
        let mut inner = self.state.lock().unwrap();
        let until = Instant::now() + ttl;
        if let Some(reservation) = inner.reservations.get_mut(id) {
            reservation.until = until;
            return Ok(());
        }
        if inner.leaving {
            return Err((503, LEAVING));
        }
        if !self.memory.lock().unwrap().reserve(tokens) {
            return Err((409, "not enough free memory"));
        }
        let reservation = Reservation {
            tokens,
            until,
            running_jobs: 0,
            state: prefix::START,
            computed_tokens: 0,
        };
        inner.reservations.insert(id.to_owned(), reservation);
        self.work.notify_one();
        Ok(())
    }

    /// Releases a reservation and aborts the requests that use it.
    pub fn release(&self, id: &str) -> bool {
        let mut inner = self.state.lock().unwrap();
        let Some(reservation) = inner.reservations.remove(id) else { return false };
        self.memory.lock().unwrap().release(reservation.tokens);
        for job in inner.jobs.iter().filter(|j| j.request.reservation.as_deref() == Some(id)) {
            job.stream.update(|o| o.aborted = true);
        }
        self.remove_finished(&mut inner);
        true
    }

    /// Exports the result in a reservation: the number of computed tokens and the prefix state.
    pub fn export(&self, id: &str) -> Option<(u64, u64)> {
        let inner = self.state.lock().unwrap();
        inner.reservations.get(id).map(|r| (r.computed_tokens, r.state))
    }

    /// Imports another engine's export into a reservation.
    pub fn import(&self, id: &str, tokens: u64, state: u64) -> Result<(), Refusal> {
        let mut inner = self.state.lock().unwrap();
        let reservation = inner.reservations.get_mut(id).ok_or((409, "no such reservation"))?;
        if tokens > reservation.tokens {
            return Err((413, "exceeds the reservation"));
        }
        reservation.computed_tokens = tokens;
        reservation.state = state;
        Ok(())
    }

    /// Replaces the models that are served; an order with an older fence is refused.
    pub fn set_models(&self, fence: u64, models: Vec<String>) -> Result<(), Refusal> {
        let mut inner = self.state.lock().unwrap();
        if self.settings.checks_fence && fence < inner.fence {
            return Err((409, "stale fence"));
        }
        inner.fence = inner.fence.max(fence);
        *self.models.lock().unwrap() = models;
        Ok(())
    }

    /// Sets whether the engine is leaving; while it is, new requests are refused.
    pub fn set_leaving(&self, leaving: bool) {
        self.state.lock().unwrap().leaving = leaving;
    }

    /// Changes the speed factor.
    pub fn set_speed(&self, speed: f64) {
        *self.speed.lock().unwrap() = speed;
    }

    /// Injects a fault into the next streams.
    pub fn add_fault(&self, fault: Fault) {
        self.state.lock().unwrap().faults.push_back(fault);
    }

    /// Answers no call for `pause`. What has begun to run goes on.
    pub fn pause(&self, pause: Duration) {
        *self.paused_until.lock().unwrap() = Instant::now() + pause;
    }

    /// Waits for the end of a pause.
    pub async fn resumed(&self) {
        let until = *self.paused_until.lock().unwrap();
        tokio::time::sleep_until(until.into()).await;
    }

    /// Removes the faults that have not been injected yet.
    pub fn clear_faults(&self) {
        self.state.lock().unwrap().faults.clear();
    }

    /// The newest report that is at least `report_lag_ms` old, or else the oldest one.
    pub fn report(&self) -> Report {
        let mut inner = self.state.lock().unwrap();
        let now = self.report_now(&inner);
        let lag = Duration::from_millis(self.settings.report_lag_ms);
        inner.reports.push_back((Instant::now(), now));
        while inner.reports.len() > 1 && inner.reports[1].0.elapsed() >= lag {
            inner.reports.pop_front();
        }
        inner.reports[0].1.clone()
    }

    fn report_now(&self, inner: &State) -> Report {
        let memory = self.memory.lock().unwrap();
        Report {
            seq: inner.reports.back().map_or(1, |(_, r)| r.seq + 1),
            models: self.models.lock().unwrap().clone(),
            leaving: inner.leaving,
            running: inner.jobs.iter().filter(|j| j.admitted).count() as u32,
            waiting: inner.jobs.iter().filter(|j| !j.admitted).count() as u32,
            prefill: inner.jobs.iter().map(Job::remaining_prefill).sum(),
            memory: memory.total(),
            used: memory.used(),
        }
    }

    /// The cache events after `seq` that are at least `cache_lag_ms` old.
    pub fn cache_events(&self, seq: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.settings.cache_lag_ms);
        let inner = self.state.lock().unwrap();
        let visible = |e: &&CacheEvent| e.seq > seq && e.at.is_some_and(|at| at.elapsed() >= lag);
        inner.cache_events.iter().filter(visible).cloned().collect()
    }

    /// Counters for tests.
    pub fn stats(&self) -> Stats {
        let inner = self.state.lock().unwrap();
        Stats {
            used: self.memory.lock().unwrap().used(),
            reserved: inner.reservations.values().map(|r| r.tokens).sum(),
            streams: inner.streams.len(),
            runs: inner.runs.clone(),
            begun: inner.begun,
            computed: inner.computed,
            idle_ms: inner.last_started.map_or(u64::MAX, |at| at.elapsed().as_millis() as u64),
        }
    }

    /// Processes requests until the task is aborted.
    pub async fn run(self: Arc<Engine>) {
        loop {
            let pass = self.plan();
            if pass.is_empty() {
                let idle = Duration::from_millis(20);
                let _ = tokio::time::timeout(idle, self.work.notified()).await;
                self.remove_finished(&mut self.state.lock().unwrap());
                continue;
            }
            let cost = self.cost(&pass);
            if cost < MIN_SLEEP {
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(cost).await;
            }
            self.apply(&pass);
        }
    }

    /// Selects the tokens of the next pass: one for each decoding request, then prefill by
    /// priority.
    fn plan(&self) -> Vec<Chunk> {
        let mut inner = self.state.lock().unwrap();
        self.remove_finished(&mut inner);
        self.admit_queued(&mut inner);
        let mut budget = self.settings.step_tokens;
        let mut plan = Vec::new();
        let ready = inner.jobs.iter().filter(|j| j.admitted && j.remaining_prefill() == 0);
        for job in ready.take(budget as usize) {
            plan.push(Chunk { stream: job.stream.id.clone(), prefill: 0, context: 0 });
            budget -= 1;
        }
        for job in inner.jobs.iter().filter(|j| j.admitted && j.remaining_prefill() > 0) {
            if budget == 0 {
                break;
            }
            let prefill = job.remaining_prefill().min(budget);
            let context = job.request.context_tokens + job.computed;
            plan.push(Chunk { stream: job.stream.id.clone(), prefill, context });
            budget -= prefill;
        }
        plan
    }

    fn admit_queued(&self, inner: &mut State) {
        let mut memory = self.memory.lock().unwrap();
        for job in inner.jobs.iter_mut().filter(|j| !j.admitted) {
            if !memory.reserve(job.memory) {
                break;
            }
            job.admitted = true;
        }
    }

    fn cost(&self, plan: &[Chunk]) -> Duration {
        let s = &self.settings;
        let ms: f64 = plan
            .iter()
            .map(|c| {
                let tokens = c.prefill.max(1) as f64;
                tokens * s.token_ms + c.prefill as f64 * c.context as f64 * s.context_ms
            })
            .sum();
        Duration::from_secs_f64((s.step_ms + ms) / 1000.0 / *self.speed.lock().unwrap())
    }

    fn apply(&self, plan: &[Chunk]) {
        let mut inner = self.state.lock().unwrap();
        let mut stored = Vec::new();
        for chunk in plan {
            let Some(job) = inner.jobs.iter_mut().find(|j| j.stream.id == chunk.stream) else {
                continue;
            };
            job.computed += chunk.prefill;
            if job.remaining_prefill() > 0 {
                continue;
            }
            if chunk.prefill > 0 {
                stored.extend(self.finish_prefill(job));
            }
            generate(job);
        }
        inner.computed += plan.iter().map(|c| c.prefill).sum::<u64>();
        if !stored.is_empty() {
            self.record_cache_event(&mut inner, stored);
        }
        self.remove_finished(&mut inner);
    }

    fn finish_prefill(&self, job: &Job) -> Vec<u64> {
        let state = job.state;
        job.stream.update(|o| o.state = Some(state));
        if job.request.context_state.is_some() {
            return Vec::new();
        }
        self.memory.lock().unwrap().insert(&job.blocks);
        job.blocks.clone()
    }

    fn record_cache_event(&self, inner: &mut State, stored: Vec<u64>) {
        inner.cache_seq += 1;
        let gap = self.settings.cache_gap;
        if gap > 0 && inner.cache_seq.is_multiple_of(gap) {
            return;
        }
        let stored = stored.iter().take(64).map(|b| format!("{b:x}")).collect();
        let event = CacheEvent { seq: inner.cache_seq, stored, at: Some(Instant::now()) };
        inner.cache_events.push_back(event);
        if inner.cache_events.len() > 1024 {
            inner.cache_events.pop_front();
        }
    }

    /// Removes finished requests, streams and reservations, and releases their memory.
    fn remove_finished(&self, inner: &mut State) {
        let now = Instant::now();
        let mut memory = self.memory.lock().unwrap();
        let State { jobs, reservations, streams, .. } = inner;
        jobs.retain(|job| {
            let finished = job.stream.read(|o| o.aborted || o.end.is_some())
                || job.deadline < now
                || job.stream.is_abandoned(job.request.linger);
            if finished {
                if job.admitted {
                    memory.release(job.memory);
                }
                if let Some(reservation) =
                    job.request.reservation.as_ref().and_then(|r| reservations.get_mut(r))
                {
                    reservation.running_jobs -= 1;
                    reservation.computed_tokens = job.prompt_tokens;
                    reservation.state = job.state;
                }
                if job.stream.read(|o| o.end.is_none()) {
                    job.stream.update(|o| o.aborted = true);
                }
            }
            !finished
        });
        reservations.retain(|_, reservation| {
            let expired = reservation.until < now;
            if expired {
                memory.release(reservation.tokens);
            }
            !expired
        });
        streams.retain(|_, s| {
            !(s.read(|o| o.aborted) || s.read(|o| o.end.is_some()) && s.is_abandoned(FINISHED_TTL))
        });
    }
}

/// How long a finished stream without a reader can still be resumed.
const FINISHED_TTL: Duration = Duration::from_secs(5);

/// Shorter passes yield instead of sleeping, since the timer resolution is a millisecond.
const MIN_SLEEP: Duration = Duration::from_micros(200);

struct Chunk {
    stream: String,
    prefill: u64,
    context: u64,
}

fn generate(job: &mut Job) {
    let text = answer::token(job.state);
    if job.request.max_tokens > 0 {
        job.state = prefix::state(job.state, text.as_bytes());
    }
    job.generated += 1;
    let done = job.generated >= job.request.max_tokens;
    let generates = job.request.max_tokens > 0;
    job.stream.update(|o| {
        if generates {
            o.tokens.push(text);
        }
        if done {
            o.end = Some("length");
        }
    });
}

fn take_fault(faults: &mut VecDeque<Fault>) -> Option<Fault> {
    let fault = faults.front_mut()?;
    let next = *fault;
    fault.count -= 1;
    if fault.count == 0 {
        faults.pop_front();
    }
    Some(next)
}
