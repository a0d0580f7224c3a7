//! `bundle check`, `bundle sign`, `bundle verify` and `bundle diff`.

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

/// The part of a signed bundle that holds the document's text.
#[derive(Deserialize)]
struct SignedText {
    document: String,
}

/// Checks a document.
pub(crate) fn check(command: &Check) -> Result<()> {
    let text = files::read_text(&command.document)?;
    let bundle = parse_document(&command.document, &text)?;
    print_summary(&bundle);
    println!("digest      {}", bundle::digest(&text));
    Ok(())
}

/// Signs a document.
pub(crate) fn sign(command: &Sign) -> Result<()> {
    let text = files::read_text(&command.document)?;
    let bundle = parse_document(&command.document, &text)?;
    check_previous(&bundle, command)?;
    let key = files::read_secret(&command.key)?;
    let envelope = bundle::sign(&text, &key);
    let keys = KeySet::new(vec![key.public()]);
    bundle::verify(&keys, &envelope).map_err(refused(&command.document))?;
    files::write_new_public(&command.out, &envelope)?;
    print_summary(&bundle);
    println!("digest      {}", bundle::digest(&text));
    println!("signed by   {}", key.public().id());
    Ok(())
}

/// Verifies a signed bundle.
pub(crate) fn verify(command: &Verify) -> Result<()> {
    let mut keys = command.public_key.clone();
    if let Some(path) = &command.settings {
        let settings: OperatorSettings = files::read_settings(path)?;
        keys.extend(settings.operator_keys);
    }
    if keys.is_empty() {
        let text = "no key to verify with; give --public-key or --settings with operator_keys";
        return Err(CtlError::Usage(text.to_owned()));
    }
    let envelope = files::read_text(&command.bundle)?;
    let (bundle, digest) = bundle::verify(&KeySet::new(keys), envelope.as_bytes())
        .map_err(refused(&command.bundle))?;
    print_summary(&bundle);
    println!("digest      {digest}");
    Ok(())
}

/// Shows what differs between two documents or signed bundles.
pub(crate) fn diff(command: &Diff) -> Result<()> {
    let before = read_either(&command.before)?;
    let after = read_either(&command.after)?;
    for line in diff::lines(&before, &after) {
        println!("{line}");
    }
    Ok(())
}

/// A version after the first must name the digest of the one before.
fn check_previous(bundle: &Bundle, command: &Sign) -> Result<()> {
    let Some(path) = &command.previous else {
        if bundle.version.get() <= 1 {
            return Ok(());
        }
        let text = format!(
            "version {} follows another; give that signed bundle with --previous",
            bundle.version
        );
        return Err(CtlError::Usage(text));
    };
    let text = signed_text(path, &files::read_text(path)?)?;
    let previous = parse_document(path, &text)?;
    let invalid = |field, detail: String| {
        let refusal = Refusal::Invalid { field, detail };
        Err(CtlError::Refused {
            path: command.document.clone(),
            refusal,
        })
    };
    if previous.service != bundle.service {
        let detail = format!("differs from the previous bundle's, {}", previous.service);
        return invalid("service", detail);
    }
    let expected = BundleVersion::new(previous.version.get() + 1);
    if bundle.version != expected {
        return invalid(
            "version",
            format!("must be {expected}, one after the previous"),
        );
    }
    let digest = bundle::digest(&text);
    if bundle.previous != Some(digest) {
        return invalid(
            "previous",
            format!("must be \"{digest}\", the digest of the previous"),
        );
    }
    Ok(())
}

fn parse_document(path: &Path, text: &str) -> Result<Bundle> {
    let bundle: Bundle = serde_json::from_str(text).map_err(|err| CtlError::Refused {
        path: path.to_owned(),
        refusal: Refusal::Schema {
            part: "document",
            detail: err.to_string(),
        },
    })?;
    bundle::check(&bundle).map_err(refused(path))?;
    Ok(bundle)
}

fn signed_text(path: &Path, envelope: &str) -> Result<String> {
    let signed: SignedText = serde_json::from_str(envelope).map_err(|err| CtlError::Content {
        path: path.to_owned(),
        cause: err.to_string(),
        remedy: "give a signed bundle as `lovagectl bundle sign` writes it",
    })?;
    Ok(signed.document)
}

/// Reads a document, or the document inside a signed bundle.
fn read_either(path: &Path) -> Result<serde_json::Value> {
    let text = files::read_text(path)?;
    let document = match serde_json::from_str::<SignedText>(&text) {
        Ok(signed) => signed.document,
        Err(_not_signed) => text,
    };
    serde_json::from_str(&document).map_err(|err| CtlError::Content {
        path: path.to_owned(),
        cause: err.to_string(),
        remedy: "give a bundle document or a signed bundle",
    })
}

pub(crate) fn refused(path: &Path) -> impl FnOnce(Refusal) -> CtlError {
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
