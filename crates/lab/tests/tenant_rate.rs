//! A tenant's rate in a bundle holds over all gateways together.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::bundle::content::{Bundle, TenantRateRule, TenantRateUnit};
use shelfjunction_core::bundle::validate::validate;
use shelfjunction_core::identity::TenantId;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::layout::{ClusterLayout, ZoneSize};
use shelfjunction_lab::cluster::readiness::wait_until_ready;
use shelfjunction_lab::cluster::running::Cluster;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait until the deployment serves.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Of the limited tenant: one call of more than a hundred tokens leaves a debt that outlasts the test.
const RATE: TenantRateRule = TenantRateRule {
    units_per_second: 1,
    burst: 10,
    unit: TenantRateUnit::Tokens,
};

/// Number of the limited tenant; the first is used to wait for the deployment.
const LIMITED: usize = 1;

fn ask(agent: &ureq::Agent, gateway: SocketAddr, tenant: &TenantId) -> u16 {
    let body = r#"{"model":"renewal","prompt":"renew","max_tokens":100,"stream":false}"#;
    let request = agent.post(format!("http://{gateway}/v1/completions")).header(
        "Authorization",
        format!("Bearer {}", Deployment::tenant_token(tenant)),
    );
    request.send(body).unwrap().status().as_u16()
}

/// Guards against a tenant that gets its rate once at every gateway, and against a limit that holds for other tenants.
#[test]
fn a_tenants_rate_holds_over_all_gateways() {
    let mut deployment = Deployment::pharmacy();
    deployment.bundle.tenants[LIMITED].rate = Some(RATE);
    let tenants = deployment.tenants();
    let layout = ClusterLayout::new(deployment, ZoneSize::TODAY).unwrap();
    let cluster = Cluster::start(layout).unwrap();
    wait_until_ready(cluster.layout(), READY_LIMIT).unwrap();
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let gateways: Vec<SocketAddr> = cluster.layout().nodes.iter().map(|node| node.gateway).collect();
    // An owner that has just started grants nothing yet: 503.
    let mut statuses = Vec::new();
    while statuses.last() != Some(&200) {
        statuses.push(ask(&agent, gateways[0], &tenants[LIMITED]));
    }
    assert!(
        statuses.iter().all(|status| [200, 503].contains(status)),
        "{statuses:?}"
    );
    for gateway in &gateways {
        assert_eq!(ask(&agent, *gateway, &tenants[LIMITED]), 429, "{gateway}");
        assert_eq!(ask(&agent, *gateway, &tenants[0]), 200, "{gateway}");
    }
    cluster.stop();
}

fn faults(bundle: &Bundle) -> Vec<String> {
    validate(bundle).into_iter().map(|fault| fault.field).collect()
}

/// Guards against a bundle whose rate can't be enforced.
#[test]
fn a_rate_without_units_is_no_rate() {
    let mut bundle = Deployment::pharmacy().bundle;
    bundle.tenants[0].rate = Some(RATE);
    assert_eq!(faults(&bundle), Vec::<String>::new());
    bundle.tenants[0].rate = Some(TenantRateRule {
        units_per_second: 0,
        burst: 0,
        ..RATE
    });
    let name = &bundle.tenants[0].tenant;
    let fields = ["units_per_second", "burst"].map(|field| format!("tenants.{name}.rate.{field}"));
    assert_eq!(faults(&bundle), fields);
}
