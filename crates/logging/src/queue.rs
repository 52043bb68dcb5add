//! Lines go through a bounded queue to a thread that writes them, so that a slow reader never holds up the program.
//!
//! A line that finds the queue full is dropped and counted. While the queue is more than half full, an event that was
//! written often within the present second is folded: it is counted in place of being written. Both counts are
//! written as events of their own as soon as the queue has room.

use crate::EventLayout;
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error, Layout};
use shelfjunction_threads::BootInstant;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// Lines that may wait.
const CAPACITY: usize = 4_096;

/// Lines of one event within a second that are written while the queue is more than half full.
const LINES_PER_EVENT: u64 = 50;

/// Length of the spans in which an event's lines are counted.
const SPAN: Duration = Duration::from_secs(1);

/// Bytes gathered into one write.
const WRITE_BYTES: usize = 16 * 1024;

/// Longest wait for the queue to empty at the end of the program.
const FLUSH_WAIT: Duration = Duration::from_millis(500);

/// Counts of lines that were not written.
#[derive(Debug, Default)]
pub struct LogLosses {
    dropped: AtomicU64,
    folded: AtomicU64,
}

impl LogLosses {
    /// Lines that found the queue full.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Lines that were only counted because their event was written often.
    pub fn folded(&self) -> u64 {
        self.folded.load(Ordering::Relaxed)
    }
}

#[derive(Debug)]
struct EventCount {
    span_began: BootInstant,
    lines: u64,
    folded: u64,
}

/// Hands lines to the writing thread.
#[derive(Debug)]
pub struct QueuedLines {
    sender: SyncSender<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    losses: Arc<LogLosses>,
    events: Mutex<BTreeMap<String, EventCount>>,
}

impl QueuedLines {
    /// Starts the thread that writes to `target`.
    pub fn start(target: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(CAPACITY);
        let waiting = Arc::new(AtomicUsize::new(0));
        let losses = Arc::new(LogLosses::default());
        let writer = Writer {
            target,
            receiver,
            waiting: Arc::clone(&waiting),
            losses: Arc::clone(&losses),
            told: 0,
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())?;
        Ok(Self {
            sender,
            waiting,
            losses,
            events: Mutex::new(BTreeMap::new()),
        })
    }

    /// Counts of lines that were not written.
    pub fn losses(&self) -> Arc<LogLosses> {
        Arc::clone(&self.losses)
    }

    /// Whether an event's line is to be counted in place of being written.
    fn folds(&self, event: &str) -> bool {
        let crowded = self.waiting.load(Ordering::Relaxed) > CAPACITY / 2;
        let mut events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let now = BootInstant::now();
        let count = events.entry(event.to_owned()).or_insert(EventCount {
            span_began: now,
            lines: 0,
            folded: 0,
        });
        if now.since(count.span_began) >= SPAN {
            *count = EventCount {
                span_began: now,
                lines: 0,
                folded: 0,
            };
        }
        count.lines += 1;
        let folds = crowded && count.lines > LINES_PER_EVENT;
        count.folded += u64::from(folds);
        folds
    }
}

impl Append for QueuedLines {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        if self.folds(&record.payload().to_string()) {
            self.losses.folded.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = EventLayout.format(record, diagnostics)?;
        line.push(b'\n');
        self.waiting.fetch_add(1, Ordering::Relaxed);
        match self.sender.try_send(line) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.waiting.fetch_sub(1, Ordering::Relaxed);
                self.losses.dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        let until = BootInstant::now() + FLUSH_WAIT;
        while self.waiting.load(Ordering::Relaxed) > 0 && BootInstant::now() < until {
            thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
}

struct Writer<W> {
    target: W,
    receiver: Receiver<Vec<u8>>,
    waiting: Arc<AtomicUsize>,
    losses: Arc<LogLosses>,
    /// Lines not written that were told of.
    told: u64,
}

impl<W: Write> Writer<W> {
    fn run(mut self) {
        while let Ok(first) = self.receiver.recv() {
            let mut bytes = first;
            let mut lines = 1;
            while bytes.len() < WRITE_BYTES
                && let Ok(line) = self.receiver.try_recv()
            {
                bytes.extend_from_slice(&line);
                lines += 1;
            }
            bytes.extend_from_slice(&self.losses_line());
            // Nobody can be told that the log itself can't be written.
            let _ = self.target.write_all(&bytes).and_then(|()| self.target.flush());
            self.waiting.fetch_sub(lines, Ordering::Relaxed);
        }
    }

    /// A line that tells of lines not written, where there are new ones.
    fn losses_line(&mut self) -> Vec<u8> {
        let (dropped, folded) = (self.losses.dropped(), self.losses.folded());
        if dropped + folded == self.told {
            return Vec::new();
        }
        self.told = dropped + folded;
        format!("event=log_lines_not_written level=warn dropped={dropped} folded={folded}\n").into_bytes()
    }
}
