//! Every settings file of the stand-ins under `examples/` is accepted by the program that it is for.
#![allow(clippy::unwrap_used)]

use std::path::{Path, PathBuf};
use std::process::Command;

/// Engines of each deployment: nine that run models and three applications.
const ENGINES: usize = 12;

fn check(program: &str, settings: &Path) {
    let output = Command::new(env!("CARGO_BIN_EXE_shelfjunction-lab"))
        .args([program, "--check", "--settings"])
        .arg(settings)
        .output()
        .unwrap();
    let told = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{}: {told}", settings.display());
}

fn check_deployment(name: &str) {
    let place = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    check("platform", &place.join("platform.toml"));
    let engines: Vec<PathBuf> = std::fs::read_dir(place.join("engines"))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .collect();
    assert_eq!(engines.len(), ENGINES);
    engines.iter().for_each(|engine| check("engine", engine));
}

#[test]
fn the_pharmacy_stand_ins_accept_their_settings() {
    check_deployment("pharmacy");
}

#[test]
fn the_subtitle_stand_ins_accept_their_settings() {
    check_deployment("kadriks");
}

#[test]
fn an_unknown_setting_is_refused_with_its_name() {
    let file = std::env::temp_dir().join(format!("shelfjunction-lab-{}.toml", std::process::id()));
    std::fs::write(&file, "listen = \"127.0.0.1:0\"\nnonsense = 1\n").unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_shelfjunction-lab"))
        .args(["platform", "--check", "--settings"])
        .arg(&file)
        .output()
        .unwrap();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("nonsense"));
}
