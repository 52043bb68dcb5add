//! Options of a subcommand as given on its command line.

use super::Command;
use getopts::Matches;
use serde::de::DeserializeOwned;
use shelfjunction_core::setting::FieldError;
use std::fmt::Display;
use std::str::FromStr;

/// Why a command did not do its work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandError {
    /// Options or settings are wrong: exit code 2.
    Usage(String),
    /// Refused or failed: exit code 1.
    Failed(String),
}

impl CommandError {
    /// A failure with what the system said.
    pub fn failed(doing: &str, error: impl Display) -> Self {
        Self::Failed(format!("{doing}: {error}"))
    }

    /// All wrong settings together; absent when there are none.
    pub fn wrong_settings(errors: &[FieldError]) -> Option<Self> {
        if errors.is_empty() {
            return None;
        }
        let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
        Some(Self::Usage(lines.join("\n")))
    }
}

/// Parsed options.
pub struct Options {
    matches: Matches,
}

impl Options {
    /// Parses a command's options; absent when help was asked for and printed.
    pub fn parse(command: &Command, arguments: &[String]) -> Result<Option<Self>, CommandError> {
        let mut declared = getopts::Options::new();
        declared.optflag("h", "help", "print this help");
        (command.declare)(&mut declared);
        let matches = declared
            .parse(arguments)
            .map_err(|error| CommandError::Usage(error.to_string()))?;
        if matches.opt_present("help") {
            let brief = format!(
                "{}\n\nUsage: shelfjunction-lab {} [OPTIONS]\nExample: {}",
                command.summary, command.name, command.example
            );
            print!("{}", declared.usage(&brief));
            return Ok(None);
        }
        if let Some(unknown) = matches.free.first() {
            return Err(CommandError::Usage(format!("unexpected argument: {unknown}")));
        }
        Ok(Some(Self { matches }))
    }

    /// Whether a flag was given.
    pub fn flag(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// The text of an option.
    pub fn text(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Every text of an option that may be given more than once.
    pub fn texts(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// The value of an option, when it was given.
    pub fn value<T>(&self, name: &str) -> Result<Option<T>, CommandError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = self.matches.opt_str(name) else {
            return Ok(None);
        };
        match text.parse() {
            Ok(value) => Ok(Some(value)),
            Err(error) => Err(CommandError::Usage(format!("--{name} {text}: {error}"))),
        }
    }

    /// The settings of the file named by `--settings`, or the defaults where none is named.
    pub fn settings<T>(&self) -> Result<T, CommandError>
    where
        T: DeserializeOwned + Default,
    {
        let Some(path) = self.text("settings") else {
            return Ok(T::default());
        };
        let wrong = |error: &dyn Display| CommandError::Usage(format!("--settings {path}: {error}"));
        let text = std::fs::read_to_string(&path).map_err(|error| wrong(&error))?;
        toml::from_str(&text).map_err(|error| wrong(&error))
    }

    /// The value of an option, or a default.
    pub fn value_or<T>(&self, name: &str, default: T) -> Result<T, CommandError>
    where
        T: FromStr,
        T::Err: Display,
    {
        Ok(self.value(name)?.unwrap_or(default))
    }

    /// The value of an option that must be given.
    pub fn required<T>(&self, name: &str) -> Result<T, CommandError>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.value(name)?
            .ok_or_else(|| CommandError::Usage(format!("--{name} is missing")))
    }
}
