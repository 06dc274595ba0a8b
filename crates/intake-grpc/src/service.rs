//! One stream of a reporter, from its first message to its end.

use std::time::Duration;

use slog::{debug, info, Logger};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::desk::{Desk, Seat, ToReporter};
use crate::wire::load_intake_server::LoadIntake;
use crate::wire::{Batch, Hello, Paces};
use crate::Bounds;

/// Who says nothing for so long has not answered three messages of paces.
const IDLE: Duration = Duration::from_secs(100);
/// The first message is a few names.
const HELLO: Duration = Duration::from_secs(5);
/// Names of reporters and hosts; longer ones are no names.
const MOST_NAME: usize = 256;

pub struct Service {
    pub desk: Desk,
    pub bounds: Bounds,
    pub log: Logger,
}

#[tonic::async_trait]
impl LoadIntake for Service {
    type ReportStream = ReceiverStream<Result<Paces, Status>>;

    async fn report(
        &self,
        request: Request<Streaming<Batch>>,
    ) -> Result<Response<Self::ReportStream>, Status> {
        // Room for one message: what a slow reader has not read yet is replaced by what is newer.
        let (to, from_here) = mpsc::channel(1);
        let (desk, bounds, log) = (self.desk.clone(), self.bounds, self.log.clone());
        tokio::spawn(async move {
            if let Err(status) = stream(request.into_inner(), &desk, bounds, to.clone(), &log).await {
                desk.refused();
                info!(log, "the intake ended a stream"; "why" => status.message().to_string());
                // The last word waits until the reader has room, for as long as there is a reader.
                drop(to.send(Err(status)).await);
            }
        });
        Ok(Response::new(ReceiverStream::new(from_here)))
    }
}

/// The seat goes back however the stream ends.
struct Seated<'a>(&'a Desk, Seat);

impl Drop for Seated<'_> {
    fn drop(&mut self) {
        self.0.closed(&self.1);
    }
}

async fn stream(
    mut incoming: Streaming<Batch>,
    desk: &Desk,
    bounds: Bounds,
    to: ToReporter,
    log: &Logger,
) -> Result<(), Status> {
    let late = |_| Status::deadline_exceeded("no message came in time");
    let Some(mut batch) = timeout(HELLO, incoming.message()).await.map_err(late)?? else { return Ok(()) };
    let hello =
        batch.hello.take().ok_or_else(|| Status::invalid_argument("the first message has no hello"))?;
    let hello = named(hello, bounds)?;
    debug!(log, "a reporter"; "name" => hello.reporter.clone(), "hosts" => hello.hosts.len());
    let seat = desk.opened(hello, to).map_err(|why| Status::resource_exhausted(why.to_string()))?;
    let mut seated = Seated(desk, seat);
    loop {
        if batch.hello.is_some() {
            return Err(Status::invalid_argument("a second hello"));
        }
        let (count, most) = (batch.reports.len(), bounds.reports_per_batch);
        if count > most {
            return Err(Status::invalid_argument(format!("{count} reports in a batch, {most} at most")));
        }
        let rest = desk.take(&mut seated.1, &batch);
        // Not read on: HTTP/2's window fills, and the reporter waits.
        if !rest.is_zero() {
            sleep(rest).await;
        }
        batch = match timeout(IDLE, incoming.message()).await.map_err(late)?? {
            Some(batch) => batch,
            None => return Ok(()),
        };
    }
}

fn named(hello: Hello, bounds: Bounds) -> Result<Hello, Status> {
    let (count, most) = (hello.hosts.len(), bounds.hosts_per_reporter);
    if count > most {
        return Err(Status::invalid_argument(format!("{count} hosts of one reporter, {most} at most")));
    }
    let fits = |name: &String| (1..=MOST_NAME).contains(&name.len());
    match fits(&hello.reporter) && hello.hosts.iter().all(fits) {
        true => Ok(hello),
        false => Err(Status::invalid_argument(format!("a name of no bytes, or of more than {MOST_NAME}"))),
    }
}
