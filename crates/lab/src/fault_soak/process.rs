//! A node as a process of its own, signalled by its own identifier.

use rustix::process::{Pid, Signal, kill_process};
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
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
}

/// A running process. Dropping it kills it and waits for its end.
#[derive(Debug)]
pub struct NodeProcess {
    child: Child,
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
        Ok(Self { child })
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
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
            if matches!(self.child.try_wait(), Ok(Some(_))) {
                return true;
            }
            std::thread::sleep(LOOK_EVERY);
        }
        self.kill();
        false
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
