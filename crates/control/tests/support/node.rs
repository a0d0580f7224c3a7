//! One process's controllers with their calls served on loopback.

use std::{net::SocketAddr, time::Duration};

use bundle::KeySet;
use control::{
    ControlConfig, ControlHandle, PROCESS_DNS_NAME, PeerTls, Role, server_tls, start_controllers,
};
use rcgen::{BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair};
use tokio::{net::TcpListener, sync::watch, task::JoinHandle};
use tonic::transport::{Server, server::TcpIncoming};
use units::{BundleVersion, ServiceId};

/// Far over what any step takes; only a fault lasts this long.
pub const PATIENCE: Duration = Duration::from_secs(30);

pub struct Node {
    pub handle: ControlHandle,
    pub address: SocketAddr,
    serving: JoinHandle<()>,
}

/// An authority and the peers that trust it.
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

    /// Starts a process and adds balancers to the peers.
    pub async fn start(&self, name: &str, role: Role) -> Node {
        self.start_knowing(name, role, self.peers.subscribe()).await
    }

    /// Starts a process that knows these peers.
    pub async fn start_knowing(
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
        let serving = Server::builder()
            .tls_config(server_tls(&self.tls).unwrap())
            .unwrap()
            .add_service(handle.bundles_server())
            .serve_with_incoming(TcpIncoming::from(listener));
        Node {
            handle,
            address,
            serving: tokio::spawn(async move { serving.await.unwrap() }),
        }
    }
}

impl Node {
    /// Waits until a service is in force in exactly this version.
    pub async fn holds(&self, service: u32, version: u64) {
        let expect = (ServiceId::new(service), BundleVersion::new(version));
        let mut changes = self.handle.watch_changes();
        let is_held = || {
            let held = self.handle.version_vector();
            held.iter().any(|it| (it.service, it.version) == expect)
        };
        tokio::time::timeout(PATIENCE, changes.wait_for(|_| is_held()))
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

    /// Waits until a counter has risen to this value.
    pub async fn counts(&self, name: &str, value: u64) {
        let wait = async {
            while self.handle.counters().get(name) < value {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, wait)
            .await
            .unwrap_or_else(|_| panic!("{name}: {:?}", self.handle.counters().values()));
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.serving.abort();
        self.handle.stop();
    }
}

/// Makes an authority and one certificate for every process.
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
