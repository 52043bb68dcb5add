//! Exit codes and messages of the program, and the examples that it must accept.
#![allow(clippy::unwrap_used)]

mod support;

use std::fs;
use std::os::unix::fs::PermissionsExt;
use support::{directory, examples, run_in};

const COMMANDS: [&[&str]; 19] = [
    &["cordons"],
    &["pool-engines"],
    &["regions"],
    &["duties"],
    &["gateway"],
    &["controller"],
    &["bundle", "validate"],
    &["bundle", "keygen"],
    &["bundle", "propose"],
    &["bundle", "sign"],
    &["bundle", "rollout"],
    &["bundle", "rollback"],
    &["bundle", "history"],
    &["bundle", "show"],
    &["status"],
    &["engines"],
    &["usage"],
    &["requests", "show"],
    &["requests", "cancel"],
];

#[test]
fn every_command_has_help_with_an_example() {
    let place = examples();
    for command in COMMANDS {
        let help = run_in(&place, &[command, &["--help"]].concat());
        assert_eq!(help.code, 0, "{command:?}");
        assert!(
            help.out.contains(&format!("Usage: shelfjunction {}", command[0])),
            "{command:?}"
        );
        assert!(help.out.contains("\nExample:\n  shelfjunction "), "{command:?}");
        let misused = run_in(&place, &[command, &["--no-such-option"]].concat());
        assert_eq!(misused.code, 2, "{command:?}");
    }
    let version = run_in(&place, &["--version"]);
    assert_eq!((version.code, version.out.trim()), (0, "shelfjunction 0.1.0"));
    assert_eq!(run_in(&place, &[]).code, 2);
    assert_eq!(run_in(&place, &["no-such-command"]).code, 2);
    assert_eq!(run_in(&place, &["bundle", "no-such-command"]).code, 2);
}

#[test]
fn every_example_is_in_order() {
    let mut checked = 0;
    for deployment in ["pharmacy", "kadriks"] {
        let place = examples().join(deployment);
        assert_eq!(run_in(&place, &["bundle", "validate", "bundle.toml"]).code, 0);
        for entry in fs::read_dir(&place).unwrap() {
            let name = entry.unwrap().file_name().into_string().unwrap();
            for program in ["gateway", "controller"] {
                if name.ends_with(&format!("-{program}.toml")) {
                    let ran = run_in(&place, &[program, "--settings", &name, "--check"]);
                    assert_eq!(ran.text(), "exit 0\nsettings are in order\n", "{name}");
                    checked += 1;
                }
            }
        }
    }
    assert_eq!(checked, 12);
}

