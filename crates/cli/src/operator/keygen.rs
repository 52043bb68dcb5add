//! `bundle keygen`.

use super::files::{self, KeyFile};
use super::print;
use crate::exit::CommandError;
use crate::options::{CommandLine, Parsed, Values};
use crate::usage;
use rand::TryRngCore;
use rand::rngs::OsRng;
use serde::Serialize;
use shelfjunction_core::bundle::digest::Digest;
use shelfjunction_core::bundle::signature::{self, KEY_BYTES, SigningOperator};
use shelfjunction_core::identity::OperatorId;
use std::path::Path;

/// Makes a secret and prints its public side.
pub fn run(arguments: &[String]) -> Result<(), CommandError> {
    let line = CommandLine::new(usage::KEYGEN)
        .value("kind", "operator, token or cache-secret", "KIND")
        .value("out", "file to write; must not exist", "FILE")
        .value("operator", "whose signing key it is", "NAME")
        .flag("json", "print JSON");
    let Parsed::Values(values) = line.parse(arguments)? else {
        return Ok(());
    };
    values.no_arguments()?;
    let kind = values.require("kind")?;
    let path = values.require_path("out")?;
    match kind.as_str() {
        "operator" => make_operator_key(&values, &path),
        "token" => make_token(&values, &path),
        "cache-secret" => files::write_secret(&path, &format!("{}\n", hex::encode(random_bytes()?))),
        other => Err(values.usage(&format!(
            "--kind {other}: allowed is operator, token or cache-secret"
        ))),
    }
}

fn make_operator_key(values: &Values, path: &Path) -> Result<(), CommandError> {
    let operator = values.require("operator")?;
    let secret = random_bytes()?;
    let file = KeyFile {
        operator: OperatorId::new(operator.as_str()),
        secret_key: hex::encode(secret),
    };
    let text = toml::to_string(&file)
        .map_err(|cause| CommandError::Failed(format!("the key can't be written: {cause}")))?;
    files::write_secret(path, &text)?;
    let public = SigningOperator {
        operator: file.operator,
        public_key: signature::public_key(&secret),
    };
    print_public(values, &public)
}

#[derive(Serialize)]
struct PublicToken {
    token_sha256: Digest,
}

fn make_token(values: &Values, path: &Path) -> Result<(), CommandError> {
    let token = hex::encode(random_bytes()?);
    files::write_secret(path, &format!("{token}\n"))?;
    let public = PublicToken {
        token_sha256: Digest::of(token.as_bytes()),
    };
    print_public(values, &public)
}

/// Prints what may be made public, as lines that fit into a bundle's TOML.
fn print_public<T: Serialize>(values: &Values, public: &T) -> Result<(), CommandError> {
    let lines = toml::to_string(public)
        .map_err(|cause| CommandError::Failed(format!("the answer can't be written: {cause}")))?;
    print::print(public, values.has("json"), |_| lines)
}

fn random_bytes() -> Result<[u8; KEY_BYTES], CommandError> {
    let mut bytes = [0; KEY_BYTES];
    OsRng
        .try_fill_bytes(&mut bytes)
        .map_err(|cause| CommandError::Failed(format!("the system gives no random numbers: {cause}")))?;
    Ok(bytes)
}
