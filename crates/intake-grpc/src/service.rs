//! Serves one stream of a reporter, from its first message to its end.

use std::time::Duration;

use slog::{debug, info, Logger};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};
use tokio_stream::wrappers::ReceiverStream;
use tonic::{Request, Response, Status, Streaming};

use crate::desk::{ReporterStream, SharedIntake, ToReporter};
use crate::wire::load_intake_server::LoadIntake;
use crate::wire::{Batch, Hello, Paces};
use crate::Bounds;

/// A reporter that is silent for this long has left three messages of paces unanswered.
const IDLE_TIMEOUT: Duration = Duration::from_secs(100);
/// Time limit for the first message, which holds only a few names.
const HELLO_TIMEOUT: Duration = Duration::from_secs(5);
/// Limit for names of reporters and hosts; a longer one is an error.
const MAX_NAME_BYTES: usize = 256;

pub struct Service {
    pub intake: SharedIntake,
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
        // Room for one message: what a slow reader has not read yet is replaced by newer content.
        let (to, from_here) = mpsc::channel(1);
        let (intake, bounds, log) = (self.intake.clone(), self.bounds, self.log.clone());
        tokio::spawn(async move {
            if let Err(status) = stream(request.into_inner(), &intake, bounds, to.clone(), &log).await {
                intake.refused();
                info!(log, "load report stream ended with an error"; "why" => status.message().to_string());
                // The final status waits until the reader has room, for as long as there is a reader.
                drop(to.send(Err(status)).await);
            }
        });
        Ok(Response::new(ReceiverStream::new(from_here)))
    }
}

/// Closes the stream at the intake however its task ends.
struct OpenGuard<'a>(&'a SharedIntake, ReporterStream);

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.closed(&self.1);
    }
}

async fn stream(
    mut incoming: Streaming<Batch>,
    intake: &SharedIntake,
    bounds: Bounds,
    to: ToReporter,
    log: &Logger,
) -> Result<(), Status> {
    let timed_out = |_| Status::deadline_exceeded("no message came in time");
    let Some(mut batch) = timeout(HELLO_TIMEOUT, incoming.message()).await.map_err(timed_out)?? else {
        return Ok(());
    };
    let hello =
        batch.hello.take().ok_or_else(|| Status::invalid_argument("the first message has no hello"))?;
    let hello = check_names(hello, bounds)?;
    debug!(log, "reporter connected"; "name" => hello.reporter.clone(), "hosts" => hello.hosts.len());
    let reporter = intake.opened(hello, to).map_err(|why| Status::resource_exhausted(why.to_string()))?;
    let mut open = OpenGuard(intake, reporter);
    loop {
        if batch.hello.is_some() {
            return Err(Status::invalid_argument("a second hello"));
        }
        let (count, most) = (batch.reports.len(), bounds.reports_per_batch);
        if count > most {
            return Err(Status::invalid_argument(format!("{count} reports in a batch, {most} at most")));
        }
        let rest = intake.take(&mut open.1, &batch);
        // While nothing is read, HTTP/2's window fills and the reporter has to wait.
        if !rest.is_zero() {
            sleep(rest).await;
        }
        batch = match timeout(IDLE_TIMEOUT, incoming.message()).await.map_err(timed_out)?? {
            Some(batch) => batch,
            None => return Ok(()),
        };
    }
}

fn check_names(hello: Hello, bounds: Bounds) -> Result<Hello, Status> {
    let (count, most) = (hello.hosts.len(), bounds.hosts_per_reporter);
    if count > most {
        return Err(Status::invalid_argument(format!("{count} hosts of one reporter, {most} at most")));
    }
    let fits = |name: &String| (1..=MAX_NAME_BYTES).contains(&name.len());
    match fits(&hello.reporter) && hello.hosts.iter().all(fits) {
        true => Ok(hello),
        false => {
            Err(Status::invalid_argument(format!("a name of no bytes, or of more than {MAX_NAME_BYTES}")))
        }
    }
}
