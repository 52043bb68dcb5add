//! Settings of a node that change while it runs, taken at SIGHUP.

#![allow(clippy::unwrap_used)]

mod support;

use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, Stdio};
use support::directory;

/// A running node, killed when the test ends.
struct Node {
    child: Child,
    lines: BufReader<ChildStdout>,
}

impl Node {
    fn start(settings: &Path) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_shelfjunction"))
            .arg("node")
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap());
        Self { child, lines }
    }

    fn reload(&self) {
        let signalled = Command::new("kill")
            .args(["-HUP", &self.child.id().to_string()])
            .status();
        assert!(signalled.unwrap().success());
    }

    /// The next log line of an event; panics if the node ends without one.
    fn next(&mut self, event: &str) -> String {
        let mut line = String::new();
        while !line.contains(&format!("event={event} ")) {
            line.clear();
            assert!(self.lines.read_line(&mut line).unwrap() > 0, "no {event}");
        }
        line
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn settings(zones: &str) -> String {
    // Nothing listens at the store's address.
    format!(
        "[node]\nnode = 'node-1'\nzone = 'zone-a'\nlisten = '127.0.0.1:0'\nready_listen = '127.0.0.1:0'\npeer_listen = '127.0.0.1:0'\nstore = '127.0.0.1:1'\n{zones}"
    )
}

#[test]
fn a_node_takes_the_regions_of_new_settings_at_sighup_and_keeps_them_if_the_next_ones_are_faulty() {
    let file = directory("node-reload").join("node.toml");
    fs::write(&file, settings("")).unwrap();
    let mut node = Node::start(&file);
    node.next("started");
    let zones = "\n[node.topology.zones]\nzone-a = 'east'\nzone-b = 'west'\n";
    fs::write(&file, settings(zones)).unwrap();
    node.reload();
    let changed = node.next("topology_changed");
    assert!(changed.contains("regions=2"), "{changed}");
    let reloaded = node.next("settings_reloaded");
    assert!(reloaded.contains("needs_restart=false"), "{reloaded}");
    // The node's own zone is not named.
    fs::write(&file, settings("\n[node.topology.zones]\nzone-b = 'west'\n")).unwrap();
    node.reload();
    let refused = node.next("settings_refused");
    assert!(refused.contains("topology.zones"), "{refused}");
    // The first settings are taken as a change, so the faulty ones were not in force.
    fs::write(&file, settings("")).unwrap();
    node.reload();
    let changed = node.next("topology_changed");
    assert!(changed.contains("regions=1"), "{changed}");
}

#[test]
fn a_signal_to_reload_does_not_end_a_node_that_is_still_starting() {
    let file = directory("node-reload-at-start").join("node.toml");
    let made = Command::new("mkfifo").arg(&file).status();
    assert!(made.unwrap().success());
    let mut node = Node::start(&file);
    // Returns once the node reads its settings.
    let mut pipe = fs::OpenOptions::new().write(true).open(&file).unwrap();
    node.reload();
    pipe.write_all(settings("").as_bytes()).unwrap();
    fs::remove_file(&file).unwrap();
    fs::write(&file, settings("")).unwrap();
    drop(pipe);
    node.next("started");
    node.next("settings_reloaded");
}
