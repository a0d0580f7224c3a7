//! The commands `bundle check`, `bundle sign`, `bundle verify` and `bundle diff`.

use std::path::Path;

use bundle::{Bundle, KeySet, Refusal};
use serde::Deserialize;
use settings::OperatorSettings;
use units::BundleVersion;

use crate::{
    diff,
    error::{CtlError, Result},
    files,
    flags::{Check, Diff, Sign, Verify},
};

/// The field of a signed bundle that holds the text of the bundle document.
#[derive(Deserialize)]
struct EnvelopeDocument {
    document: String,
}

/// Checks a bundle document and prints a summary of the bundle.
pub(crate) fn check_bundle(command: &Check) -> Result<()> {
    let text = files::read_text(&command.document)?;
    let bundle = parse_document(&command.document, &text)?;
    print_summary(&bundle);
    println!("digest      {}", bundle::digest(&text));
    Ok(())
}

/// Checks and signs a bundle document, and writes the signed bundle.
pub(crate) fn sign_bundle(command: &Sign) -> Result<()> {
    let text = files::read_text(&command.document)?;
    let bundle = parse_document(&command.document, &text)?;
    check_chain(&bundle, command)?;
    let key = files::read_secret_key(&command.key)?;
    let envelope = bundle::sign(&text, &key);
    let keys = KeySet::new(vec![key.public()]);
    bundle::verify(&keys, &envelope).map_err(refusal_error(&command.document))?;
    files::write_new_public(&command.out, &envelope)?;
    print_summary(&bundle);
    println!("digest      {}", bundle::digest(&text));
    println!("signed by   {}", key.public().id());
    Ok(())
}

/// Verifies a signed bundle against the given public keys and prints a summary of the bundle.
pub(crate) fn verify_bundle(command: &Verify) -> Result<()> {
    let mut keys = command.public_key.clone();
    if let Some(path) = &command.settings {
        let settings: OperatorSettings = files::read_settings(path)?;
        keys.extend(settings.operator_keys);
    }
    if keys.is_empty() {
        let text = "no public key is given; give --public-key or --settings with operator_keys";
        return Err(CtlError::Usage(text.to_owned()));
    }
    let envelope = files::read_text(&command.bundle)?;
    let (bundle, digest) = bundle::verify(&KeySet::new(keys), envelope.as_bytes())
        .map_err(refusal_error(&command.bundle))?;
    print_summary(&bundle);
    println!("digest      {digest}");
    Ok(())
}

/// Prints the differences between two bundle documents or signed bundles.
pub(crate) fn print_bundle_diff(command: &Diff) -> Result<()> {
    let before = read_document(&command.before)?;
    let after = read_document(&command.after)?;
    for line in diff::diff_lines(&before, &after) {
        println!("{line}");
    }
    Ok(())
}

/// Checks that a bundle extends its service's chain of bundles.
///
/// The bundle must have the next version and name the digest of the previous bundle. Only version 1
/// may come without a previous bundle.
fn check_chain(bundle: &Bundle, command: &Sign) -> Result<()> {
    let Some(path) = &command.previous else {
        if bundle.version.get() <= 1 {
            return Ok(());
        }
        let text = format!(
            "version {} needs the signed bundle of the previous version; give it with --previous",
            bundle.version
        );
        return Err(CtlError::Usage(text));
    };
    let text = document_of_envelope(path, &files::read_text(path)?)?;
    let previous = parse_document(path, &text)?;
    let invalid = |field, detail: String| {
        let refusal = Refusal::Invalid { field, detail };
        Err(CtlError::Refused {
            path: command.document.clone(),
            refusal,
        })
    };
    if previous.service != bundle.service {
        let detail = format!(
            "must be {}, the service of the previous bundle",
            previous.service
        );
        return invalid("service", detail);
    }
    let expected = BundleVersion::new(previous.version.get() + 1);
    if bundle.version != expected {
        return invalid(
            "version",
            format!("must be {expected}, one more than the previous version"),
        );
    }
    let digest = bundle::digest(&text);
    if bundle.previous != Some(digest) {
        return invalid(
            "previous",
            format!("must be \"{digest}\", the digest of the previous bundle"),
        );
    }
    Ok(())
}

/// Parses a bundle document and checks it by every rule that needs no other document.
fn parse_document(path: &Path, text: &str) -> Result<Bundle> {
    let bundle: Bundle = serde_json::from_str(text).map_err(|err| CtlError::Refused {
        path: path.to_owned(),
        refusal: Refusal::Schema {
            part: "document",
            detail: err.to_string(),
        },
    })?;
    bundle::validate_bundle(&bundle).map_err(refusal_error(path))?;
    Ok(bundle)
}

/// Returns the bundle document inside a signed bundle without verifying the signature.
fn document_of_envelope(path: &Path, envelope: &str) -> Result<String> {
    let signed: EnvelopeDocument =
        serde_json::from_str(envelope).map_err(|err| CtlError::Content {
            path: path.to_owned(),
            cause: err.to_string(),
            remedy: "give a signed bundle as `lovagectl bundle sign` writes it",
        })?;
    Ok(signed.document)
}

/// Reads a bundle document, or the bundle document inside a signed bundle, as JSON.
fn read_document(path: &Path) -> Result<serde_json::Value> {
    let text = files::read_text(path)?;
    let document = match serde_json::from_str::<EnvelopeDocument>(&text) {
        Ok(signed) => signed.document,
        Err(_not_signed) => text,
    };
    serde_json::from_str(&document).map_err(|err| CtlError::Content {
        path: path.to_owned(),
        cause: err.to_string(),
        remedy: "give a bundle document or a signed bundle",
    })
}

/// Returns a function that turns a refusal into an error that names the refused file.
pub(crate) fn refusal_error(path: &Path) -> impl FnOnce(Refusal) -> CtlError {
    let path = path.to_owned();
    move |refusal| CtlError::Refused { path, refusal }
}

fn print_summary(bundle: &Bundle) {
    println!("service     {} ({})", bundle.service, bundle.name);
    println!("version     {}", bundle.version);
    let leaving = bundle.endpoints.iter().filter(|it| it.is_leaving).count();
    println!(
        "endpoints   {}, {leaving} of them leaving",
        bundle.endpoints.len()
    );
}
