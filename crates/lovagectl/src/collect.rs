//! Queries the status and the events of every process that the operator settings name.

use std::time::Duration;

use control::{PeerTls, client_tls};
use futures_util::future::join_all;
use settings::{OperatorSettings, ProcessAddress, ProcessTls};
use timeline::{ProcessEvents, RecordedEvent, Stamp, UnreachableProcess};
use tonic::transport::{Channel, Endpoint};
use units::Millis;
use wire::inspect::{
    StatusReply, StatusRequest, TimelineEvent, TimelinePart, TimelineRequest,
    inspect_client::InspectClient, timeline_part::Part,
};

/// Timeout of connecting to one process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of the whole query of one process, including the connection setup.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Number of processes that are queried concurrently.
const BATCH_SIZE: usize = 64;

/// The reply of one process, or the reason why the process did not reply.
pub(crate) type QueryResult<T> = std::result::Result<T, UnreachableProcess>;

/// Fetches the status of every process.
pub(crate) async fn fetch_statuses(settings: &OperatorSettings) -> Vec<QueryResult<StatusReply>> {
    let mut results = Vec::new();
    for batch in settings.processes.chunks(BATCH_SIZE) {
        let queries = batch.iter().map(|it| fetch_status(&settings.tls, it));
        results.extend(join_all(queries).await);
    }
    results
}

/// Fetches the timeline events of every process from the time `since` on.
pub(crate) async fn fetch_timelines(
    settings: &OperatorSettings,
    since: Millis,
) -> Vec<QueryResult<ProcessEvents>> {
    let mut results = Vec::new();
    for batch in settings.processes.chunks(BATCH_SIZE) {
        let queries = batch
            .iter()
            .map(|it| fetch_events(&settings.tls, it, since));
        results.extend(join_all(queries).await);
    }
    results
}

async fn fetch_status(tls: &ProcessTls, process: &ProcessAddress) -> QueryResult<StatusReply> {
    let query = async {
        let mut client = connect(tls, process).await?;
        let reply = client.status(StatusRequest {}).await;
        Ok(reply.map_err(|err| grpc_status_text(&err))?.into_inner())
    };
    with_timeout(process, query).await
}

async fn fetch_events(
    tls: &ProcessTls,
    process: &ProcessAddress,
    since: Millis,
) -> QueryResult<ProcessEvents> {
    let query = async {
        let mut client = connect(tls, process).await?;
        let request = TimelineRequest {
            since_unix_ms: since.get(),
        };
        let reply = client.timeline(request).await;
        let mut stream = reply.map_err(|err| grpc_status_text(&err))?.into_inner();
        let mut collected = ProcessEvents {
            instance: process.instance.clone(),
            events: Vec::new(),
            dropped: 0,
            unreadable: 0,
        };
        while let Some(part) = stream
            .message()
            .await
            .map_err(|err| grpc_status_text(&err))?
        {
            add_timeline_part(&mut collected, part);
        }
        Ok(collected)
    };
    with_timeout(process, query).await
}

/// Adds one message of a process's timeline stream to the events collected so far.
fn add_timeline_part(collected: &mut ProcessEvents, part: TimelinePart) {
    match part.part {
        Some(Part::Head(head)) => {
            collected.dropped = head.dropped;
            if let Ok(instance) = head.instance.parse() {
                collected.instance = instance;
            }
        }
        Some(Part::Event(event)) => match parse_event(&event) {
            Some(event) => collected.events.push(event),
            None => collected.unreadable += 1,
        },
        None => collected.unreadable += 1,
    }
}

/// Parses a timeline event; returns `None` if this program doesn't know the event's kind.
fn parse_event(event: &TimelineEvent) -> Option<RecordedEvent> {
    Some(RecordedEvent {
        stamp: Stamp::new(Millis::new(event.unix_ms), event.logical),
        event: serde_json::from_str(&event.event_json).ok()?,
    })
}

/// Runs a query and turns a timeout or an error into the reason why the process is unreachable.
async fn with_timeout<T>(
    process: &ProcessAddress,
    query: impl Future<Output = std::result::Result<T, String>>,
) -> QueryResult<T> {
    let result = tokio::time::timeout(QUERY_TIMEOUT, query).await;
    let result = result.unwrap_or_else(|_elapsed| {
        let seconds = QUERY_TIMEOUT.as_secs();
        Err(format!("no complete reply within {seconds} s"))
    });
    result.map_err(|cause| UnreachableProcess {
        address: format!("{} at {}", process.instance, process.control_address),
        cause,
    })
}

async fn connect(
    tls: &ProcessTls,
    process: &ProcessAddress,
) -> std::result::Result<InspectClient<Channel>, String> {
    let tls = tls.clone();
    let config = client_tls(&PeerTls::new(tls.ca_pem, tls.certificate_pem, tls.key_pem));
    let config = config.map_err(|err| err.to_string())?;
    let endpoint = Endpoint::from_shared(format!("https://{}", process.control_address))
        .and_then(|it| it.connect_timeout(CONNECT_TIMEOUT).tls_config(config))
        .map_err(|err| root_cause_text(&err))?;
    let channel = endpoint
        .connect()
        .await
        .map_err(|err| root_cause_text(&err))?;
    Ok(InspectClient::new(channel))
}

fn grpc_status_text(status: &tonic::Status) -> String {
    format!("{}: {}", status.code(), status.message())
}

/// Returns the text of the innermost source of an error, which names what failed.
fn root_cause_text(err: &dyn std::error::Error) -> String {
    let mut cause = err;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
