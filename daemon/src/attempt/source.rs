//! The response of an engine to one attempt.

use std::pin::Pin;
use std::time::Duration;

use foldlock_base::prelude::*;
use foldlock_connection::engine::{
    Engine as _, Failure, HttpEngine, HttpStream, Job as Order, Stream as _,
};
use foldlock_connection::events::{Checker, Event as Part};

use crate::attempt::End;
use crate::gate::Placement;
use crate::group;
use crate::serve::Job;

/// The response of an engine, of which at least one event has been received.
pub struct Source {
    /// Where the attempt runs.
    pub placement: Placement,
    /// The events received since the last call of [`Source::next`].
    pub parts: Vec<Part>,
    stream: Guard,
    checker: Checker,
}

/// An open stream, which is cancelled at its engine when dropped, so that its memory is released at once.
struct Guard {
    stream: HttpStream,
    client: HttpEngine,
    cancel: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.cancel {
            return;
        }
        let (client, id) = (self.client.clone(), self.stream.id().to_owned());
        tokio::spawn(async move {
            let _ = client.cancel(&id).await;
        });
    }
}

/// A request to an engine whose response has not begun. When dropped, its stream is cancelled once the response begins, as its
/// id is not known before. The engine releases a stream without a reader after `linger`, so no response is awaited longer.
struct Call<F>
where
    F: Future<Output = Result<HttpStream, Failure>> + Send + 'static,
{
    response: Option<Pin<Box<F>>>,
    client: HttpEngine,
    linger: Duration,
}

impl<F> Call<F>
where
    F: Future<Output = Result<HttpStream, Failure>> + Send + 'static,
{
    async fn response(mut self) -> Result<HttpStream, Failure> {
        let Some(response) = &mut self.response else { return Err(Failure::Gone) };
        let result = response.await;
        self.response = None;
        result
    }
}

impl<F> Drop for Call<F>
where
    F: Future<Output = Result<HttpStream, Failure>> + Send + 'static,
{
    fn drop(&mut self) {
        let Some(response) = self.response.take() else { return };
        let (client, linger) = (self.client.clone(), self.linger);
        tokio::spawn(async move {
            if let Ok(Ok(stream)) = tokio::time::timeout(linger, response).await {
                let _ = client.cancel(stream.id()).await;
            }
        });
    }
}

/// Sends a request to an engine.
async fn generate(client: HttpEngine, order: Order) -> Result<HttpStream, Failure> {
    let linger = order.linger;
    let sender = client.clone();
    let response = Box::pin(async move { sender.generate(&order).await });
    Call { response: Some(response), client, linger }.response().await
}

/// An attempt that ended without an event.
pub struct Failed {
    /// The engine.
    pub engine: id::Upstream,
    /// How it ended.
    pub end: End,
}

/// Sends a request to its placement, and waits for the first events of the response.
pub async fn begin(job: &Job, mut placement: Placement, order: Order) -> Result<Source, Failed> {
    let end = match start(job, &mut placement, &order).await {
        Ok(stream) => {
            let client = placement.flight().client.clone();
            let mut source = Source {
                placement,
                parts: Vec::new(),
                stream: Guard { stream, client, cancel: true },
                checker: Checker::new(job.request.as_str(), order.first_index),
            };
            match source.next().await {
                Ok(()) => return Ok(source),
                Err(end) => {
                    source.record_health(&end);
                    return Err(Failed { engine: source.placement.engine().clone(), end });
                }
            }
        }
        Err(end) => end,
    };
    match end {
        End::Broken(_) => placement.flight().on_failure(),
        // A group records it for the engine of the segment, see `group::begin`.
        End::NotConnected(_) if matches!(placement, Placement::Engine(_)) => {
            placement.flight().on_failure();
        }
        _ => {}
    }
    Err(Failed { engine: placement.engine().clone(), end })
}

async fn start(job: &Job, placement: &mut Placement, order: &Order) -> Result<HttpStream, End> {
    let result = match placement {
        Placement::Engine(flight) => generate(flight.client.clone(), order.clone()).await,
        Placement::Group(group) => group::begin(job, group, order).await,
    };
    result.map_err(|failure| match failure {
        Failure::NotConnected(why) => End::NotConnected(why),
        Failure::NotRun { proof, leaving, why } => {
            if leaving {
                job.process.upstream_leaving(placement.engine());
            }
            End::NotRun { proof, why }
        }
        other => End::Broken(other.to_string()),
    })
}

impl Source {
    /// Id of the stream at the engine.
    pub fn id(&self) -> &str {
        self.stream.stream.id()
    }

    /// Number of prompt tokens that were found in the engine's prefix cache.
    pub fn cached(&self) -> Tokens {
        self.stream.stream.cached()
    }

    /// Waits for further events. No event is lost if the future is dropped.
    pub async fn next(&mut self) -> Result<(), End> {
        self.parts.clear();
        while self.parts.is_empty() {
            let bytes = match self.stream.stream.next().await {
                Ok(Some(bytes)) => bytes,
                Ok(None) => return Err(End::Broken("the response ended early".to_owned())),
                Err(failure) => return Err(End::Broken(failure.to_string())),
            };
            let pushed = self.checker.push(bytes, |part| self.parts.push(part));
            pushed.map_err(|fault| End::Broken(fault.to_string()))?;
        }
        Ok(())
    }

    /// Records a failure of the engine.
    pub fn record_health(&self, end: &End) {
        if matches!(end, End::Broken(_)) {
            self.placement.flight().on_failure();
        }
    }

    /// Sets whether the stream is cancelled when dropped.
    pub fn set_cancel(&mut self, cancel: bool) {
        self.stream.cancel = cancel;
    }
}
