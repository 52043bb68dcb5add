//! A node as a process of its own, signalled by its own identifier.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Pause between two looks at whether a process has ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How a node is started, each time alike.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Its settings file.
    pub settings: PathBuf,
    /// File to which every start of it writes its log.
    pub log: PathBuf,
    /// The most memory that any start of it had resident, in bytes.
    pub peak_memory: Arc<AtomicU64>,
}

/// A running process. Dropping it kills it and waits for its end.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
    peak_memory: Arc<AtomicU64>,
}

impl NodeProcess {
    /// Starts a node.
    pub fn start(launch: &Launch) -> io::Result<Self> {
        let log = open_log(&launch.log)?;
        let child = Command::new(&launch.program)
            .arg("node")
            .arg("--settings")
            .arg(&launch.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            child,
            peak_memory: Arc::clone(&launch.peak_memory),
        })
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        self.note_memory();
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Makes it stand still.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Lets it go on.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Tells it that its settings have changed.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Tells it to stop and waits for its end; kills it after `grace`. Whether it ended by itself.
    pub fn stop(&mut self, grace: Duration) -> bool {
        self.signal(Signal::TERM);
        let until = Instant::now() + grace;
        while Instant::now() < until {
            self.note_memory();
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(LOOK_EVERY);
        }
        self.kill();
        false
    }

    /// Notes the most memory that it had resident so far; nothing of a process that has ended.
    pub fn note_memory(&self) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let text = status.unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB")?.parse::<u64>().ok());
        if let Some(kilobytes) = kilobytes {
            self.peak_memory.fetch_max(kilobytes * 1024, Ordering::Relaxed);
        }
    }

    /// Whether it has ended without being told to.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    fn signal(&self, signal: Signal) {
        // A process that has ended needs no signal; its identifier stays its own until it is waited for.
        let _ = kill_process(Pid::from_child(&self.child), signal);
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn open_log(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}
