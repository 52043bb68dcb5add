//! Settings of the two programs of a machine.

use super::document::{self, Override, check_document};
use super::secrets;
use crate::exit::CommandError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::setting::FieldError;
use shelfjunction_core::tenancy::CacheSecret;
use shelfjunction_logging::LogLevel;
use std::fs;
use std::path::{Path, PathBuf};
use toml::Table;

/// Settings of one program with what its files hold.
pub struct NodeSettings<T> {
    /// Least severe level of events that are written.
    pub log_level: LogLevel,
    /// Public root keys, which sign the first bundle.
    pub root_keys: SigningAuthority,
    /// Secret that all nodes share.
    pub cache_secret: CacheSecret,
    /// The program's own settings.
    pub program: T,
}

/// A program whose settings can be loaded.
pub trait ProgramSettings: Serialize + DeserializeOwned {
    /// Name of the program's table in the file.
    const TABLE: &'static str;

    /// A file that is right and as short as possible.
    const TEMPLATE: &'static str;

    /// Every value out of range; empty when the program may start.
    fn range_errors(&self) -> Vec<FieldError>;
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CommonFields {
    #[serde(default = "default_log_level")]
    log_level: String,
    root_keys_file: PathBuf,
    cache_secret_file: PathBuf,
}

fn default_log_level() -> String {
    "info".to_owned()
}

const COMMON_TEMPLATE: &str = "root_keys_file = 'root-keys.toml'\ncache_secret_file = 'cache-secret'\n";

/// Loads a program's settings from a file and flags; every fault is in the error.
///
/// Relative paths inside the file start at the file's directory.
pub fn load<T: ProgramSettings>(
    path: &Path,
    overrides: &[Override],
) -> Result<NodeSettings<T>, CommandError> {
    let mut document = read_document(path)?;
    for change in overrides {
        document::set(&mut document, &change.path, change.value.clone());
    }
    let own = document.remove(T::TABLE);
    let mut errors = Vec::new();
    let common = check_common(&document, T::TABLE, &mut errors);
    let program = check_program::<T>(own, &mut errors);
    let directory = path.parent().unwrap_or(Path::new(""));
    let log_level = check_level(&common.log_level, &mut errors);
    // A path that is itself missing is reported once, not again as a file that can't be read.
    let root_keys = read_named(&document, "root_keys_file", &mut errors, |field| {
        secrets::read_root_keys(field, &directory.join(&common.root_keys_file))
    });
    let cache_secret = read_named(&document, "cache_secret_file", &mut errors, |field| {
        secrets::read_cache_secret(field, &directory.join(&common.cache_secret_file))
    });
    match (root_keys, cache_secret, program) {
        (Some(root_keys), Some(cache_secret), Some(program)) if errors.is_empty() => Ok(NodeSettings {
            log_level,
            root_keys,
            cache_secret,
            program,
        }),
        _ => Err(CommandError::Settings(errors)),
    }
}

fn read_document(path: &Path) -> Result<Table, CommandError> {
    let fault = |allowed: String| {
        CommandError::Settings(vec![FieldError {
            field: "--settings".to_owned(),
            value: path.display().to_string(),
            allowed,
        }])
    };
    let text =
        fs::read_to_string(path).map_err(|cause| fault(format!("a file that can be read ({cause})")))?;
    toml::from_str(&text).map_err(|cause| fault(format!("TOML ({cause})")))
}

fn check_common(document: &Table, table: &str, errors: &mut Vec<FieldError>) -> CommonFields {
    let template = full_template::<CommonFields>(COMMON_TEMPLATE);
    let (fields, faults) = check_document::<CommonFields>(document, &template);
    errors.extend(faults.into_iter().map(|mut fault| {
        if fault.allowed.starts_with("a known field") {
            fault.allowed.push_str(&format!(", `{table}`"));
        }
        fault
    }));
    fields.unwrap_or_else(|| CommonFields {
        log_level: default_log_level(),
        root_keys_file: PathBuf::new(),
        cache_secret_file: PathBuf::new(),
    })
}

fn check_program<T: ProgramSettings>(own: Option<toml::Value>, errors: &mut Vec<FieldError>) -> Option<T> {
    let own = match own {
        Some(toml::Value::Table(table)) => table,
        _ => {
            errors.push(FieldError {
                field: T::TABLE.to_owned(),
                value: "(missing)".to_owned(),
                allowed: format!("a table [{}]", T::TABLE),
            });
            return None;
        }
    };
    let (program, faults) = check_document::<T>(&own, &full_template::<T>(T::TEMPLATE));
    errors.extend(faults.into_iter().map(|fault| FieldError {
        field: format!("{}.{}", T::TABLE, fault.field),
        ..fault
    }));
    let program = program?;
    errors.extend(program.range_errors());
    Some(program)
}

/// The short template with every default filled in.
fn full_template<T: Serialize + DeserializeOwned>(short: &str) -> Table {
    let value: Option<T> = toml::from_str(short).ok();
    value
        .and_then(|value| Table::try_from(&value).ok())
        .unwrap_or_default()
}

fn check_level(text: &str, errors: &mut Vec<FieldError>) -> LogLevel {
    text.parse().unwrap_or_else(|_| {
        errors.push(FieldError {
            field: "log_level".to_owned(),
            value: format!("{text:?}"),
            allowed: shelfjunction_logging::LEVELS.to_owned(),
        });
        LogLevel::default()
    })
}

fn read_named<V>(
    document: &Table,
    field: &str,
    errors: &mut Vec<FieldError>,
    read: impl FnOnce(&str) -> Result<V, Vec<FieldError>>,
) -> Option<V> {
    if !document.get(field).is_some_and(toml::Value::is_str) {
        return None;
    }
    match read(field) {
        Ok(value) => Some(value),
        Err(faults) => {
            errors.extend(faults);
            None
        }
    }
}