#[test]
fn every_wrong_setting_is_reported_at_once() {
    let place = directory("wrong-settings");
    let settings = "\
log_level = \"loud\"
colour = 3
root_keys_file = \"nowhere.toml\"

[gateway]
node = 5
zone = \"zone-a\"
listen = \"localhost:80\"
controllers = [\"127.0.0.1:7000\"]
platform = \"127.0.0.1:9000\"
cache_secret_file = \"nowhere\"

[gateway.requests]
streams = 0
default_max_tokens = \"many\"
";
    fs::write(place.join("gateway.toml"), settings).unwrap();
    let ran = run_in(&place, &["gateway", "--settings", "gateway.toml", "--check"]);
    insta::assert_snapshot!(ran.text(), @r#"
    exit 2
    colour = 3: allowed is a known field: `log_level` or `root_keys_file`, `gateway`
    log_level = "loud": allowed is off, error, warn, info, debug or trace
    root_keys_file = nowhere.toml: allowed is a file that can be read (No such file or directory (os error 2))
    gateway.listen = "localhost:80": allowed is a numeric address with a port, as in 127.0.0.1:8080
    gateway.node = 5: allowed is text in quotes
    gateway.requests.default_max_tokens = "many": allowed is a whole number, 0 or more
    gateway.region = (missing): allowed is a value such as "region"
    gateway.requests.streams = 0: allowed is 1 to 65536
    gateway.cache_secret_file = nowhere (No such file or directory (os error 2)): allowed is a readable file
    "#);
}

#[test]
fn flags_go_before_the_file_and_a_secret_is_never_shown() {
    let place = directory("flags");
    let example = examples().join("pharmacy/sthlm-a-gateway.toml");
    let example = example.to_str().unwrap();
    let ran = run_in(
        &place,
        &[
            "gateway",
            "--settings",
            example,
            "--check",
            "--listen",
            "nowhere",
            "--set",
            "gateway.requests.streams=0",
        ],
    );
    insta::assert_snapshot!(ran.text(), @r#"
    exit 2
    gateway.listen = "nowhere": allowed is a numeric address with a port, as in 127.0.0.1:8080
    gateway.requests.streams = 0: allowed is 1 to 65536
    "#);

    fs::write(place.join("secret"), "not hexadecimal: hunter2").unwrap();
    let path = format!("gateway.cache_secret_file={}", place.join("secret").display());
    let ran = run_in(
        &place,
        &["gateway", "--settings", example, "--check", "--set", &path],
    );
    assert_eq!(ran.code, 2);
    assert!(!ran.text().contains("hunter2"));
    let ran = run_in(&place, &["gateway", "--settings", "nowhere.toml"]);
    insta::assert_snapshot!(ran.text(), @r#"
    exit 2
    --settings = nowhere.toml: allowed is a file that can be read (No such file or directory (os error 2))
    "#);
    fs::write(place.join("broken.toml"), "[gateway\n").unwrap();
    assert_eq!(
        run_in(&place, &["controller", "--settings", "broken.toml"]).code,
        2
    );
}

#[test]
fn keys_are_written_once_and_for_their_owner_alone() {
    let place = directory("keys");
    let arguments = [
        "bundle",
        "keygen",
        "--kind",
        "operator",
        "--operator",
        "alice",
        "--out",
        "alice.key",
    ];
    let made = run_in(&place, &arguments);
    assert_eq!(made.code, 0);
    let secret = fs::read_to_string(place.join("alice.key")).unwrap();
    let hidden = secret.lines().last().unwrap();
    assert!(!made.text().contains(hidden.trim_start_matches("secret_key = ")));
    let mode = fs::metadata(place.join("alice.key"))
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    // A key that exists is never written over.
    assert_eq!(run_in(&place, &arguments).code, 1);
    assert_eq!(fs::read_to_string(place.join("alice.key")).unwrap(), secret);
    assert_eq!(
        run_in(&place, &["bundle", "keygen", "--kind", "x", "--out", "y"]).code,
        2
    );
}

#[test]
fn a_faulty_bundle_is_reported_whole_and_a_silent_gateway_is_a_failure() {
    let place = directory("bundles");
    let mut text = fs::read_to_string(examples().join("pharmacy/bundle.toml")).unwrap();
    text = text.replace("required_signatures = 1", "required_signatures = 3");
    text = text.replace("zones = [\"sthlm-a\"]", "zones = [\"nowhere\"]");
    text = text.replacen("share = 1", "share = 0", 1);
    fs::write(place.join("bundle.toml"), text).unwrap();
    let ran = run_in(&place, &["bundle", "validate", "bundle.toml"]);
    insta::assert_snapshot!(ran.text(), @r#"
    exit 1
    fleet.required_signatures = 3: allowed is 1 to the number of operators with the action sign (2)
    tenants.norrapotek.share = 0: allowed is above 0; leave a tenant out to refuse all its calls
    tenants.sthlmapotek.zones = nowhere: allowed is a zone of this bundle
    "#);

    fs::write(place.join("token"), "token\n").unwrap();
    // Port 1 of loopback refuses connections.
    let unreachable = ["status", "--gateway", "127.0.0.1:1", "--token-file", "token"];
    assert_eq!(run_in(&place, &unreachable).code, 1);
    let ran = run_in(
        &place,
        &["status", "--gateway", "localhost:1", "--token-file", "nowhere"],
    );
    insta::assert_snapshot!(ran.text(), @r#"
    exit 2
    --gateway = localhost:1: allowed is a numeric address with a port, as in 127.0.0.1:8080
    --token-file = nowhere: allowed is a file that can be read (No such file or directory (os error 2))
    "#);
}

/// What stands first on each line: how it is meant, its source and its event.
fn explained_events(text: &str) -> Vec<String> {
    let lines = text.lines();
    lines
        .map(|line| line.split_whitespace().take(3).collect::<Vec<_>>().join(" "))
        .collect()
}

#[test]
fn a_request_is_explained_with_the_choice_that_another_node_made_for_it() {
    let place = directory("explain");
    let log = "\
node-1 event=placer_changed time=2026-12-02T10:00:00.0Z places=false
node-1 event=request_routed time=2026-12-02T10:00:01.0Z request=r1 pool=p
node-2 event=placement_given time=2026-12-02T10:00:01.1Z number=77 step=1 way=split
node-2 event=placement_given time=2026-12-02T10:00:01.1Z number=78 step=1 way=one
node-1 event=placed time=2026-12-02T10:00:01.2Z request=r1 placer=10.0.0.2:7000 number=77 step=1
node-3 event=spill_answered time=2026-12-02T10:00:01.2Z number=77 step=2 region=r-a result=accepted
node-3 event=spill_answered time=2026-12-02T10:00:01.2Z number=78 step=2 region=r-a result=declined
node-1 event=spill_decided time=2026-12-02T10:00:01.3Z request=r1 number=77 step=2 home_verdict=late region=r-b result=accepted
node-1 event=request_ended time=2026-12-02T10:00:01.3Z request=r1 outcome=completed
node-1 event=request_ended time=2026-12-02T10:00:01.3Z request=r2 outcome=completed
";
    fs::write(place.join("nodes.log"), log).unwrap();
    let ran = run_in(&place, &["explain", "r1", "nodes.log"]);
    assert_eq!(ran.code, 0, "{}", ran.error);
    let events = explained_events(&ran.out);
    let expected = [
        "known node-1 event=placer_changed",
        "course node-1 event=request_routed",
        "course node-2 event=placement_given",
        "course node-1 event=placed",
        "course node-3 event=spill_answered",
        "course node-1 event=spill_decided",
        "course node-1 event=request_ended",
    ];
    assert_eq!(events, expected);
    assert!(!ran.out.contains("number=78"), "another request's choice");
}

#[test]
fn a_stream_that_paused_for_too_long_is_explained_by_its_engine_and_what_ran_beside_it() {
    let place = directory("explain-pauses");
    let log = "\
node-1 event=placed time=2026-12-02T10:00:01.1Z request=r1 placer=10.0.0.2:7000 number=77 step=1
node-1 event=paused_too_long time=2026-12-02T10:00:01.3Z request=r1 engine=e4 pause_millis=320 allowed_millis=200 \
outputs_beside=None told_work_time_percent=Some(250)
node-2 event=pause_believed time=2026-12-02T10:00:01.4Z number=77 step=1 engine=e4 pause_percent=160 outputs_beside=7 \
prompt_tokens_beside=4100 moving_tokens_beside=0 work_factor_percent=130
node-2 event=pause_believed time=2026-12-02T10:00:01.4Z number=78 step=1 engine=e4 pause_percent=160 outputs_beside=9
node-3 event=paused_too_long time=2026-12-02T10:00:01.3Z request=r2 engine=e5 pause_millis=210 allowed_millis=200 \
outputs_beside=Some(2) prompt_tokens_beside=Some(0) moving_tokens_beside=Some(0) work_factor_percent=Some(400)
";
    fs::write(place.join("nodes.log"), log).unwrap();
    let late = |request: &str| {
        let ran = run_in(&place, &["explain", request, "nodes.log"]);
        assert_eq!(ran.code, 0, "{}", ran.error);
        let lines = ran.out.lines().filter(|line| line.starts_with("late"));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    let placed = "late    node-1 by a pause of 320 ms (allowed: 200) at engine e4; beside it: 7 outputs, 4100 prompt tokens to \
                  read, 0 tokens of KV cache on their way, 130 % of the usual time for work; its machine told: 250 %";
    assert_eq!(late("r1"), [placed]);
    let own = "late    node-3 by a pause of 210 ms (allowed: 200) at engine e5; beside it: 2 outputs, 0 prompt tokens to \
               read, 0 tokens of KV cache on their way, 400 % of the usual time for work; its machine told: nothing";
    assert_eq!(late("r2"), [own]);
}

#[test]
fn a_request_is_explained_with_the_engines_that_crashed_under_other_attempts() {
    let place = directory("explain-crashes");
    let log = "\
node-2 event=crash_charged time=2026-12-02T09:59:00.0Z request=r0 fingerprint=ab12 engine=e1 crashes=1
node-3 event=crash_charged time=2026-12-02T09:59:01.0Z request=r9 fingerprint=ffff engine=e1 crashes=1
node-1 event=suspect_heard time=2026-12-02T09:59:02.0Z fingerprint=ab12 crashes=3
node-1 event=request_routed time=2026-12-02T10:00:01.0Z request=r1 fingerprint=ab12 pool=p
node-1 event=refused_suspect time=2026-12-02T10:00:01.1Z request=r1 fingerprint=ab12 crashes=3
";
    fs::write(place.join("nodes.log"), log).unwrap();
    let ran = run_in(&place, &["explain", "r1", "nodes.log"]);
    assert_eq!(ran.code, 0, "{}", ran.error);
    let events = explained_events(&ran.out);
    let expected = [
        "course node-2 event=crash_charged",
        "course node-1 event=suspect_heard",
        "course node-1 event=request_routed",
        "course node-1 event=refused_suspect",
    ];
    assert_eq!(events, expected);
}

#[test]
fn a_request_is_explained_with_the_regions_of_its_engines_and_placers_and_where_it_left_home() {
    let place = directory("explain-regions");
    let log = "\
node-1 event=region_placer_changed time=2026-12-02T09:00:00.0Z region=east places=true why=takes_over
node-1 event=placed time=2026-12-02T10:00:01.1Z request=r1 placer=10.0.0.2:7000 region=east number=77 step=1
node-1 event=home_region_left time=2026-12-02T10:00:01.2Z request=r1 region=east
node-1 event=dispatched time=2026-12-02T10:00:01.3Z request=r1 engine=e4 region=west purpose=prompt
node-1 event=dispatched time=2026-12-02T10:00:01.4Z request=r1 engine=e4 region=west purpose=prompt
node-1 event=dispatched time=2026-12-02T10:00:01.4Z request=r2 engine=e5 region=none purpose=whole
";
    fs::write(place.join("nodes.log"), log).unwrap();
    let regions = |request: &str| {
        let ran = run_in(&place, &["explain", request, "nodes.log"]);
        assert_eq!(ran.code, 0, "{}", ran.error);
        let lines = ran.out.lines().filter(|line| line.starts_with("region "));
        lines.map(str::to_owned).collect::<Vec<_>>()
    };
    let expected = [
        "region  node-1 placer 10.0.0.2:7000: east",
        "region  node-1 left its home region east at 2026-12-02T10:00:01.2Z",
        "region  node-1 engine e4 (prompt): west",
    ];
    assert_eq!(regions("r1"), expected);
    assert_eq!(
        regions("r2"),
        Vec::<String>::new(),
        "a deployment without regions"
    );
    let ran = run_in(&place, &["explain", "r1", "nodes.log"]);
    assert!(
        ran.out.contains("known   node-1 event=region_placer_changed"),
        "{}",
        ran.out
    );
}
