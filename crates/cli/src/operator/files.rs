//! Files of an operator: bundles and signing keys.

use crate::exit::CommandError;
use serde::{Deserialize, Serialize};
use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::bundle::signature::{self, KEY_BYTES, OperatorSignature, Statement};
use shelfjunction_core::bundle::validate;
use shelfjunction_core::identity::OperatorId;
use shelfjunction_core::setting::FieldError;
use std::fs::{self, OpenOptions};
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;

/// Permissions of a file with a secret: its owner alone reads and writes it.
const SECRET_FILE_MODE: u32 = 0o600;

/// An operator's signing key.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyFile {
    /// Whose key it is.
    pub operator: OperatorId,
    /// The secret key in hexadecimal.
    pub secret_key: String,
}

impl KeyFile {
    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, CommandError> {
        let text = read_text("--key", path)?;
        let file: Self = toml::from_str(&text)
            .map_err(|cause| fault("--key", path, &format!("a key file ({})", cause.message())))?;
        file.secret()
            .ok_or_else(|| fault("--key", path, "a secret_key of 64 hexadecimal digits"))?;
        Ok(file)
    }

    /// Signs a statement.
    pub fn sign(&self, statement: &Statement) -> Result<OperatorSignature, CommandError> {
        let secret = self
            .secret()
            .ok_or_else(|| CommandError::Failed("the key can't be read".to_owned()))?;
        Ok(signature::sign(&secret, self.operator.clone(), statement))
    }

    fn secret(&self) -> Option<[u8; KEY_BYTES]> {
        let mut secret = [0; KEY_BYTES];
        hex::decode_to_slice(&self.secret_key, &mut secret).ok()?;
        Some(secret)
    }
}

/// Reads a bundle and checks it: TOML, or JSON when the name ends with `.json`.
pub fn read_valid_bundle(path: &Path) -> Result<Bundle, CommandError> {
    let bundle = read_bundle(path)?;
    let faults = validate::validate(&bundle);
    if faults.is_empty() {
        Ok(bundle)
    } else {
        Err(CommandError::InvalidBundle(faults))
    }
}

fn read_bundle(path: &Path) -> Result<Bundle, CommandError> {
    let text = read_text("FILE", path)?;
    let is_json = path.extension().is_some_and(|extension| extension == "json");
    if is_json {
        serde_json::from_str(&text)
            .map_err(|cause| fault("FILE", path, &format!("a bundle in JSON ({cause})")))
    } else {
        toml::from_str(&text).map_err(|cause| fault("FILE", path, &format!("a bundle in TOML ({cause})")))
    }
}

/// Writes a secret to a new file that only its owner may read; a file that exists is left as it is.
pub fn write_secret(path: &Path, text: &str) -> Result<(), CommandError> {
    let write = || {
        OpenOptions::new()
            .write(true)
            .create_new(true)
            .mode(SECRET_FILE_MODE)
            .open(path)?
            .write_all(text.as_bytes())
    };
    write().map_err(|cause| CommandError::Failed(format!("{} can't be written: {cause}", path.display())))
}

/// Reads a text; `field` names it in the error.
pub fn read_text(field: &str, path: &Path) -> Result<String, CommandError> {
    fs::read_to_string(path)
        .map_err(|cause| fault(field, path, &format!("a file that can be read ({cause})")))
}

fn fault(field: &str, path: &Path, allowed: &str) -> CommandError {
    CommandError::Settings(vec![FieldError {
        field: field.to_owned(),
        value: path.display().to_string(),
        allowed: allowed.to_owned(),
    }])
}
