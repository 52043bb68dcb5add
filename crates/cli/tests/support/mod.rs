//! Runs the program and keeps files of a test in a directory of its own.
#![allow(dead_code)]

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// What the program did.
pub struct Ran {
    pub code: i32,
    pub out: String,
    pub error: String,
}

/// Runs `shelfjunction` in a directory.
pub fn run_in(directory: &Path, arguments: &[&str]) -> Ran {
    let output = Command::new(env!("CARGO_BIN_EXE_shelfjunction"))
        .args(arguments)
        .current_dir(directory)
        .output()
        .unwrap();
    Ran {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        error: String::from_utf8(output.stderr).unwrap(),
    }
}

/// A new directory for one test.
pub fn directory(test: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&path);
    fs::create_dir_all(&path).unwrap();
    path
}

/// The examples of the repository.
pub fn examples() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples")
}

impl Ran {
    /// Code, output and errors as one text.
    pub fn text(&self) -> String {
        format!("exit {}\n{}{}", self.code, self.out, self.error)
    }
}
