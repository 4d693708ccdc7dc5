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

struct Local {
    load: Load,
    speed: Model,
}

/// The dispatcher.
pub(crate) struct Oracle {
    engines: Vec<Arc<Engine>>,
    locals: Mutex<Vec<Local>>,
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
        let mut locals = self.oracle.locals.lock().unwrap();
        let local = &mut locals[self.engine];
        local.load = local.load.minus(self.load);
        drop(locals);
        self.oracle.changed.notify_waiters();
    }
}

impl Oracle {
    pub(crate) fn new(engines: Vec<Arc<Engine>>, memory: u64) -> Oracle {
        let local = |_| Local { load: Load::default(), speed: Model::default() };
        let locals = Mutex::new((0..engines.len()).map(local).collect());
        Oracle { engines, locals, changed: Notify::new(), memory }
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
        let mut flight = self.place(&requirements).await;
        let sent = Instant::now();
        let begun = self.engines[flight.engine].begin(engine::Ask {
            request: format!("oracle-{:x}", arrival.seed),
            model: standin::fleet::MODEL.to_owned(),
            prompt: prompt.into(),
            max_tokens: arrival.answer,
            priority: 3 + class.index() as u8,
            deadline: arrival.timeout,
            linger: Duration::from_secs(5),
            ..engine::Ask::default()
        });
        let Ok(stream) = begun else { return };
        stream.add_reader();
        loop {
            let changed = stream.changed();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let (tokens, ended, aborted) = stream.read(|o| (o.tokens.len(), o.end.is_some(), o.aborted));
            if tokens > 0 && out.first_token.is_none() {
                out.first_token = Some(started.elapsed());
                self.first_token(&mut flight, sent.elapsed().as_secs_f64());
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

    async fn place(&self, requirements: &Requirements) -> Flight<'_> {
        loop {
            let changed = self.changed.notified();
            if let Some(flight) = self.try_place(requirements) {
                return flight;
            }
            let _ = tokio::time::timeout(Duration::from_millis(20), changed).await;
        }
    }

    fn try_place(&self, requirements: &Requirements) -> Option<Flight<'_>> {
        let mut locals = self.locals.lock().unwrap();
        let candidate = |(i, l): (usize, &Local)| Candidate {
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
        let candidates: Vec<Candidate> = locals.iter().enumerate().map(candidate).collect();
        let choice = Routes::default().choose(
            Route::LengthAware,
            requirements,
            &candidates,
            &mut rand::rng(),
        )?;
        let chosen = &candidates[choice.index];
        let load = Load::of(requirements.class, requirements.prompt, requirements.memory);
        locals[choice.index].load = locals[choice.index].load.plus(load);
        Some(Flight { oracle: self, engine: choice.index, load, work: chosen.work(requirements) })
    }

    fn first_token(&self, flight: &mut Flight<'_>, seconds: f64) {
        let prefill = flight.load.prefill_only();
        flight.load = flight.load.minus(prefill);
        let mut locals = self.locals.lock().unwrap();
        let local = &mut locals[flight.engine];
        local.load = local.load.minus(prefill);
        local.speed.learn(flight.work, seconds);
        drop(locals);
        self.changed.notify_waiters();
    }
}
