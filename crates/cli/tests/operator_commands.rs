//! The operator's commands against gateways in three zones: propose, sign, roll out, race, roll back, look.
// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]
#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_core::bundle::content::Bundle;
use shelfjunction_core::identity::OperatorId;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::layout::{ClusterLayout, ZoneSize};
use shelfjunction_lab::cluster::readiness::wait_until_ready;
use shelfjunction_lab::cluster::running::Cluster;
use std::fs;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use support::{Ran, directory, run_in};

/// Longest wait for the deployment; reached only when something is stuck.
const STUCK: Duration = Duration::from_secs(60);

/// An operator's shell.
struct Shell {
    place: PathBuf,
    gateways: Vec<String>,
}

impl Shell {
    fn new(cluster: &Cluster) -> Self {
        let place = directory("operator-commands");
        for operator in cluster.layout().deployment.operators() {
            write_secrets(&place, &operator);
        }
        let nodes = cluster.layout().nodes.iter();
        Self {
            place,
            gateways: nodes.map(|node| node.gateway.to_string()).collect(),
        }
    }

    /// Runs a command as an operator at a gateway.
    fn run(&self, operator: &OperatorId, gateway: usize, arguments: &[&str]) -> Ran {
        let token = format!("{operator}.token");
        let all = [
            arguments,
            &["--gateway", &self.gateways[gateway], "--token-file", &token],
        ]
        .concat();
        run_in(&self.place, &all)
    }

    /// Runs a command that must be done, and gives its JSON.
    fn json(&self, operator: &OperatorId, gateway: usize, arguments: &[&str]) -> serde_json::Value {
        let ran = self.run(operator, gateway, &[arguments, &["--json"]].concat());
        assert_eq!(ran.code, 0, "{arguments:?}: {}", ran.text());
        serde_json::from_str(&ran.out).unwrap()
    }

    /// Writes a bundle to a file and proposes it; gives the proposal's identifier.
    fn propose(&self, operator: &OperatorId, gateway: usize, bundle: &Bundle, base: &str) -> String {
        fs::write(
            self.place.join("next.json"),
            serde_json::to_string(bundle).unwrap(),
        )
        .unwrap();
        let key = format!("{operator}.key");
        let arguments = ["bundle", "propose", "next.json", "--base", base, "--key", &key];
        let reply = self.json(operator, gateway, &arguments);
        let statement = &reply["proposal"]["statement"];
        statement["proposal"].as_str().unwrap().to_owned()
    }
}

fn write_secrets(place: &std::path::Path, operator: &OperatorId) {
    let token = Deployment::operator_token(operator);
    fs::write(place.join(format!("{operator}.token")), token).unwrap();
    let secret: String = Deployment::signing_key(operator)
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    let key = format!("operator = \"{operator}\"\nsecret_key = \"{secret}\"\n");
    fs::write(place.join(format!("{operator}.key")), key).unwrap();
}

fn cluster() -> Cluster {
    let size = ZoneSize {
        nodes: 1,
        model_engines: 1,
        application_engines: 1,
    };
    let layout = ClusterLayout::new(Deployment::pharmacy(), size).unwrap();
    let cluster = Cluster::start(layout).unwrap();
    wait_until_ready(cluster.layout(), STUCK).unwrap();
    cluster
}

