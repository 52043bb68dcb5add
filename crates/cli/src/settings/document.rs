//! Checks a TOML document field by field against a type, so that every fault is found and not only the first.
//!
//! A template that is known to be right is filled with the document's fields one at a time. What does not
//! deserialize then is the fault of that one field; a field without which the template itself does not deserialize
//! is required.

use serde::de::DeserializeOwned;
use shelfjunction_core::setting::FieldError;
use toml::{Table, Value};

/// A value given by a flag, which goes before the file's.
#[derive(Clone, Debug, PartialEq)]
pub struct Override {
    /// Path of the field, as in `gateway.listen`.
    pub path: Vec<String>,
    /// The value.
    pub value: Value,
}

impl Override {
    /// Reads `path=value`; a value that is no TOML is taken as text.
    pub fn parse(text: &str) -> Option<Self> {
        let (path, value) = text.split_once('=')?;
        Some(Self::new(path.trim(), value.trim()))
    }

    /// The plain text of a field.
    pub fn text(path: &str, value: &str) -> Self {
        Self {
            path: path.split('.').map(str::to_owned).collect(),
            value: Value::String(value.to_owned()),
        }
    }

    /// The value of a field, written as TOML or as plain text.
    pub fn new(path: &str, value: &str) -> Self {
        let parsed: Option<Table> = toml::from_str(&format!("value = {value}")).ok();
        let value = parsed
            .and_then(|mut table| table.remove("value"))
            .unwrap_or_else(|| Value::String(value.to_owned()));
        Self {
            path: path.split('.').map(str::to_owned).collect(),
            value,
        }
    }
}

/// Sets the field at `path`, making tables on the way.
pub fn set(table: &mut Table, path: &[String], value: Value) {
    let Some((first, rest)) = path.split_first() else {
        return;
    };
    if rest.is_empty() {
        table.insert(first.clone(), value);
        return;
    }
    let inner = table
        .entry(first.clone())
        .or_insert_with(|| Value::Table(Table::new()));
    if !inner.is_table() {
        *inner = Value::Table(Table::new());
    }
    if let Value::Table(inner) = inner {
        set(inner, rest, value);
    }
}

/// Checks every field of `document` and gives the typed value, with the template's value for each faulty field.
///
/// `template` must deserialize to `T` and hold every field that may be absent together with its default.
pub fn check_document<T: DeserializeOwned>(
    document: &Table,
    template: &Table,
) -> (Option<T>, Vec<FieldError>) {
    let mut errors = Vec::new();
    let mut accepted = template.clone();
    for (path, value) in leaves(document, template) {
        let mut candidate = template.clone();
        set(&mut candidate, &path, value.clone());
        match deserialize::<T>(&candidate) {
            Ok(_) => set(&mut accepted, &path, value),
            Err(message) => errors.push(fault(&path, &value, &message)),
        }
    }
    for (path, value) in leaves(template, template) {
        let mut candidate = template.clone();
        remove(&mut candidate, &path);
        if find(document, &path).is_none() && deserialize::<T>(&candidate).is_err() {
            errors.push(FieldError {
                field: path.join("."),
                value: "(missing)".to_owned(),
                allowed: format!("a value such as {value}"),
            });
        }
    }
    (deserialize(&accepted).ok(), errors)
}

fn deserialize<T: DeserializeOwned>(table: &Table) -> Result<T, String> {
    Value::Table(table.clone())
        .try_into()
        .map_err(|cause: toml::de::Error| cause.message().to_owned())
}

/// Fields of `table` with their paths; a table that the template has too is looked into, any other is one field.
fn leaves(table: &Table, template: &Table) -> Vec<(Vec<String>, Value)> {
    let mut found = Vec::new();
    for (key, value) in table {
        match (value, template.get(key)) {
            (Value::Table(inner), Some(Value::Table(inner_template))) => {
                for (mut path, value) in leaves(inner, inner_template) {
                    path.insert(0, key.clone());
                    found.push((path, value));
                }
            }
            _ => found.push((vec![key.clone()], value.clone())),
        }
    }
    found
}

fn find<'a>(table: &'a Table, path: &[String]) -> Option<&'a Value> {
    let (first, rest) = path.split_first()?;
    let value = table.get(first)?;
    match (rest.is_empty(), value) {
        (true, value) => Some(value),
        (false, Value::Table(inner)) => find(inner, rest),
        // The outer field has a wrong type and is reported as a whole.
        (false, value) => Some(value),
    }
}

fn remove(table: &mut Table, path: &[String]) {
    match path {
        [] => {}
        [last] => {
            table.remove(last);
        }
        [first, rest @ ..] => {
            if let Some(Value::Table(inner)) = table.get_mut(first) {
                remove(inner, rest);
            }
        }
    }
}

fn fault(path: &[String], value: &Value, message: &str) -> FieldError {
    let unknown = message.starts_with("unknown field");
    let allowed = match message.split_once(", expected ") {
        Some((_, expected)) if unknown => format!("a known field: {expected}"),
        Some((_, expected)) => in_plain_words(expected),
        None => in_plain_words(message),
    };
    FieldError {
        field: path.join("."),
        value: value.to_string().trim().replace('\n', " "),
        allowed,
    }
}

/// The words of a person for what the deserializer expected.
fn in_plain_words(expected: &str) -> String {
    let words = match expected {
        "invalid socket address syntax" | "socket address" => {
            "a numeric address with a port, as in 127.0.0.1:8080"
        }
        "u8" | "u16" | "u32" | "u64" | "usize" => "a whole number, 0 or more",
        "f64" => "a number",
        "a string" => "text in quotes",
        "a boolean" => "true or false",
        other => other,
    };
    words.to_owned()
}
