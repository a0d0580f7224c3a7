//! The gRPC server for calls from other processes and from operators.

use std::net::SocketAddr;

use control::PeerTls;
use tokio::{net::TcpListener, task::JoinHandle};
use tonic::{
    service::Routes,
    transport::{Server, server::TcpIncoming},
};

use crate::error::RunError;

/// Spawns a gRPC server at `address`; clients need a certificate of the fleet's authority.
pub(crate) async fn spawn_server(
    address: SocketAddr,
    tls: &PeerTls,
    routes: Routes,
) -> Result<JoinHandle<()>, RunError> {
    let component = "the gRPC server";
    let tls = control::server_tls(tls).map_err(|err| RunError::start_failed(component, &err))?;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|err| RunError::InvalidField {
            field: "control_address",
            cause: format!("binding {address}: {err}; give a free address of this instance"),
        })?;
    let server = Server::builder()
        .tls_config(tls)
        .map_err(|err| RunError::start_failed(component, &err))?
        .add_routes(routes);
    Ok(tokio::spawn(async move {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        if let Err(err) = server.serve_with_incoming(incoming).await {
            log::error!("the gRPC server stopped: {err}; restart the process");
        }
    }))
}
