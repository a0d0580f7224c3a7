//! Checks of single values, shared by the settings of several programs.

use std::net::SocketAddr;

use bundle::PublicKey;
use units::Millis;

use crate::{CallerTls, ProcessTls, SettingsError, SharedKey};

/// Highest key index that fits the rotation bits of a connection id.
const KEY_INDEX_MAX: u8 = 7;

/// Maximum drain timeout of a process, one day.
const DRAIN_TIMEOUT_MAX: Millis = Millis::new(24 * 3_600 * 1_000);

/// Checks that an address has a port.
pub(crate) fn check_address(field: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
    if address.port() == 0 {
        let cause = format!("`{address}` has port 0");
        return Err(SettingsError::Field {
            field,
            cause,
            remedy: "give a port from 1 to 65535",
        });
    }
    Ok(())
}

/// Checks that the peer port differs from a port for the packets of callers or of the endpoint.
pub(crate) fn check_distinct_ports(peer_port: u16, other_port: u16) -> Result<(), SettingsError> {
    if peer_port != other_port {
        return Ok(());
    }
    Err(SettingsError::Field {
        field: "peer_port",
        cause: format!("port {peer_port} is also used for callers or the endpoint"),
        remedy: "give a port that is not used otherwise",
    })
}

/// Checks that a link's speed is not zero.
pub(crate) fn check_link_mbps(field: &'static str, link_mbps: u32) -> Result<(), SettingsError> {
    if link_mbps > 0 {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        cause: "the link's speed is 0 Mbit/s".to_owned(),
        remedy: "give the link's speed in Mbit/s, 1 or more",
    })
}

/// Checks that the name of a service is not empty.
pub(crate) fn check_service_name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    if !name.is_empty() {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        cause: "the name is empty".to_owned(),
        remedy: "give the name that the operator's settings use",
    })
}

/// Checks that a list of addresses is not empty and that each address has a port.
pub(crate) fn check_addresses(
    field: &'static str,
    list: &[SocketAddr],
) -> Result<(), SettingsError> {
    if list.is_empty() {
        let cause = "the list is empty".to_owned();
        return Err(SettingsError::Field {
            field,
            cause,
            remedy: "give at least one address",
        });
    }
    list.iter().try_for_each(|it| check_address(field, *it))
}

/// Checks that there is at least one shared key, and that the key indexes are in range and unique.
pub(crate) fn check_shared_keys(
    field: &'static str,
    keys: &[SharedKey],
) -> Result<(), SettingsError> {
    if keys.is_empty() {
        let cause = "no key is given".to_owned();
        let remedy = "give at least one key; `lovagectl key new` makes them";
        return Err(SettingsError::Field {
            field,
            cause,
            remedy,
        });
    }
    for (idx, key) in keys.iter().enumerate() {
        if key.index.get() > KEY_INDEX_MAX {
            let cause = format!("index {} is out of range", key.index);
            return Err(SettingsError::Field {
                field,
                cause,
                remedy: "use an index from 0 to 7",
            });
        }
        if keys[..idx].iter().any(|it| it.index == key.index) {
            let cause = format!("index {} is given twice", key.index);
            return Err(SettingsError::Field {
                field,
                cause,
                remedy: "give each index once",
            });
        }
    }
    Ok(())
}

/// Checks that there is at least one operator key, and that each key is given only once.
pub(crate) fn check_operator_keys(keys: &[PublicKey]) -> Result<(), SettingsError> {
    let field = "operator_keys";
    if keys.is_empty() {
        let cause = "no key is given".to_owned();
        let remedy = "give the public key of at least one operator; no bundle is accepted without";
        return Err(SettingsError::Field {
            field,
            cause,
            remedy,
        });
    }
    for (idx, key) in keys.iter().enumerate() {
        if keys[..idx].contains(key) {
            let cause = format!("key {} is given twice", key.id());
            return Err(SettingsError::Field {
                field,
                cause,
                remedy: "give each key once",
            });
        }
    }
    Ok(())
}

/// Checks that the certificates and the key for calls between processes look like PEM.
pub(crate) fn check_process_tls(tls: &ProcessTls) -> Result<(), SettingsError> {
    check_pem_text("tls.ca_pem", &tls.ca_pem)?;
    check_pem_text("tls.certificate_pem", &tls.certificate_pem)?;
    check_pem_text("tls.key_pem", &tls.key_pem)
}

/// Checks that the certificate and the key for callers look like PEM.
pub(crate) fn check_caller_tls(tls: &CallerTls) -> Result<(), SettingsError> {
    check_pem_text("caller_tls.certificate_pem", &tls.certificate_pem)?;
    check_pem_text("caller_tls.key_pem", &tls.key_pem)
}

/// Checks that a drain timeout is between one millisecond and one day.
pub(crate) fn check_drain_timeout(
    field: &'static str,
    timeout: Millis,
) -> Result<(), SettingsError> {
    if timeout.get() > 0 && timeout <= DRAIN_TIMEOUT_MAX {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        cause: format!("{timeout} is out of range"),
        remedy: "give more than 0 and at most one day",
    })
}

fn check_pem_text(field: &'static str, text: &str) -> Result<(), SettingsError> {
    if text.contains("-----BEGIN ") {
        return Ok(());
    }
    let cause = "the text is not PEM".to_owned();
    let remedy = "paste the whole PEM text with its `-----BEGIN` line, `\\n` for each line end";
    Err(SettingsError::Field {
        field,
        cause,
        remedy,
    })
}
