//! The commands `key new operator`, `key new fleet` and `key new service`.

use bundle::SecretKey;
use flow::key::{FleetKey, Secret};
use settings::SharedKey;
use units::KeyIndex;

use crate::{
    error::{CtlError, Result},
    files,
    flags::{Fleet, Operator, Service},
};

/// Highest index of a new fleet key; index 7 is reserved.
const KEY_INDEX_MAX: u8 = 6;

/// Generates an operator's key pair, writes the secret key and prints the public key.
pub(crate) fn new_operator(command: &Operator) -> Result<()> {
    let key = SecretKey::new(rand::random());
    files::write_new_secret(&command.out, &format!("{}\n", key.to_secret_text()))?;
    println!("id          {}", key.public().id());
    println!("public key  {}", key.public());
    Ok(())
}

/// Generates a fleet key and prints it as JSON for the settings of balancers.
pub(crate) fn new_fleet(command: &Fleet) -> Result<()> {
    let index = command.index.unwrap_or_default();
    if index > KEY_INDEX_MAX {
        let text = format!("--index {index} is out of range; use 0 to {KEY_INDEX_MAX}");
        return Err(CtlError::Usage(text));
    }
    let key = SharedKey {
        index: KeyIndex::new(index),
        key: settings::SecretKey::new(rand::random()),
    };
    print_json(&key);
    Ok(())
}

/// Derives a service's key from the fleet key and prints it as JSON for the agents' settings.
pub(crate) fn derive_service_key(command: &Service) -> Result<()> {
    if command.service == flow::key::FLEET_SCOPE {
        let text = "service 0 is reserved for the balancers; give the id of a service".to_owned();
        return Err(CtlError::Usage(text));
    }
    let content_error = |cause: String| CtlError::Content {
        path: command.fleet_key.clone(),
        cause,
        remedy: "give a file with the output of `lovagectl key new fleet`",
    };
    let text = files::read_text(&command.fleet_key)?;
    let fleet_key: SharedKey =
        serde_json::from_str(&text).map_err(|err| content_error(err.to_string()))?;
    let fleet_key = FleetKey::new(fleet_key.index, Secret::new(*fleet_key.key.secret_bytes()))
        .map_err(|err| content_error(err.to_string()))?;
    let secret = fleet_key.service_secret(command.service).expose_hex();
    let key = SharedKey {
        index: fleet_key.index(),
        key: secret
            .parse()
            .map_err(|err: settings::SettingsError| content_error(err.to_string()))?,
    };
    print_json(&key);
    Ok(())
}

fn print_json(key: &SharedKey) {
    let text = serde_json::to_string(key).expect("a key has a JSON form");
    println!("{text}");
}
