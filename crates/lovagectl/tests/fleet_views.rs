//! Status and time line over several processes, with those that don't answer named.

#[path = "support/program.rs"]
mod program;

use std::net::SocketAddr;

use control::{
    PeerTls,
    inspect::{InspectService, StatusSource},
    server_tls,
};
use program::{Folder, run, run_well};
use serde_json::json;
use settings::ProcessTls;
use timeline::{BundleSource, Event, Note, Recorder, Timeline};
use tokio::{net::TcpListener, runtime::Runtime};
use tonic::transport::{Server, server::TcpIncoming};
use units::{BundleDigest, BundleVersion, Millis, ServiceId};
use wire::inspect::{MemberStatus, ServiceStatus, StatusReply};

struct Balancer(&'static str);

impl StatusSource for Balancer {
    fn status(&self) -> StatusReply {
        StatusReply {
            instance: self.0.to_owned(),
            role: "balancer".to_owned(),
            zone: "z1".to_owned(),
            services: vec![ServiceStatus {
                service: 1,
                name: "ledger".to_owned(),
                version: 7,
                digest: "ab".to_owned(),
            }],
            members: vec![MemberStatus {
                name: "endpoint 4".to_owned(),
                incarnation: 1,
                condition: "dead".to_owned(),
                is_leaving: false,
            }],
            ..StatusReply::default()
        }
    }
}

fn process_tls(folder: &Folder, authority: &str) -> ProcessTls {
    let authority = folder.path(authority);
    if !std::path::Path::new(&authority).exists() {
        run_well(&["key", "new", "authority", "--out", &authority]);
    }
    let tls = run_well(&["key", "new", "process", "--authority", &authority]);
    serde_json::from_str(&tls).unwrap()
}

/// Serves a process's calls.
fn serve(
    runtime: &Runtime,
    tls: &ProcessTls,
    name: &'static str,
    recorder: Recorder,
) -> SocketAddr {
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let config = server_tls(&PeerTls::new(
        tls.ca_pem.clone(),
        tls.certificate_pem.clone(),
        tls.key_pem.clone(),
    ));
    let calls = InspectService::server(name.parse().unwrap(), recorder, Balancer(name));
    let server = Server::builder().tls_config(config.unwrap()).unwrap();
    let incoming = TcpIncoming::from(listener);
    runtime.spawn(
        server
            .clone()
            .add_service(calls)
            .serve_with_incoming(incoming),
    );
    address
}

fn settings(folder: &Folder, tls: &ProcessTls, processes: &[(&str, SocketAddr)]) -> String {
    let processes: Vec<_> = processes
        .iter()
        .map(|it| json!({ "instance": it.0, "control_address": it.1 }))
        .collect();
    let settings = json!({ "processes": processes, "tls": tls });
    folder.write("operator.json", &settings.to_string())
}

/// What two balancers record when one's configuration service is down during a roll.
fn record_roll(near: &Recorder, far: &Recorder) {
    let service = ServiceId::new(1);
    let version = BundleVersion::new(7);
    let accepted = |source| Event::BundleAccepted {
        service,
        version,
        digest: BundleDigest::default(),
        source,
    };
    let cause = Note::new("no answer within 2000 ms");
    far.record_at(Event::PlatformDown { cause }, Millis::new(9_000));
    near.record_at(accepted(BundleSource::Platform), Millis::new(10_000));
    let source = BundleSource::Peer(Note::new("b-1"));
    far.record_at(accepted(source), Millis::new(16_000));
}

#[test]
fn views() {
    let folder = Folder::new("views");
    let runtime = Runtime::new().unwrap();
    let tls = process_tls(&folder, "authority");
    let (near, far) = (Recorder::new(), Recorder::new());
    record_roll(&near, &far);
    let near = serve(&runtime, &tls, "b-1", near);
    let far = serve(&runtime, &tls, "b-3", far);
    let whole = settings(&folder, &tls, &[("b-1", near), ("b-3", far)]);

    let out = run_well(&["timeline", "--settings", &whole]);
    let lines: Vec<_> = out.lines().collect();
    assert_eq!(lines.len(), 3, "{out}");
    assert!(
        lines[0].contains("b-3  configuration service down"),
        "{out}"
    );
    assert!(
        lines[2].contains("version 7 in force, from peer b-1"),
        "{out}"
    );

    let json = run_well(&["timeline", "--settings", &whole, "--format", "json"]);
    let timeline: Timeline = serde_json::from_str(&json).unwrap();
    assert_eq!(timeline.rows.len(), 3);
    let picture = folder.path("picture.svg");
    run_well(&[
        "timeline",
        "--settings",
        &whole,
        "--format",
        "svg",
        "--out",
        &picture,
    ]);
    assert!(std::fs::read_to_string(picture).unwrap().contains("</svg>"));

    let status = run_well(&["status", "--settings", &whole]);
    assert!(status.contains("version 7"), "{status}");
    assert!(status.contains("member endpoint 4: dead"), "{status}");

    let closed = SocketAddr::from(([127, 0, 0, 1], 9));
    let partial = settings(&folder, &tls, &[("b-1", near), ("b-2", closed)]);
    for command in ["status", "timeline"] {
        let ended = run(&[command, "--settings", &partial]);
        assert_eq!(ended.status, 3, "{}", ended.err);
        assert!(
            ended.out.contains("unreachable: b-2 at 127.0.0.1:9"),
            "{}",
            ended.out
        );
    }
    let nobody = settings(&folder, &tls, &[("b-2", closed)]);
    assert_eq!(run(&["status", "--settings", &nobody]).status, 1);
}

#[test]
fn foreign_certificate() {
    let folder = Folder::new("foreign");
    let runtime = Runtime::new().unwrap();
    let tls = process_tls(&folder, "authority");
    let address = serve(&runtime, &tls, "b-1", Recorder::new());
    let foreign = process_tls(&folder, "other");
    // Trusts the fleet's authority, but shows a certificate of another.
    let stranger = ProcessTls {
        ca_pem: tls.ca_pem,
        ..foreign
    };
    let settings = settings(&folder, &stranger, &[("b-1", address)]);
    for command in ["status", "timeline"] {
        let ended = run(&[command, "--settings", &settings]);
        assert_eq!(ended.status, 1, "{}", ended.out);
        assert!(
            ended.err.contains("no process could be reached"),
            "{}",
            ended.err
        );
    }
}
