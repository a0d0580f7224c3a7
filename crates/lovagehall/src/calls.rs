//! The server of calls from other processes and operators.

use std::net::SocketAddr;

use control::PeerTls;
use tokio::{net::TcpListener, task::JoinHandle};
use tonic::{
    service::Routes,
    transport::{Server, server::TcpIncoming},
};

use crate::error::RunError;

/// Starts to serve calls at `address` to those with a certificate of the fleet's authority.
pub(crate) async fn serve(
    address: SocketAddr,
    tls: &PeerTls,
    routes: Routes,
) -> Result<JoinHandle<()>, RunError> {
    let part = "the server of calls";
    let tls = control::server_tls(tls).map_err(|err| RunError::start(part, &err))?;
    let listener = TcpListener::bind(address)
        .await
        .map_err(|err| RunError::Field {
            field: "control_address",
            cause: format!("{address}: {err}; give a free address of this instance"),
        })?;
    let server = Server::builder()
        .tls_config(tls)
        .map_err(|err| RunError::start(part, &err))?
        .add_routes(routes);
    Ok(tokio::spawn(async move {
        let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
        if let Err(err) = server.serve_with_incoming(incoming).await {
            log::error!("the server of calls ended: {err}");
        }
    }))
}
