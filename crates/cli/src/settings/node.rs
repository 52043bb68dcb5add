//! Settings of the two programs of a machine.

use super::document::{self, Override, check_document};
use super::secrets;
use crate::exit::CommandError;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::setting::FieldError;
use shelfjunction_logging::LogLevel;
use std::fs;
use std::path::{Path, PathBuf};
use toml::{Table, Value};

/// Name of the field of a program's table that the root keys' file fills.
const ROOTS_FIELD: &str = "roots";

/// Settings of one program.
pub struct NodeSettings<T> {
    /// Least severe level of events that are written.
    pub log_level: LogLevel,
    /// The program's own settings, with what its files hold.
    pub program: T,
}

/// A program whose settings can be loaded.
pub trait ProgramSettings: Serialize + DeserializeOwned {
    /// Name of the program's table in the file.
    const TABLE: &'static str;

    /// Whether the program checks signatures and so needs the root keys.
    const HAS_ROOT_KEYS: bool = true;

    /// A table that is right and as short as possible.
    const TEMPLATE: &'static str;

    /// Makes relative paths start at the settings file's directory.
    fn resolve_paths(&mut self, directory: &Path);

    /// Every value out of range and every file that can't be read; empty when the program may start.
    fn range_errors(&self) -> Vec<FieldError>;
}

/// Fields beside the program's table.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct CommonFields {
    #[serde(default = "default_log_level")]
    log_level: String,
    root_keys_file: Option<PathBuf>,
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Name of the field that names the root keys' file.
const ROOT_KEYS_FIELD: &str = "root_keys_file";

const COMMON_TEMPLATE: &str = "root_keys_file = 'root-keys.toml'\n";

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
    let directory = path.parent().unwrap_or(Path::new(""));
    let mut errors = Vec::new();
    let common = check_common::<T>(&document, &mut errors);
    let log_level = check_level(&common.log_level, &mut errors);
    let roots = match &common.root_keys_file {
        Some(file) => read_roots(&document, &directory.join(file), &mut errors),
        None => SigningAuthority::default(),
    };
    let program = check_program::<T>(own, &roots, directory, &mut errors);
    match program {
        Some(program) if errors.is_empty() => Ok(NodeSettings { log_level, program }),
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

fn check_common<T: ProgramSettings>(document: &Table, errors: &mut Vec<FieldError>) -> CommonFields {
    let template = if T::HAS_ROOT_KEYS { COMMON_TEMPLATE } else { "" };
    let template = full_template::<CommonFields>(template);
    let (fields, faults) = check_document::<CommonFields>(document, &template);
    errors.extend(faults.into_iter().map(|mut fault| {
        if fault.allowed.starts_with("a known field") {
            fault.allowed.push_str(&format!(", `{}`", T::TABLE));
        }
        fault
    }));
    if T::HAS_ROOT_KEYS && !document.contains_key(ROOT_KEYS_FIELD) {
        errors.push(FieldError {
            field: ROOT_KEYS_FIELD.to_owned(),
            value: "(missing)".to_owned(),
            allowed: "a value such as \"root-keys.toml\"".to_owned(),
        });
    }
    fields.unwrap_or_else(|| CommonFields {
        log_level: default_log_level(),
        root_keys_file: None,
    })
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

/// Reads the root keys; a path that is itself missing or mistyped is not reported again as a file.
fn read_roots(document: &Table, path: &Path, errors: &mut Vec<FieldError>) -> SigningAuthority {
    let is_given = document.get("root_keys_file").is_some_and(Value::is_str);
    if !is_given {
        return SigningAuthority::default();
    }
    secrets::read_root_keys("root_keys_file", path).unwrap_or_else(|faults| {
        errors.extend(faults);
        SigningAuthority::default()
    })
}

fn check_program<T: ProgramSettings>(
    own: Option<Value>,
    roots: &SigningAuthority,
    directory: &Path,
    errors: &mut Vec<FieldError>,
) -> Option<T> {
    let Some(Value::Table(mut own)) = own else {
        errors.push(FieldError {
            field: T::TABLE.to_owned(),
            value: "(missing)".to_owned(),
            allowed: format!("a table [{}]", T::TABLE),
        });
        return None;
    };
    if let Ok(roots) = Value::try_from(roots) {
        own.insert(ROOTS_FIELD.to_owned(), roots);
    }
    let (program, faults) = check_document::<T>(&own, &full_template::<T>(T::TEMPLATE));
    errors.extend(faults.into_iter().map(|fault| FieldError {
        field: format!("{}.{}", T::TABLE, fault.field),
        ..fault
    }));
    let mut program = program?;
    program.resolve_paths(directory);
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
