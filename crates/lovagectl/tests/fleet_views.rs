//! `status` and `timeline` cover several processes and list those that can't be reached.

#[path = "support/program.rs"]
mod program;

use std::net::SocketAddr;

use control::{
    PeerTls,
    inspect::{InspectService, StatusSource},
    server_tls,
};
use program::{TempFolder, run_lovagectl, run_lovagectl_ok};
use serde_json::json;
use settings::ProcessTls;
use timeline::{BundleSource, Event, Note, Recorder, Timeline};
use tokio::{net::TcpListener, runtime::Runtime};
use tonic::transport::{Server, server::TcpIncoming};
use units::{BundleDigest, BundleVersion, Millis, ServiceId};
use wire::inspect::{MemberStatus, ServiceStatus, StatusReply};

/// A fake balancer with the given instance name and a fixed status.
struct FakeBalancer(&'static str);

impl StatusSource for FakeBalancer {
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

/// Issues a process certificate of the named authority, which is generated on first use.
fn issue_process_tls(folder: &TempFolder, authority: &str) -> ProcessTls {
    let authority = folder.path_of(authority);
    if !std::path::Path::new(&authority).exists() {
        run_lovagectl_ok(&["key", "new", "authority", "--out", &authority]);
    }
    let tls = run_lovagectl_ok(&["key", "new", "process", "--authority", &authority]);
    serde_json::from_str(&tls).unwrap()
}

/// Spawns a gRPC server that serves one process's status and timeline; returns its address.
fn spawn_server(
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
    let calls = InspectService::server(name.parse().unwrap(), recorder, FakeBalancer(name));
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

/// Writes an operator settings file for the processes; returns its path.
fn write_settings(
    folder: &TempFolder,
    tls: &ProcessTls,
    processes: &[(&str, SocketAddr)],
) -> String {
    let processes: Vec<_> = processes
        .iter()
        .map(|it| json!({ "instance": it.0, "control_address": it.1 }))
        .collect();
    let settings = json!({ "processes": processes, "tls": tls });
    folder.write_file("operator.json", &settings.to_string())
}

/// Records the rollout of version 7, while `far` can't reach the configuration service.
fn record_rollout(near: &Recorder, far: &Recorder) {
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
fn status_and_timeline_cover_reachable_processes() {
    let folder = TempFolder::new("views");
    let runtime = Runtime::new().unwrap();
    let tls = issue_process_tls(&folder, "authority");
    let (near, far) = (Recorder::new(), Recorder::new());
    record_rollout(&near, &far);
    let near = spawn_server(&runtime, &tls, "b-1", near);
    let far = spawn_server(&runtime, &tls, "b-3", far);
    let both = write_settings(&folder, &tls, &[("b-1", near), ("b-3", far)]);

    let out = run_lovagectl_ok(&["timeline", "--settings", &both]);
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

    let json = run_lovagectl_ok(&["timeline", "--settings", &both, "--format", "json"]);
    let timeline: Timeline = serde_json::from_str(&json).unwrap();
    assert_eq!(timeline.rows.len(), 3);
    let svg_path = folder.path_of("picture.svg");
    run_lovagectl_ok(&[
        "timeline",
        "--settings",
        &both,
        "--format",
        "svg",
        "--out",
        &svg_path,
    ]);
    assert!(
        std::fs::read_to_string(svg_path)
            .unwrap()
            .contains("</svg>")
    );

    let status = run_lovagectl_ok(&["status", "--settings", &both]);
    assert!(status.contains("version 7"), "{status}");
    assert!(status.contains("member endpoint 4: dead"), "{status}");

    let closed_address = SocketAddr::from(([127, 0, 0, 1], 9));
    let partial = write_settings(&folder, &tls, &[("b-1", near), ("b-2", closed_address)]);
    for command in ["status", "timeline"] {
        let result = run_lovagectl(&[command, "--settings", &partial]);
        assert_eq!(result.status, 3, "{}", result.stderr);
        assert!(
            result.stdout.contains("unreachable: b-2 at 127.0.0.1:9"),
            "{}",
            result.stdout
        );
    }
    let none_reachable = write_settings(&folder, &tls, &[("b-2", closed_address)]);
    assert_eq!(
        run_lovagectl(&["status", "--settings", &none_reachable]).status,
        1
    );
}

#[test]
fn certificate_of_another_authority_is_refused() {
    let folder = TempFolder::new("foreign");
    let runtime = Runtime::new().unwrap();
    let tls = issue_process_tls(&folder, "authority");
    let address = spawn_server(&runtime, &tls, "b-1", Recorder::new());
    let other_tls = issue_process_tls(&folder, "other");
    // The client trusts the fleet's authority but presents a certificate of another authority.
    let client_tls = ProcessTls {
        ca_pem: tls.ca_pem,
        ..other_tls
    };
    let settings = write_settings(&folder, &client_tls, &[("b-1", address)]);
    for command in ["status", "timeline"] {
        let result = run_lovagectl(&[command, "--settings", &settings]);
        assert_eq!(result.status, 1, "{}", result.stdout);
        assert!(
            result.stderr.contains("no process could be reached"),
            "{}",
            result.stderr
        );
    }
}
