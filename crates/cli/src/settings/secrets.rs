//! Secrets and keys, read from files and never from flags; their values are never part of a message.

use shelfjunction_core::bundle::signature::{self, SigningAuthority};
use shelfjunction_core::setting::FieldError;
use std::fs;
use std::path::Path;

/// Reads the public root keys that sign the first bundle: a TOML file with `required_signatures` and `[[operators]]`.
pub fn read_root_keys(field: &str, path: &Path) -> Result<SigningAuthority, Vec<FieldError>> {
    let text = read_file(field, path)?;
    let authority: SigningAuthority =
        toml::from_str(&text).map_err(|cause| fault(field, path, cause.message()))?;
    let count = authority.operators.len();
    let required = authority.required_signatures as usize;
    if required == 0 || required > count {
        let allowed = format!("required_signatures from 1 to the number of operators ({count})");
        return Err(fault(field, path, &allowed));
    }
    match authority
        .operators
        .iter()
        .find(|operator| !signature::is_public_key(&operator.public_key))
    {
        None => Ok(authority),
        Some(wrong) => {
            let allowed = format!(
                "an Ed25519 public key of 64 hexadecimal digits for {}",
                wrong.operator
            );
            Err(fault(field, path, &allowed))
        }
    }
}

/// Reads a secret text such as a bearer token: the file's only line.
pub fn read_secret_text(field: &str, path: &Path) -> Result<String, Vec<FieldError>> {
    let text = read_file(field, path)?.trim().to_owned();
    if text.is_empty() || text.contains(char::is_whitespace) {
        return Err(fault(field, path, "a file with one line without spaces"));
    }
    Ok(text)
}

fn read_file(field: &str, path: &Path) -> Result<String, Vec<FieldError>> {
    fs::read_to_string(path)
        .map_err(|cause| fault(field, path, &format!("a file that can be read ({cause})")))
}

fn fault(field: &str, path: &Path, allowed: &str) -> Vec<FieldError> {
    vec![FieldError {
        field: field.to_owned(),
        value: path.display().to_string(),
        allowed: allowed.to_owned(),
    }]
}
