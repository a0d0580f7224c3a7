//! Queries of a process's status and timeline over gRPC.

use std::{net::SocketAddr, time::Duration};

use control::{PROCESS_DNS_NAME, PeerTls, client_tls};
use settings::ProcessTls;
use timeline::{RecordedEvent, Stamp};
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};
use units::Millis;
use wire::inspect::{
    StatusReply, StatusRequest, TimelineRequest, inspect_client::InspectClient, timeline_part::Part,
};

use crate::error::{BenchError, Result};

/// Timeout of a connection attempt to a process and of a gRPC call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// gRPC client that queries processes for their status and timeline.
#[derive(Debug, Clone)]
pub(crate) struct StatusProbe {
    tls: ClientTlsConfig,
}

impl StatusProbe {
    /// Creates a client that authenticates with the certificate of the fleet's processes.
    pub(crate) fn new(tls: &ProcessTls) -> Result<Self> {
        let tls = PeerTls {
            ca_pem: tls.ca_pem.clone(),
            certificate_pem: tls.certificate_pem.clone(),
            key_pem: tls.key_pem.clone(),
            server_name: PROCESS_DNS_NAME.to_owned(),
        };
        let tls =
            client_tls(&tls).map_err(|err| BenchError::setup("reading certificates", &err))?;
        Ok(Self { tls })
    }

    /// Queries the status of a process; returns `None` if the call fails.
    pub(crate) async fn query_status(&self, address: SocketAddr) -> Option<StatusReply> {
        let channel = self.connect(address).await?;
        let mut client = InspectClient::new(channel);
        let reply = client.status(StatusRequest {}).await.ok()?;
        Some(reply.into_inner())
    }

    /// Queries the events of a process's timeline; returns `None` if the call fails.
    pub(crate) async fn query_timeline_events(
        &self,
        address: SocketAddr,
    ) -> Option<Vec<RecordedEvent>> {
        let channel = self.connect(address).await?;
        let mut client = InspectClient::new(channel);
        let request = TimelineRequest { since_unix_ms: 0 };
        let mut parts = client.timeline(request).await.ok()?.into_inner();
        let mut events = Vec::new();
        while let Some(part) = parts.message().await.ok()? {
            if let Some(Part::Event(it)) = part.part {
                events.push(RecordedEvent {
                    stamp: Stamp::new(Millis::new(it.unix_ms), it.logical),
                    event: serde_json::from_str(&it.event_json).ok()?,
                });
            }
        }
        Some(events)
    }

    async fn connect(&self, address: SocketAddr) -> Option<Channel> {
        Endpoint::from_shared(format!("https://{address}"))
            .ok()?
            .tls_config(self.tls.clone())
            .ok()?
            .connect_timeout(TIMEOUT)
            .timeout(TIMEOUT)
            .connect()
            .await
            .ok()
    }
}
