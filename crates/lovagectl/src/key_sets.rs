//! The command `key sign-set`: checks and signs a set of operators' public keys.

use bundle::{KeySet, KeySetDocument, Refusal};

use crate::{
    bundles::refusal_error,
    error::{CtlError, Result},
    files,
    flags::SignSet,
};

/// Checks and signs a key set document, and writes the signed key set.
pub(crate) fn sign_key_set(command: &SignSet) -> Result<()> {
    let text = files::read_text(&command.document)?;
    let document: KeySetDocument =
        serde_json::from_str(&text).map_err(|err| CtlError::Refused {
            path: command.document.clone(),
            refusal: Refusal::Schema {
                part: "key set",
                detail: err.to_string(),
            },
        })?;
    let root = files::read_secret_key(&command.root)?;
    let envelope = document.sign(&root);
    // Verifies the signed key set as a process that trusts this root key would.
    let trusted = KeySet::new(Vec::new()).with_roots(vec![root.public()]);
    let accepted = trusted
        .accept(&envelope)
        .map_err(refusal_error(&command.document))?;
    files::write_new_public(&command.out, &envelope)?;
    println!("version     {}", accepted.version());
    println!("digest      {}", accepted.digest());
    for key in accepted.keys() {
        let state = if key.retired_after.is_some() {
            "retired"
        } else {
            "in use"
        };
        println!("key         {} {state}", key.public_key.id());
    }
    Ok(())
}
