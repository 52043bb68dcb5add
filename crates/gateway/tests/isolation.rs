//! A gateway that can't know whether its bundle is current refuses new work, and serves again once it can.

#![allow(clippy::unwrap_used)]

mod support;

use shelfjunction_gateway::GatewayHandle;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::platform::faults::{Outage, PlatformFaults, ServiceFaults};
use std::io::{BufRead, BufReader};
use support::{Fleet, json, model_call};

fn ask_until(fleet: &Fleet, gateway: &GatewayHandle, status: u16) -> serde_json::Value {
    loop {
        let answer = fleet.post(gateway, "norrapotek", None, &model_call("renew", false));
        if answer.status() == status {
            return json(answer);
        }
    }
}

#[test]
fn a_gateway_cut_off_from_store_and_zones_refuses_new_work_and_finishes_the_rest() {
    let mut deployment = Deployment::pharmacy();
    deployment.bundle.fleet.isolation_limit_millis = 1_000;
    let fleet = Fleet::start_with(deployment);
    let gateway = fleet.gateway();
    fleet.engines.open_gate(1);
    let stream = fleet.post(&gateway, "norrapotek", None, &model_call("renew", true));
    fleet
        .platform
        .set_faults(PlatformFaults::everywhere(ServiceFaults {
            outage: Outage::Refusing,
            ..ServiceFaults::default()
        }));
    fleet.engines.open_gate(usize::MAX);
    let error = &ask_until(&fleet, &gateway, 503)["error"];
    assert_eq!(
        (&error["code"], &error["outcome"]),
        (&"isolated".into(), &"not_run".into())
    );
    let events = BufReader::new(stream.into_body().into_reader());
    assert!(events.lines().any(|line| line.unwrap() == "data: [DONE]"));
    fleet.platform.set_faults(PlatformFaults::default());
    ask_until(&fleet, &gateway, 200);
}
