//! The link between the nodes and one engine is cut while the engine streams.

use crate::harness::deployment::{Processes, SMALL_ZONES};
use shelfjunction_core::bundle::content::ModelKind;
use shelfjunction_lab::caller::AnswerEvent;
use shelfjunction_lab::caller::CallResult;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::layout::ClusterLayout;
use shelfjunction_lab::relay::Relay;

#[test]
fn a_stream_goes_on_at_its_offset_when_the_engine_is_cut_off() {
    let layout = ClusterLayout::new(Deployment::pharmacy(), SMALL_ZONES).unwrap();
    let mut listed = layout.clone();
    let mut relays = Vec::new();
    for engine in &mut listed.engines {
        let any_port = "127.0.0.1:0".parse().unwrap();
        let relay = Relay::start(any_port, engine.address).unwrap();
        engine.address = relay.address();
        relays.push(relay);
    }
    let running = Processes::start_listed(layout, &listed);
    running.wait_until_ready();

    let call = running.model_call("a long history", 300);
    let expected = running.expected_text(&call);
    let mut answer = running.call(0, "norrapotek", &call).unwrap();
    let request = answer.request().unwrap().to_owned();
    let AnswerEvent::Text(first) = answer.next_event() else {
        panic!("no text came");
    };
    let serving = (0..running.engines.len())
        .filter(|index| running.layout.engines[*index].kind == ModelKind::Model)
        .find(|index| running.runs_on(*index, &request) > 0)
        .unwrap();
    relays[serving].cut();
    let (rest, result) = answer.read_to_end();
    assert_eq!((first + &rest, result), (expected, CallResult::Completed));
}
