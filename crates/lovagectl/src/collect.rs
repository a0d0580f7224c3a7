//! Calls to every process that the settings name.

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

/// Bound on connecting to a process.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Bound on everything asked of a process.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest number of processes asked at once.
const BATCH: usize = 64;

/// What one process answered, or why it didn't.
pub(crate) type Answer<T> = std::result::Result<T, UnreachableProcess>;

/// Asks every process for its status.
pub(crate) async fn statuses(settings: &OperatorSettings) -> Vec<Answer<StatusReply>> {
    let mut answers = Vec::new();
    for batch in settings.processes.chunks(BATCH) {
        let calls = batch.iter().map(|it| status(&settings.tls, it));
        answers.extend(join_all(calls).await);
    }
    answers
}

/// Asks every process for its events since a moment.
pub(crate) async fn timelines(
    settings: &OperatorSettings,
    since: Millis,
) -> Vec<Answer<ProcessEvents>> {
    let mut answers = Vec::new();
    for batch in settings.processes.chunks(BATCH) {
        let calls = batch.iter().map(|it| events(&settings.tls, it, since));
        answers.extend(join_all(calls).await);
    }
    answers
}

async fn status(tls: &ProcessTls, process: &ProcessAddress) -> Answer<StatusReply> {
    let call = async {
        let mut client = connect(tls, process).await?;
        let reply = client.status(StatusRequest {}).await;
        Ok(reply.map_err(|err| status_text(&err))?.into_inner())
    };
    within_time(process, call).await
}

async fn events(
    tls: &ProcessTls,
    process: &ProcessAddress,
    since: Millis,
) -> Answer<ProcessEvents> {
    let call = async {
        let mut client = connect(tls, process).await?;
        let request = TimelineRequest {
            since_unix_ms: since.get(),
        };
        let reply = client.timeline(request).await;
        let mut stream = reply.map_err(|err| status_text(&err))?.into_inner();
        let mut collected = ProcessEvents {
            instance: process.instance.clone(),
            events: Vec::new(),
            dropped: 0,
            unreadable: 0,
        };
        while let Some(part) = stream.message().await.map_err(|err| status_text(&err))? {
            take(&mut collected, part);
        }
        Ok(collected)
    };
    within_time(process, call).await
}

fn take(collected: &mut ProcessEvents, part: TimelinePart) {
    match part.part {
        Some(Part::Head(head)) => {
            collected.dropped = head.dropped;
            if let Ok(instance) = head.instance.parse() {
                collected.instance = instance;
            }
        }
        Some(Part::Event(event)) => match entry(&event) {
            Some(entry) => collected.events.push(entry),
            None => collected.unreadable += 1,
        },
        None => collected.unreadable += 1,
    }
}

fn entry(event: &TimelineEvent) -> Option<RecordedEvent> {
    Some(RecordedEvent {
        stamp: Stamp::new(Millis::new(event.unix_ms), event.logical),
        event: serde_json::from_str(&event.event_json).ok()?,
    })
}

async fn within_time<T>(
    process: &ProcessAddress,
    call: impl Future<Output = std::result::Result<T, String>>,
) -> Answer<T> {
    let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
    let answer = answer.unwrap_or_else(|_elapsed| {
        let seconds = CALL_TIMEOUT.as_secs();
        Err(format!("no whole answer within {seconds} s"))
    });
    answer.map_err(|cause| UnreachableProcess {
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
        .map_err(|err| source_text(&err))?;
    let channel = endpoint.connect().await.map_err(|err| source_text(&err))?;
    Ok(InspectClient::new(channel))
}

fn status_text(status: &tonic::Status) -> String {
    format!("{}: {}", status.code(), status.message())
}

/// Returns the innermost cause, which names what failed.
fn source_text(err: &dyn std::error::Error) -> String {
    let mut cause = err;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
