//! Whole answers, streams that leave word by word, fetches through another gateway, and planned stops.

#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_core::engine::{Phase, Role};
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_threads::BootInstant;
use std::io::{BufRead, BufReader};
use std::time::Duration;
use support::engines::{HANDLE, ScriptedEngines};
use support::{Fleet, header, json, model_call};
use ureq::http::Response;
use ureq::{Body, BodyReader};

/// Reads the data of server-sent events one by one.
struct Events(BufReader<BodyReader<'static>>);

impl Events {
    fn new(response: Response<Body>) -> Self {
        Self(BufReader::new(response.into_body().into_reader()))
    }

    fn next(&mut self) -> String {
        loop {
            let mut line = String::new();
            assert!(self.0.read_line(&mut line).unwrap() > 0, "the stream ended early");
            if let Some(data) = line.strip_prefix("data: ") {
                return data.trim_end().to_owned();
            }
        }
    }

    fn next_text(&mut self) -> String {
        let event: serde_json::Value = serde_json::from_str(&self.next()).unwrap();
        event["choices"][0]["text"].as_str().unwrap().to_owned()
    }
}

#[test]
fn an_answer_comes_whole_and_can_be_fetched_through_another_gateway() {
    let fleet = Fleet::start();
    let (first, second) = (fleet.gateway(), fleet.gateway());
    let answer = fleet.post(&first, "norrapotek", None, &model_call("renew", false));
    assert_eq!(answer.status(), 200);
    let id = header(&answer, "X-Request-Id");
    let body = json(answer);
    assert_eq!(body["choices"][0]["text"], "one two three four");
    assert_eq!(body["usage"]["completion_tokens"], 4);
    let rest = fleet.get(
        &second,
        "norrapotek",
        &format!("/v1/requests/{id}?offset=2&stream=false"),
    );
    assert_eq!(json(rest)["choices"][0]["text"], "three four");
    assert_eq!(fleet.engines.calls().len(), 1);
}

#[test]
fn each_word_leaves_before_the_engine_gives_the_next() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    fleet.engines.open_gate(1);
    let answer = fleet.post(&gateway, "norrapotek", None, &model_call("renew", true));
    let mut events = Events::new(answer);
    for (index, word) in support::engines::WORDS.into_iter().enumerate() {
        assert_eq!(events.next_text(), word);
        fleet.engines.open_gate(index + 2);
    }
    assert_eq!(events.next_text(), "");
    assert_eq!(events.next(), "[DONE]");
}

#[test]
fn a_broken_stream_goes_on_at_its_offset() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    fleet.engines.break_after(2);
    let answer = fleet.post(&gateway, "norrapotek", None, &model_call("renew", false));
    assert_eq!(json(answer)["choices"][0]["text"], "one two three four");
    assert_eq!(fleet.engines.calls().len(), 1);
}

#[test]
fn a_planned_stop_cuts_off_no_stream_and_takes_nothing_new() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    fleet.engines.open_gate(1);
    let mut events = Events::new(fleet.post(&gateway, "norrapotek", None, &model_call("renew", true)));
    assert_eq!(events.next_text(), "one ");
    gateway.stop();
    let refused = fleet.post(&gateway, "norrapotek", None, &model_call("renew", true));
    assert_eq!(refused.status(), 503);
    assert_eq!(header(&refused, "Retry-After"), "1");
    let error = &json(refused)["error"];
    assert_eq!(
        (&error["code"], &error["outcome"]),
        (&"stopping".into(), &"not_run".into())
    );
    fleet.engines.open_gate(usize::MAX);
    for word in ["two ", "three ", "four", ""] {
        assert_eq!(events.next_text(), word);
    }
    assert_eq!(events.next(), "[DONE]");
    gateway.wait();
    assert_eq!(fleet.engines.calls().len(), 1);
}

#[test]
fn a_prompt_and_its_output_run_on_engines_of_those_roles() {
    let deployment = Deployment::pharmacy();
    let engines = ScriptedEngines::with_roles(&deployment, &[Role::Prefill, Role::Decode]);
    let fleet = Fleet::start_with_engines(deployment, engines);
    let gateway = fleet.gateway();
    for key in [None, Some("render-7")] {
        let before = fleet.engines.calls().len();
        let answer = fleet.post(&gateway, "norrapotek", key, &model_call("renew", false));
        assert_eq!(json(answer)["choices"][0]["text"], "one two three four");
        let calls = fleet.engines.calls().split_off(before);
        let [(_, prompt), (zone, output)] = calls.as_slice() else {
            panic!("{calls:?}");
        };
        assert_eq!((prompt.phase, output.phase), (Phase::PrefillOnly, Phase::Whole));
        assert_eq!(output.import.as_ref().unwrap().handle, HANDLE);
        assert_eq!(zone.as_str(), "uppsala-b");
        assert_ne!(prompt.attempt, output.attempt);
    }
}

#[test]
fn metrics_count_outcomes_and_name_no_tenant() {
    let fleet = Fleet::start();
    let gateway = fleet.gateway();
    fleet.post(&gateway, "norrapotek", None, &model_call("renew", false));
    let url = format!("http://{}/metrics", gateway.address());
    let counted =
        r#"shelfjunction_gateway_requests_total{outcome="completed",cause="",class="interactive"} 1"#;
    let until = BootInstant::now() + Duration::from_secs(60);
    // A request is counted after its answer has left.
    let text = loop {
        let mut answer = fleet.agent.get(&url).call().unwrap();
        let text = answer.body_mut().read_to_string().unwrap();
        if text.lines().any(|line| line == counted) {
            break text;
        }
        assert!(!until.since(BootInstant::now()).is_zero(), "{text}");
    };
    assert!(text.ends_with("# EOF\n"));
    assert!(!text.contains("norrapotek"));
}
