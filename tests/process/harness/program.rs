//! One program under test: started, watched through its lines, signalled and ended by its own identifier.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]

use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a line; a test that waits longer hangs and is ended.
const LINE_LIMIT: Duration = Duration::from_secs(60);

/// A running program. Dropping it kills it and waits for its end.
pub struct Program {
    name: String,
    child: Child,
    lines: Arc<Lines>,
}

/// Lines that a program has printed, on either stream.
#[derive(Default)]
struct Lines {
    state: Mutex<LineState>,
    changed: Condvar,
}

impl Lines {
    /// A test that failed while it held the lines leaves them as they are.
    fn state(&self) -> MutexGuard<'_, LineState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Default)]
struct LineState {
    lines: Vec<String>,
    open_streams: usize,
}

/// Position among a program's lines, so that a wait sees only later ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinePosition(usize);

impl Program {
    /// Starts a program of this workspace; `binary` is its file name.
    pub fn start(binary: &str, name: &str, arguments: &[String]) -> Self {
        let path = binary_path(binary);
        let mut child = Command::new(&path)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap_or_else(|error| panic!("{}: {error}; build the workspace first", path.display()));
        let lines = Arc::new(Lines::default());
        lines.state().open_streams = 2;
        follow(child.stdout.take().unwrap(), &lines);
        follow(child.stderr.take().unwrap(), &lines);
        Self {
            name: name.to_owned(),
            child,
            lines,
        }
    }

    /// Where the program's lines end now.
    pub fn position(&self) -> LinePosition {
        LinePosition(self.lines.state().lines.len())
    }

    /// Waits for a line after `from` that holds every one of `parts`.
    pub fn wait_for_line(&self, from: LinePosition, parts: &[&str]) -> String {
        let end = Instant::now() + LINE_LIMIT;
        let mut state = self.lines.state();
        loop {
            let found = state.lines[from.0.min(state.lines.len())..]
                .iter()
                .find(|line| parts.iter().all(|part| line.contains(part)));
            if let Some(line) = found {
                return line.clone();
            }
            let left = end.saturating_duration_since(Instant::now());
            assert!(
                state.open_streams > 0 && !left.is_zero(),
                "{} printed no line with {parts:?}; it printed:\n{}",
                self.name,
                state.lines.join("\n")
            );
            state = self.lines.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    /// Waits for the line that tells an address under `key`, as in `address=127.0.0.1:80`.
    pub fn wait_for_address(&self, key: &str) -> SocketAddr {
        let marker = format!("{key}=");
        let line = self.wait_for_line(LinePosition::default(), &["listening", &marker]);
        let mut words = line.split_whitespace().map(|word| word.trim_matches('"'));
        let address = words.find_map(|word| word.strip_prefix(&marker));
        let address = address.unwrap_or_else(|| panic!("no {key} in {line}"));
        address
            .trim_matches('"')
            .parse()
            .unwrap_or_else(|error| panic!("{line}: {error}"))
    }

    /// Everything the program has printed, on either stream.
    pub fn output(&self) -> String {
        self.lines.state().lines.join("\n")
    }

    /// Sends a signal; returns from one that stops the program only when all of it stands still.
    pub fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).unwrap();
        if signal == Signal::STOP {
            let (_, status) = waitpid(Some(self.pid()), WaitOptions::UNTRACED).unwrap().unwrap();
            assert!(status.stopped(), "{status:?}");
        }
    }

    /// Kills the program and waits for its end.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Waits for the program to end by itself.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let end = Instant::now() + LINE_LIMIT;
        let mut state = self.lines.state();
        while state.open_streams > 0 {
            let left = end.saturating_duration_since(Instant::now());
            assert!(
                !left.is_zero(),
                "{} does not end:\n{}",
                self.name,
                state.lines.join("\n")
            );
            state = self.lines.changed.wait_timeout(state, left).unwrap().0;
        }
        drop(state);
        self.child.wait().unwrap()
    }

    /// Its identifier.
    pub fn pid(&self) -> Pid {
        Pid::from_child(&self.child)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // A stopped process is killed just the same; nothing is left to do if it has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
        if thread::panicking() {
            let state = self.lines.state();
            let start = state.lines.len().saturating_sub(SHOWN_LINES);
            eprintln!(
                "last lines of {}:\n{}",
                self.name,
                state.lines[start..].join("\n")
            );
        }
    }
}

/// Lines shown of each program when a test fails.
const SHOWN_LINES: usize = 30;

fn follow(stream: impl Read + Send + 'static, lines: &Arc<Lines>) {
    let lines = Arc::clone(lines);
    thread::spawn(move || {
        for line in BufReader::new(stream).lines() {
            let Ok(line) = line else { break };
            lines.state().lines.push(line);
            lines.changed.notify_all();
        }
        lines.state().open_streams -= 1;
        lines.changed.notify_all();
    });
}

/// The program's file, next to the directory that holds the test's own.
fn binary_path(binary: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let directory = test.parent().and_then(|deps| deps.parent()).unwrap();
    directory.join(binary)
}
