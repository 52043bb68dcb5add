//! A reader that stands still holds nobody up: lines are dropped or folded, counted, and never cut in two.

#![allow(clippy::unwrap_used)]

use shelfjunction_logging::{LogLevel, QueuedLines, install_to};
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

/// A target whose first write waits until it is let go.
struct StandingReader {
    go: Option<Receiver<()>>,
    written: Arc<Mutex<Vec<u8>>>,
    wrote: Sender<()>,
}

impl Write for StandingReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if let Some(go) = self.go.take() {
            go.recv().unwrap();
        }
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        // The test may have ended.
        let _ = self.wrote.send(());
        Ok(())
    }
}

/// More lines than the queue holds, of one event.
const LINES: usize = 10_000;

#[test]
fn a_standing_reader_loses_lines_and_blocks_nobody() {
    let (go, gone) = channel();
    let (wrote, written_once) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let lines = QueuedLines::start(StandingReader {
        go: Some(gone),
        written: Arc::clone(&written),
        wrote,
    })
    .unwrap();
    let losses = lines.losses();
    install_to(LogLevel::Info, lines).unwrap();
    for number in 0..LINES {
        log::info!(number; "same_event");
    }
    assert!(
        losses.folded() > 0,
        "a crowded queue folds an event that comes often"
    );
    let kept = LINES as u64 - losses.dropped() - losses.folded();
    go.send(()).unwrap();
    let count = |what: &str| {
        let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
        text.lines().filter(|line| line.starts_with(what)).count() as u64
    };
    while count("event=same_event") < kept {
        written_once.recv().unwrap();
    }
    assert_eq!(count("event=same_event"), kept);
    assert!(count("event=log_lines_not_written") >= 1);
    let text = String::from_utf8(written.lock().unwrap().clone()).unwrap();
    assert!(
        text.lines().all(|line| line.starts_with("event=")),
        "only whole lines"
    );
}
