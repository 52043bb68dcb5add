//! The line of an event: the event first, and no value that ends the line or forges a pair.
#![allow(clippy::unwrap_used)]

use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use shelfjunction_logging::{EventLayout, LogLevel, install_to};
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, Default)]
struct Lines(Arc<Mutex<Vec<String>>>);

impl Append for Lines {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let line = EventLayout.format(record, diagnostics)?;
        self.0.lock().unwrap().push(String::from_utf8(line).unwrap());
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

/// The line without its time, which differs from run to run.
fn without_time(line: &str) -> String {
    line.split(' ')
        .filter(|pair| !pair.starts_with("time="))
        .collect::<Vec<_>>()
        .join(" ")
}

#[test]
fn an_event_is_one_line_of_pairs_and_the_level_is_kept() {
    let lines = Lines::default();
    install_to(LogLevel::Info, lines.clone()).unwrap();
    log::info!(request = "r-1", generation = 7; "request_finished");
    log::debug!("not_written");
    log::warn!(path = "/a b\nevent=forged level=\"x\"", empty = ""; "hostile_path");
    assert!(install_to(LogLevel::Off, lines.clone()).is_err());

    let written: Vec<String> = lines
        .0
        .lock()
        .unwrap()
        .iter()
        .map(|line| without_time(line))
        .collect();
    assert!(written.iter().all(|line| !line.contains('\n')));
    insta::assert_snapshot!(written.join("\n"), @r#"
    event=request_finished level=info module=layout request=r-1 generation=7
    event=hostile_path level=warn module=layout path="/a b\nevent=forged level=\"x\"" empty=""
    "#);
}
