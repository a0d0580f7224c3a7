//! Invalid settings of the processes for passthrough flows are rejected with the field's name.

use serde_json::{Value, json};
use settings::{PassthroughAgentSettings, PassthroughBalancerSettings, parse_settings};

fn balancer_settings() -> Value {
    json!({
        "instance": "edge-1", "availability_zone": "a", "address": "10.1.0.10",
        "caller_address": "10.1.0.10:8172", "peer_port": 7720, "link_mbps": 11.0,
        "seeds": ["10.1.0.10:8166"], "store_address": "10.200.1.7:8169",
        "readiness_address": "10.1.0.10:8167", "stop_grace_s": 6,
    })
}

fn agent_settings() -> Value {
    json!({
        "instance": "side-1", "availability_zone": "a", "address": "10.1.0.12",
        "service": "ledger", "endpoint_address": "10.1.0.12:8165",
        "outbound_address": "10.1.0.12:8162", "caller_address": "10.1.0.12:8172",
        "peer_port": 7720, "readiness_address": "10.1.0.12:8167",
    })
}

#[test]
fn valid_settings_are_parsed() {
    let settings: PassthroughBalancerSettings =
        parse_settings(&balancer_settings().to_string()).unwrap();
    assert_eq!(settings.link_mbps, 11);
    assert_eq!(settings.stop_grace_ms.get(), 6_000);
    assert_eq!(settings.seed_instances().len(), 1);
    let settings: PassthroughAgentSettings = parse_settings(&agent_settings().to_string()).unwrap();
    assert_eq!(settings.peer_address(), "10.1.0.12:7720".parse().unwrap());
}

#[test]
fn errors_in_balancer_settings_name_the_field() {
    let cases = [
        ("caller_address", json!("10.1.0.10:0"), "caller_address"),
        ("peer_port", json!(8172), "peer_port"),
        ("peer_port", json!(0), "peer_port"),
        ("store_address", json!("store"), "invalid socket address"),
        ("link_mbps", json!(0), "link_mbps"),
        ("link_mbps", json!(-4), "not a valid speed"),
        ("link_mbps", json!(1e10), "link_mbps"),
        ("link_mbps", json!("11"), "string"),
        (
            "extra_openings_percent",
            json!(20.5),
            "give 0 to 20 percent",
        ),
        ("extra_openings_percent", json!(-1), "give 0 to 20 percent"),
        ("extra_openings_percent", json!("2"), "string"),
        ("stop_grace_s", json!(0), "stop_grace_s"),
        ("stop_grace_s", json!(0.0001), "stop_grace_s"),
        ("stop_grace_s", json!(-0.5), "`stop_grace_s`: `-0.5`"),
        ("stop_grace_s", json!(86_400.5), "at most 86400"),
        ("stop_grace_s", json!(true), "boolean"),
        ("instance", json!(""), "instance"),
        ("unknown", json!(1), "unknown field"),
    ];
    for (field, value, expected) in cases {
        let mut settings = balancer_settings();
        settings[field] = value;
        let result = parse_settings::<PassthroughBalancerSettings>(&settings.to_string());
        let error = result.expect_err(field).to_string();
        assert!(error.contains(expected), "{field}: {error}");
    }
}

#[test]
fn errors_in_agent_settings_name_the_field() {
    let cases = [
        ("service", json!(""), "`service`"),
        ("endpoint_address", json!("10.1.0.12:0"), "endpoint_address"),
        ("peer_port", json!(8162), "peer_port"),
        ("address", json!("side-1"), "IP"),
    ];
    for (field, value, expected) in cases {
        let mut settings = agent_settings();
        settings[field] = value;
        let result = parse_settings::<PassthroughAgentSettings>(&settings.to_string());
        let error = result.expect_err(field).to_string();
        assert!(error.contains(expected), "{field}: {error}");
    }
}

/// Guards against a balancer that doesn't start because the platform writes a number as a fraction.
#[test]
fn numbers_may_be_fractions() {
    let cases = [
        ("stop_grace_s", json!(6), 6_000, 11),
        ("stop_grace_s", json!(6.0), 6_000, 11),
        ("stop_grace_s", json!(6.5), 6_500, 11),
        ("stop_grace_s", json!(0.001), 1, 11),
        ("stop_grace_s", json!(86_400.0), 86_400_000, 11),
        ("link_mbps", json!(11), 6_000, 11),
        ("link_mbps", json!(11.9), 6_000, 11),
        ("link_mbps", json!(0.5), 6_000, 1),
        ("link_mbps", json!(1_000.0), 6_000, 1_000),
    ];
    for (field, value, grace_ms, link_mbps) in cases {
        let mut settings = balancer_settings();
        settings[field] = value.clone();
        let parsed: PassthroughBalancerSettings = parse_settings(&settings.to_string()).unwrap();
        let found = (parsed.stop_grace_ms.get(), parsed.link_mbps);
        assert_eq!(found, (grace_ms, link_mbps), "{field}: {value}");
        let written = serde_json::to_string(&parsed).unwrap();
        let again: PassthroughBalancerSettings = parse_settings(&written).unwrap();
        assert_eq!(again, parsed, "{written}");
    }
}

#[test]
fn extra_openings_are_a_share_in_percent() {
    let parsed = |value: Value| {
        let mut settings = balancer_settings();
        if !value.is_null() {
            settings["extra_openings_percent"] = value;
        }
        let parsed: PassthroughBalancerSettings = parse_settings(&settings.to_string()).unwrap();
        let written = serde_json::to_string(&parsed).unwrap();
        let again: PassthroughBalancerSettings = parse_settings(&written).unwrap();
        assert_eq!(again, parsed, "{written}");
        parsed.extra_openings_bp.get()
    };
    for (value, share) in [
        (Value::Null, 0),
        (json!(0), 0),
        (json!(2), 200),
        (json!(0.29), 29),
        (json!(1.139), 113),
        (json!(20), 2_000),
    ] {
        assert_eq!(parsed(value.clone()), share, "{value}");
    }
}
