//! Upper bound for routing policies: a single dispatcher with complete and immediate information
//! in front of the same engines, using the same score.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use foldlock_base::size::Tokens;
use foldlock_connection::wire::Load;
use foldlock_request::route::{Candidate, Requirements, Routes};
use foldlock_request::speed::{Model, Work};
use foldlock_version::policy::{Policy, Route};
use standin::client::Answer;
use standin::engine::{self, Engine};
use standin::workload::Arrival;
use tokio::sync::Notify;

struct State {
    load: Load,
    speed: Model,
}

/// The dispatcher.
pub(crate) struct Oracle {
    engines: Vec<Arc<Engine>>,
    states: Mutex<Vec<State>>,
    changed: Notify,
    memory: u64,
}

/// A request that counts toward an engine's load until dropped.
struct Flight<'a> {
    oracle: &'a Oracle,
    engine: usize,
    load: Load,
    work: Work,
}

impl Drop for Flight<'_> {
    fn drop(&mut self) {
        let mut states = self.oracle.states.lock().unwrap();
        let state = &mut states[self.engine];
        state.load = state.load.minus(self.load);
        drop(states);
        self.oracle.changed.notify_waiters();
    }
}

impl Oracle {
    pub(crate) fn new(engines: Vec<Arc<Engine>>, memory: u64) -> Oracle {
        let state = |_| State { load: Load::default(), speed: Model::default() };
        let states = Mutex::new((0..engines.len()).map(state).collect());
        Oracle { engines, states, changed: Notify::new(), memory }
    }

    /// Serves a request; one that exceeds the memory of an engine gets no answer.
    pub(crate) async fn send(&self, arrival: Arc<Arrival>, prompt: String) -> Answer {
        let started = Instant::now();
        let mut answer = Answer::default();
        let memory = arrival.tokens + arrival.answer;
        if memory > self.memory {
            return answer;
        }
        let served = self.serve(&arrival, prompt, started, &mut answer);
        let _ = tokio::time::timeout(arrival.timeout, served).await;
        answer.total = started.elapsed();
        answer
    }

    async fn serve(&self, arrival: &Arrival, prompt: String, started: Instant, out: &mut Answer) {
        let class = Policy::default().class(Tokens(arrival.tokens));
        let requirements = Requirements {
            prompt: Tokens(arrival.tokens),
            memory: Tokens(arrival.tokens + arrival.answer),
            class,
        };
        let mut flight = self.assign(&requirements).await;
        let sent = Instant::now();
        let submitted = self.engines[flight.engine].submit(engine::Request {
            id: format!("oracle-{:x}", arrival.seed),
            model: standin::fleet::MODEL.to_owned(),
            prompt: prompt.into(),
            max_tokens: arrival.answer,
            priority: 3 + class.index() as u8,
            deadline: arrival.timeout,
            linger: Duration::from_secs(5),
            ..engine::Request::default()
        });
        let Ok(stream) = submitted else { return };
        stream.add_reader();
        loop {
            let changed = stream.changed();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (tokens, ended, aborted) =
                stream.read(|o| (o.tokens.len(), o.end.is_some(), o.aborted));
            if tokens > 0 && out.first_token.is_none() {
                out.first_token = Some(started.elapsed());
                self.record_first_token(&mut flight, sent.elapsed().as_secs_f64());
            }
            if ended || aborted {
                out.status = 200;
                out.complete = ended;
                out.text = stream.read(|o| o.tokens.concat());
                break;
            }
            changed.await;
        }
        stream.remove_reader();
    }

    async fn assign(&self, requirements: &Requirements) -> Flight<'_> {
        loop {
            let changed = self.changed.notified();
            if let Some(flight) = self.try_assign(requirements) {
                return flight;
            }
            let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
        }
    }

    fn try_assign(&self, requirements: &Requirements) -> Option<Flight<'_>> {
        let mut states = self.states.lock().unwrap();
        let candidate = |(i, l): (usize, &State)| Candidate {
            engine: format!("engine-{i}").parse().expect("a name"),
            own: l.load,
            fleet: l.load,
            report: None,
            cached: Tokens(0),
            memory: Tokens(self.memory),
            speed: l.speed.clone(),
            overdue_s: 0.0,
            long_rank: i as u32,
        };
        let candidates: Vec<Candidate> = states.iter().enumerate().map(candidate).collect();
        let choice = Routes::default().choose(
            Route::LengthAware,
            requirements,
            &candidates,
            &mut rand::rng(),
        )?;
        let chosen = &candidates[choice.index];
        let load = Load::of(requirements.class, requirements.prompt, requirements.memory);
        states[choice.index].load = states[choice.index].load.plus(load);
        Some(Flight { oracle: self, engine: choice.index, load, work: chosen.work(requirements) })
    }

    fn record_first_token(&self, flight: &mut Flight<'_>, seconds: f64) {
        let prefill = flight.load.prefill_only();
        flight.load = flight.load.minus(prefill);
        let mut states = self.states.lock().unwrap();
        let state = &mut states[flight.engine];
        state.load = state.load.minus(prefill);
        state.speed.learn(flight.work, seconds);
        drop(states);
        self.changed.notify_waiters();
    }
}
