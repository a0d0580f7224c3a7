//! Operators' questions where an opening would go, from the HTTP server to the balancer's main loop.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use passthrough::{Flow, PlacementReport};
use tokio::sync::{mpsc, oneshot};

/// Maximum number of questions that wait for the main loop.
const WAITING_MAX: usize = 4;

/// Time within which the main loop must answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Caller of the flow that is asked about if the question names none: an address for documentation,
/// which no caller has.
const ANY_CALLER: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(192, 0, 2, 1), 40_000);

/// A question where the opening of a flow would go now.
#[derive(Debug)]
pub(crate) struct PlacementQuestion {
    pub(crate) flow: Flow,
    pub(crate) reply: oneshot::Sender<PlacementReport>,
}

/// The answer to a query.
#[derive(Debug)]
pub(crate) enum Answer {
    /// The report in JSON.
    Report(String),
    /// The query is invalid; the text names the parameter and what is allowed.
    BadQuery(String),
    /// Too many questions wait, or the main loop did not answer in time.
    Busy,
}

/// Passes questions to the main loop.
#[derive(Debug, Clone)]
pub(crate) struct QuestionSender(mpsc::Sender<PlacementQuestion>);

/// Creates the channel on which the main loop receives questions.
pub(crate) fn question_channel() -> (QuestionSender, mpsc::Receiver<PlacementQuestion>) {
    let (sender, receiver) = mpsc::channel(WAITING_MAX);
    (QuestionSender(sender), receiver)
}

impl QuestionSender {
    /// Answers the query of an HTTP request.
    pub(crate) async fn answer_query(&self, query: &str) -> Answer {
        let flow = match parse_query(query) {
            Ok(flow) => flow,
            Err(text) => return Answer::BadQuery(text),
        };
        let (reply, answer) = oneshot::channel();
        if self.0.try_send(PlacementQuestion { flow, reply }).is_err() {
            return Answer::Busy;
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, answer).await {
            Ok(Ok(report)) => serde_json::to_string(&report).map_or(Answer::Busy, Answer::Report),
            Ok(Err(_)) | Err(_) => Answer::Busy,
        }
    }
}

/// Parses a query such as `route=198.18.0.1:443&caller=100.64.0.7:40000`.
fn parse_query(query: &str) -> Result<Flow, String> {
    let (mut route, mut caller) = (None, None);
    for part in query.split('&').filter(|it| !it.is_empty()) {
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let parameter = match name {
            "route" => &mut route,
            "caller" => &mut caller,
            _ => {
                return Err(format!(
                    "parameter `{name}` is unknown; `route` and `caller` are allowed"
                ));
            }
        };
        let address: SocketAddrV4 = value.parse().map_err(|_not_an_address| {
            format!(
                "`{name}` is `{value}`; give an IPv4 address and a port, such as 198.18.0.1:443"
            )
        })?;
        if parameter.replace(address).is_some() {
            return Err(format!("`{name}` is given twice; give it once"));
        }
    }
    let service_address = route.ok_or_else(|| {
        "`route` is missing; give the route's IPv4 address and port, such as 198.18.0.1:443"
            .to_owned()
    })?;
    Ok(Flow {
        caller: caller.unwrap_or(ANY_CALLER),
        service_address,
    })
}