#[test]
fn operators_change_race_and_return() {
    let cluster = cluster();
    let shell = Shell::new(&cluster);
    let operators = cluster.layout().deployment.operators();
    let (first, second) = (&operators[0], &operators[1]);
    let mut bundle = cluster.layout().deployment.bundle.clone();

    // Two operators propose for the same generation at gateways of two zones; the second one loses and learns to whom.
    bundle.label = "by the first".to_owned();
    let of_first = shell.propose(first, 0, &bundle, "1");
    bundle.label = "by the second".to_owned();
    let of_second = shell.propose(second, 1, &bundle, "1");
    let waiting = shell.run(first, 2, &["bundle", "history", "--proposals"]);
    assert!(waiting.out.contains(&of_first) && waiting.out.contains(&of_second));
    assert_eq!(shell.run(first, 0, &["bundle", "rollout", &of_first]).code, 0);
    let lost = shell.run(second, 1, &["bundle", "rollout", &of_second]);
    assert_eq!(lost.code, 1);
    assert!(
        lost.error
            .contains(&format!("generation 2 was taken by operator {first}")),
        "{}",
        lost.error
    );
    // Asked again, the winner is told the same.
    assert_eq!(shell.run(first, 1, &["bundle", "rollout", &of_first]).code, 0);
    let stale = shell.run(second, 0, &["bundle", "propose", "next.json", "--base", "1"]);
    assert_eq!(stale.code, 1, "{}", stale.text());

    // Another content than the signer has at hand is not signed.
    bundle.label = "third".to_owned();
    let third = shell.propose(first, 0, &bundle, "2");
    fs::copy(shell.place.join("next.json"), shell.place.join("third.json")).unwrap();
    bundle.label = "something else".to_owned();
    fs::write(
        shell.place.join("else.json"),
        serde_json::to_string(&bundle).unwrap(),
    )
    .unwrap();
    let key = format!("{second}.key");
    let sign = |file: &str| ["bundle", "sign", &third, "--key", &key, "--bundle", file].map(str::to_owned);
    let other = sign("else.json");
    let other: Vec<&str> = other.iter().map(String::as_str).collect();
    assert!(shell.run(second, 0, &other).error.contains("not signed"));
    let same = sign("third.json");
    let same: Vec<&str> = same.iter().map(String::as_str).collect();
    assert_eq!(shell.run(second, 0, &same).code, 0);
    assert_eq!(shell.run(second, 2, &["bundle", "rollout", &third]).code, 0);

    // Right after it, at any gateway, back to the first generation.
    let key = format!("{first}.key");
    let back = shell.run(first, 2, &["bundle", "rollback", "--to", "1", "--key", &key]);
    assert_eq!(back.code, 0, "{}", back.text());
    let history = shell.json(first, 0, &["bundle", "history"]);
    let labels: Vec<&str> = history["entries"]
        .as_array()
        .unwrap()
        .iter()
        .map(|entry| entry["label"].as_str().unwrap())
        .collect();
    assert_eq!(
        labels,
        ["pharmacy first", "third", "by the first", "pharmacy first"]
    );
    assert_eq!(history["entries"][0]["rollback_of"], 1);

    look_around(&shell, first);
    cluster.stop();
}

fn look_around(shell: &Shell, operator: &OperatorId) {
    let shown = shell.run(operator, 0, &["bundle", "show", "--generation", "3"]);
    assert!(shown.out.contains("label = \"third\""), "{}", shown.text());
    // What is shown can be proposed again.
    fs::write(shell.place.join("shown.toml"), &shown.out).unwrap();
    assert_eq!(
        run_in(&shell.place, &["bundle", "validate", "shown.toml"]).code,
        0
    );

    let status = shell.json(operator, 0, &["status"]);
    assert_eq!(status["isolated"], false);
    let zones = status["zones"].as_array().unwrap();
    assert_eq!(zones.len(), 3);
    // A gateway serves before it has heard of the engines of all zones.
    let listed = || {
        let engines = shell.json(operator, 1, &["engines"]);
        engines["engines"].as_array().unwrap().len()
    };
    let began = Instant::now();
    while listed() < 6 && began.elapsed() < STUCK {}
    assert_eq!(listed(), 6);
    let table = shell.run(operator, 1, &["engines"]);
    assert!(table.out.starts_with("ENGINE"), "{}", table.text());
    assert_eq!(shell.run(operator, 1, &["usage"]).code, 0);
    let unknown = shell.run(operator, 1, &["requests", "show", "nothing"]);
    assert_eq!(
        (unknown.code, unknown.error.as_str()),
        (1, "refused: no such request is known here\n")
    );
    fs::write(shell.place.join("wrong.token"), "wrong").unwrap();
    let stranger = shell.run(&OperatorId::new("wrong"), 0, &["status"]);
    assert_eq!(
        (stranger.code, stranger.error.as_str()),
        (1, "refused: no operator has this bearer token\n")
    );
    let first = ["bundle", "rollout", "--first", "shown.toml", "--key"];
    let key = format!("{operator}.key");
    let again = shell.run(operator, 0, &[&first[..], &[key.as_str()]].concat());
    assert_eq!(again.code, 1);
    assert!(again.error.contains("generation 1 was taken"), "{}", again.text());
}
