//! The controllers of processes with their gRPC service on loopback.

use std::{net::SocketAddr, time::Duration};

use bundle::KeySet;
use control::{
    ControlConfig, ControlHandle, PROCESS_DNS_NAME, PeerTls, Role, server_tls, start_controllers,
};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tonic::transport::{Server, server::TcpIncoming};
use units::{BundleVersion, ServiceId};

/// Timeout of every wait, far longer than any step takes without a fault.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub struct Node {
    pub handle: ControlHandle,
    pub address: SocketAddr,
    server: JoinHandle<()>,
}

/// Certificate authority, keys and peer list that the processes of a fleet share.
pub struct Fleet {
    pub tls: PeerTls,
    keys: KeySet,
    pub peers: watch::Sender<Vec<SocketAddr>>,
}

impl Fleet {
    pub fn new(keys: KeySet) -> Self {
        Self {
            tls: certificates(),
            keys,
            peers: watch::Sender::new(Vec::new()),
        }
    }

    pub fn config(&self, name: &str, role: Role, address: SocketAddr) -> ControlConfig {
        let (tls, peers) = (self.tls.clone(), self.peers.subscribe());
        let name = name.parse().unwrap();
        ControlConfig::new(name, role, self.keys.clone(), tls, address, peers).with_seed(7)
    }

    /// Starts a process that knows the fleet's peers.
    pub async fn start(&self, name: &str, role: Role) -> Node {
        self.start_with_peers(name, role, self.peers.subscribe())
            .await
    }

    /// Starts a process that knows the given peers; a balancer is added to the fleet's peers.
    pub async fn start_with_peers(
        &self,
        name: &str,
        role: Role,
        peers: watch::Receiver<Vec<SocketAddr>>,
    ) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        if role.only_service().is_none() {
            self.peers.send_modify(|it| it.push(address));
        }
        let mut config = self.config(name, role, address);
        config.peers = peers;
        let handle = start_controllers(config).await.unwrap();
        let server = Server::builder()
            .tls_config(server_tls(&self.tls).unwrap())
            .unwrap()
            .add_service(handle.bundles_server())
            .serve_with_incoming(TcpIncoming::from(listener));
        Node {
            handle,
            address,
            server: tokio::spawn(async move { server.await.unwrap() }),
        }
    }
}

impl Node {
    /// Waits until exactly this version of a service is in force.
    pub async fn wait_for_version(&self, service: u32, version: u64) {
        let expect = (ServiceId::new(service), BundleVersion::new(version));
        let mut changes = self.handle.watch_changes();
        let is_held = || {
            let held = self.handle.version_vector();
            held.iter().any(|it| (it.service, it.version) == expect)
        };
        tokio::time::timeout(WAIT_TIMEOUT, changes.wait_for(|_| is_held()))
            .await
            .unwrap_or_else(|_| {
                panic!(
                    "{}: {expect:?} isn't in force: {:?}",
                    self.address,
                    self.handle.version_vector()
                )
            })
            .unwrap();
    }

    /// Waits until a counter is at least this value.
    pub async fn wait_for_counter(&self, name: &str, value: u64) {
        let wait = async {
            while self.handle.counters().get(name) < value {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(WAIT_TIMEOUT, wait)
            .await
            .unwrap_or_else(|_| panic!("{name}: {:?}", self.handle.counters().values()));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.server.abort();
        self.handle.stop_controllers();
    }
}

/// Creates an authority and a certificate that all processes share.
pub fn certificates() -> PeerTls {
    let ca_key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let ca_pem = params.self_signed(&ca_key).unwrap().pem();
    let issuer = Issuer::new(params, ca_key);
    let key = KeyPair::generate().unwrap();
    let mut params = CertificateParams::new(vec![PROCESS_DNS_NAME.to_owned()]).unwrap();
    params.extended_key_usages = vec![
        ExtendedKeyUsagePurpose::ServerAuth,
        ExtendedKeyUsagePurpose::ClientAuth,
    ];
    PeerTls::new(
        ca_pem,
        params.signed_by(&key, &issuer).unwrap().pem(),
        key.serialize_pem(),
    )
}
