//! The line of an event.

use jiff::Timestamp;
use logforth::kv::{KeyView, ValueView, Visitor};
use logforth::record::Record;
use logforth::{Diagnostic, Error, Layout};
use std::fmt::Write;

/// Writes `event=NAME level=LEVEL time=TIME module=MODULE` and then the event's own pairs.
///
/// The layout that comes with `logforth` puts the event behind the time and writes line breaks inside values as they
/// are; here a value never ends its line, so no caller can forge an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventLayout;

impl Layout for EventLayout {
    fn format(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<Vec<u8>, Error> {
        let mut line = Line::default();
        line.push("event", &record.payload().to_string());
        line.push("level", &record.level().name().to_ascii_lowercase());
        if let Ok(time) = Timestamp::try_from(record.time()) {
            line.push("time", &format!("{time:.6}"));
        }
        line.push("module", record.target());
        record.key_values().visit(&mut line)?;
        for diagnostic in diagnostics {
            diagnostic.visit(&mut line)?;
        }
        Ok(line.text.into_bytes())
    }
}

#[derive(Debug, Default)]
struct Line {
    text: String,
}

impl Line {
    fn push(&mut self, key: &str, value: &str) {
        if !self.text.is_empty() {
            self.text.push(' ');
        }
        for letter in key.chars() {
            self.text.push(if is_plain(letter) { letter } else { '_' });
        }
        self.text.push('=');
        if !value.is_empty() && value.chars().all(is_plain) {
            self.text.push_str(value);
        } else {
            // Writing to a string never fails.
            let _ = write!(self.text, "\"{}\"", value.escape_debug());
        }
    }
}

impl Visitor for Line {
    fn visit(&mut self, key: KeyView, value: ValueView) -> Result<(), Error> {
        self.push(key.as_str(), &value.to_string());
        Ok(())
    }
}

/// Whether a letter can stand without quotes.
fn is_plain(letter: char) -> bool {
    !letter.is_whitespace() && !letter.is_control() && !matches!(letter, '=' | '"' | '\\')
}
