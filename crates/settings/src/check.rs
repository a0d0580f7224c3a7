//! Checks that several settings files share.

use std::net::SocketAddr;

use bundle::PublicKey;
use units::Millis;

use crate::{CallerTls, ProcessTls, SettingsError, SharedKey};

/// Highest key index that fits the connection id's rotation bits.
const KEY_INDEX_MAX: u8 = 7;

/// Longest drain time that a process accepts, one day.
const DRAIN_MAX: Millis = Millis::new(24 * 3_600 * 1_000);

/// Checks that an address names a host and a port.
pub(crate) fn address(field: &'static str, address: SocketAddr) -> Result<(), SettingsError> {
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

/// Checks that our processes don't share the port of other packets.
pub(crate) fn distinct_ports(peer_port: u16, other_port: u16) -> Result<(), SettingsError> {
    if peer_port != other_port {
        return Ok(());
    }
    Err(SettingsError::Field {
        field: "peer_port",
        cause: format!("port {peer_port} is used for callers or the endpoint too"),
        remedy: "give a port that nothing else uses",
    })
}

/// Checks that a link carries anything.
pub(crate) fn link(field: &'static str, link_mbps: u32) -> Result<(), SettingsError> {
    if link_mbps > 0 {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        cause: "a link of 0 Mbit/s carries nothing".to_owned(),
        remedy: "give the link's speed in Mbit/s, 1 or more",
    })
}

/// Checks that a name is not empty.
pub(crate) fn name(field: &'static str, name: &str) -> Result<(), SettingsError> {
    if !name.is_empty() {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        cause: "the name is empty".to_owned(),
        remedy: "give the name that the operator's settings use",
    })
}

/// Checks that a list of addresses is not empty and each names a port.
pub(crate) fn addresses(field: &'static str, list: &[SocketAddr]) -> Result<(), SettingsError> {
    if list.is_empty() {
        let cause = "the list is empty".to_owned();
        return Err(SettingsError::Field {
            field,
            cause,
            remedy: "give at least one address",
        });
    }
    list.iter().try_for_each(|it| address(field, *it))
}

/// Checks that shared keys are there, in range and each index is used once.
pub(crate) fn shared_keys(field: &'static str, keys: &[SharedKey]) -> Result<(), SettingsError> {
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

/// Checks that there is a key to sign bundles with, and each key is given once.
pub(crate) fn operator_keys(keys: &[PublicKey]) -> Result<(), SettingsError> {
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

/// Checks that the texts look like PEM.
pub(crate) fn process_tls(tls: &ProcessTls) -> Result<(), SettingsError> {
    pem("tls.ca_pem", &tls.ca_pem)?;
    pem("tls.certificate_pem", &tls.certificate_pem)?;
    pem("tls.key_pem", &tls.key_pem)
}

/// Checks that the texts look like PEM.
pub(crate) fn caller_tls(tls: &CallerTls) -> Result<(), SettingsError> {
    pem("caller_tls.certificate_pem", &tls.certificate_pem)?;
    pem("caller_tls.key_pem", &tls.key_pem)
}

/// Checks that a drain time is between one millisecond and one day.
pub(crate) fn drain_timeout(field: &'static str, timeout: Millis) -> Result<(), SettingsError> {
    if timeout.get() > 0 && timeout <= DRAIN_MAX {
        return Ok(());
    }
    Err(SettingsError::Field {
        field,
        cause: format!("{timeout} is out of range"),
        remedy: "give more than nothing and at most one day",
    })
}

fn pem(field: &'static str, text: &str) -> Result<(), SettingsError> {
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
