//! A node as a process of its own, with the memory and descriptors of a small machine.

use crate::crowd;
use crate::stand_ins::Platform;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use tempfile::TempDir;

/// What the machine of a process has.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    /// Memory, in bytes.
    pub memory_bytes: usize,
    /// Most open descriptors, enforced by the kernel.
    pub descriptors: usize,
}

/// Tries to start a node.
const MAX_STARTS: usize = 5;

/// Descriptors of engines' and the store's connections that rest behind a crowd.
const MAX_DESCRIPTORS_LEFT: usize = 20;

/// A running node, killed when it is dropped.
pub struct NodeProcess {
    child: Child,
    address: SocketAddr,
    machine: Resources,
    descriptors_at_rest: usize,
    _directory: TempDir,
    _alone: MutexGuard<'static, ()>,
}

/// Crowds run one at a time: memory is judged apart from other load.
pub static ALONE: Mutex<()> = Mutex::new(());

impl NodeProcess {
    /// Starts a node and waits until it serves.
    pub fn start(platform: &Platform, machine: Resources) -> Self {
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let directory = TempDir::new().unwrap();
        let settings = directory.path().join("node.toml");
        // Another process may take an address that was free a moment ago.
        let started = (0..MAX_STARTS).find_map(|_| {
            let address = free_address();
            fs::write(&settings, settings_text(platform, machine, address)).unwrap();
            Some((start_program(&settings, machine)?, address))
        });
        let (child, address) = started.expect("the node has ended");
        let mut node = Self {
            child,
            address,
            machine,
            descriptors_at_rest: 0,
            _directory: directory,
            _alone: alone,
        };
        // Answered with 503 until the node knows its engines.
        while crowd::ask(node.address, crowd::Framing::Length { piece_bytes: 1 }, 1) != 200 {
            thread::yield_now();
        }
        node.descriptors_at_rest = node.open_descriptors();
        node
    }

    /// Where callers are served.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a small request as often as it is refused for now; the status of its answer.
    pub fn ask_ordinary(&self, name: &str) -> u16 {
        crowd::ask_until_taken(self.address, name)
    }

    /// Waits until the process has closed the connections of a crowd that has left, or has ended.
    pub fn wait_until_crowd_is_gone(&mut self) {
        while self.child.try_wait().unwrap().is_none()
            && self.open_descriptors() > self.descriptors_at_rest + MAX_DESCRIPTORS_LEFT
        {
            thread::yield_now();
        }
    }

    /// Panics unless the process lives within the machine's memory and descriptors.
    pub fn check(&mut self, when: &str) {
        let ended = self.child.try_wait().unwrap();
        assert!(ended.is_none(), "{when}: ended with {ended:?}");
        let (memory, descriptors) = (peak_memory_bytes(self.child.id()), self.open_descriptors());
        println!("{when}: at most {memory} bytes of memory, {descriptors} descriptors now");
        assert!(
            memory <= self.machine.memory_bytes,
            "{when}: {memory} bytes of memory"
        );
        assert!(
            descriptors <= self.machine.descriptors * 9 / 10,
            "{when}: {descriptors} descriptors"
        );
    }

    fn open_descriptors(&self) -> usize {
        open_descriptors(self.child.id())
    }
}

/// The most memory of a process that was resident at once.
pub fn peak_memory_bytes(process: u32) -> usize {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
}

/// Descriptors that a process has open.
pub fn open_descriptors(process: u32) -> usize {
    fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// An address that nothing listens on.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn settings_text(platform: &Platform, machine: Resources, address: SocketAddr) -> String {
    format!(
        "log_level = 'info'\n[node]\nnode = 'node-1'\nzone = 'zone-a'\nlisten = '{address}'\nready_listen = '127.0.0.1:0'\npeer_listen = '127.0.0.1:0'\nstore = '{}'\nfirst_start = true\nentering_spread_millis = 0\nmemory_megabytes = {}\ndescriptors = {}\n[node.roles]\nenabled = false\n",
        platform.store.address(),
        machine.memory_bytes / 1_000_000,
        machine.descriptors,
    )
}

/// Starts a node and waits for the line that says so; absent if it has ended before. The rest of its log is read to its end in a thread of
/// its own.
fn start_program(settings: &Path, machine: Resources) -> Option<Child> {
    let mut child = Command::new("sh")
        .arg("-c")
        .arg(format!(
            "ulimit -n {}; exec \"$0\" node --settings \"$1\"",
            machine.descriptors
        ))
        .arg(program())
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
    let has_started = lines
        .by_ref()
        .any(|line| line.unwrap().contains("event=started "));
    if !has_started {
        child.wait().unwrap();
        return None;
    }
    thread::spawn(move || lines.for_each(drop));
    Some(child)
}

fn program() -> PathBuf {
    let test = std::env::current_exe().unwrap();
    test.ancestors().nth(2).unwrap().join("shelfjunction")
}
