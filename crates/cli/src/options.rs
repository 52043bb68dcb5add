//! Command lines: `getopts` with `--help` for each subcommand.

use crate::exit::CommandError;
use getopts::{Matches, Options};
use std::path::PathBuf;

/// Options of one subcommand, with its usage text.
pub struct CommandLine {
    brief: &'static str,
    options: Options,
}

/// What the arguments asked for.
pub enum Parsed {
    /// `--help` was given; the text was printed.
    HelpShown,
    /// The values.
    Values(Values),
}

/// Parsed values.
pub struct Values {
    matches: Matches,
    help: String,
}

impl CommandLine {
    /// Options of a subcommand; `brief` holds its usage line, what it does and an example.
    pub fn new(brief: &'static str) -> Self {
        let mut options = Options::new();
        options.optflag("h", "help", "print this text and exit");
        Self { brief, options }
    }

    /// Adds an option with a value.
    pub fn value(mut self, name: &str, description: &str, hint: &str) -> Self {
        self.options.optopt("", name, description, hint);
        self
    }

    /// Adds an option with a value that may be given several times.
    pub fn values(mut self, name: &str, description: &str, hint: &str) -> Self {
        self.options.optmulti("", name, description, hint);
        self
    }

    /// Adds an option without a value.
    pub fn flag(mut self, name: &str, description: &str) -> Self {
        self.options.optflag("", name, description);
        self
    }

    /// Parses the arguments; prints the help text when it is asked for.
    pub fn parse(self, arguments: &[String]) -> Result<Parsed, CommandError> {
        let help = self.options.usage(self.brief);
        let matches = self
            .options
            .parse(arguments)
            .map_err(|cause| CommandError::Usage(format!("{cause}\n\n{help}")))?;
        if matches.opt_present("help") {
            print!("{help}");
            return Ok(Parsed::HelpShown);
        }
        Ok(Parsed::Values(Values { matches, help }))
    }
}

impl Values {
    /// Value of an option.
    pub fn get(&self, name: &str) -> Option<String> {
        self.matches.opt_str(name)
    }

    /// Values of an option that may be given several times.
    pub fn all(&self, name: &str) -> Vec<String> {
        self.matches.opt_strs(name)
    }

    /// Whether a flag was given.
    pub fn has(&self, name: &str) -> bool {
        self.matches.opt_present(name)
    }

    /// Value of an option that must be given.
    pub fn require(&self, name: &str) -> Result<String, CommandError> {
        self.get(name)
            .ok_or_else(|| self.usage(&format!("--{name} is missing")))
    }

    /// Path of an option that must be given.
    pub fn require_path(&self, name: &str) -> Result<PathBuf, CommandError> {
        self.require(name).map(PathBuf::from)
    }

    /// A number that may be given.
    pub fn number(&self, name: &str) -> Result<Option<u64>, CommandError> {
        let parse = |text: String| {
            text.parse()
                .map_err(|_| self.usage(&format!("--{name} {text}: allowed is a whole number, 0 or more")))
        };
        self.get(name).map(parse).transpose()
    }

    /// The arguments that stand free.
    pub fn arguments(&self) -> &[String] {
        &self.matches.free
    }

    /// The one argument that stands free.
    pub fn one_argument(&self, what: &str) -> Result<String, CommandError> {
        match self.matches.free.as_slice() {
            [argument] => Ok(argument.clone()),
            [] => Err(self.usage(&format!("{what} is missing"))),
            _ => Err(self.usage(&format!(
                "one {what} is expected, not {}",
                self.matches.free.len()
            ))),
        }
    }

    /// Refuses arguments that stand free.
    pub fn no_arguments(&self) -> Result<(), CommandError> {
        match self.matches.free.first() {
            None => Ok(()),
            Some(argument) => Err(self.usage(&format!("unexpected argument {argument:?}"))),
        }
    }

    /// A usage error with the help text.
    pub fn usage(&self, fault: &str) -> CommandError {
        CommandError::Usage(format!("{fault}\n\n{}", self.help))
    }
}
