//! The steps of the demo.

use super::steps::{CallReport, Expectation, call, print};
use crate::caller::{CallerClient, CompletionCall};
use crate::cluster::deployment::Deployment;
use crate::cluster::layout::{ClusterLayout, NodeLayout};
use crate::cluster::publish::publish;
use crate::cluster::running::Cluster;
use shelfjunction_core::bundle::content::TenantRule;
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::machine::{MachineService, MachineState};
use shelfjunction_engine_model::answer::AnswerSeed;
use std::thread;
use std::time::{Duration, Instant};

/// Longest wait for a part of an answer.
const PART_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest wait for a change to show.
const WAIT_LIMIT: Duration = Duration::from_secs(5);

/// Time between two looks.
const WAIT_INTERVAL: Duration = Duration::from_millis(20);

/// Output tokens of the model's answers.
const OUTPUT_TOKENS: u32 = 16;

struct Scenario<'a> {
    cluster: &'a Cluster,
    client: CallerClient,
    failed: usize,
}

/// Plays every step; gives the number that are not as they should be.
pub(super) fn play(cluster: &Cluster) -> usize {
    let mut scenario = Scenario {
        cluster,
        client: CallerClient::new(PART_TIMEOUT),
        failed: 0,
    };
    scenario.every_tenant_everywhere();
    scenario.key_that_comes_again();
    scenario.callers_without_rights();
    scenario.bundle_that_withdraws_a_model();
    scenario.zone_that_leaves();
    scenario.failed
}

impl Scenario<'_> {
    fn layout(&self) -> &ClusterLayout {
        self.cluster.layout()
    }

    fn step(
        &mut self,
        title: &str,
        token: &str,
        node: &NodeLayout,
        sent: &CompletionCall,
        expected: &Expectation,
    ) -> CallReport {
        let report = call(&self.client, node.gateway, token, sent);
        if !print(title, &report, expected) {
            self.failed += 1;
        }
        report
    }

    /// Each tenant calls the gateway of each zone; whichever it calls, engines of its own zones serve it.
    fn every_tenant_everywhere(&mut self) {
        println!("each tenant asks in each zone:");
        let layout = self.layout().clone();
        for rule in &layout.deployment.bundle.tenants {
            for node in &layout.nodes {
                let prompt = format!("history of one customer of {} told in {}", rule.tenant, node.zone);
                let sent = model_call(&layout, &prompt);
                let expected = Expectation::Answer(expected_text(&layout, &sent));
                let title = format!("{} in {}", rule.tenant, node.zone);
                let token = Deployment::tenant_token(&rule.tenant);
                let report = self.step(&title, &token, node, &sent, &expected);
                self.check_place(rule, report.request.as_deref());
            }
        }
    }

    /// A call that may not run twice comes again through every gateway and gives the same answer.
    fn key_that_comes_again(&mut self) {
        println!("\none dispatch with an idempotency key, asked for through every gateway:");
        let layout = self.layout().clone();
        let Some(tenant) = tenant_of_every_zone(&layout) else {
            return;
        };
        let token = Deployment::tenant_token(&tenant);
        let sent = CompletionCall {
            model: layout.deployment.application.to_string(),
            prompt: "dispatch one parcel".to_owned(),
            max_tokens: OUTPUT_TOKENS,
            class: None,
            key: Some("dispatch-1".to_owned()),
        };
        let first = &layout.nodes[0];
        let report = self.step("first time", &token, first, &sent, &Expectation::AnyAnswer);
        let again = Expectation::Answer(report.text);
        for node in &layout.nodes {
            let title = format!("again in {}", node.zone);
            self.step(&title, &token, node, &sent, &again);
        }
        let runs = self.engines_that_ran(report.request.as_deref());
        self.check(runs.len() == 1, &format!("run by {runs:?}"));
        let other_body = CompletionCall {
            prompt: "dispatch two parcels".to_owned(),
            ..sent
        };
        let conflict = Expectation::NotRun("key_conflict");
        self.step("same key, other body", &token, first, &other_body, &conflict);
    }

    fn callers_without_rights(&mut self) {
        println!("\ncallers without rights:");
        let layout = self.layout().clone();
        let node = &layout.nodes[0];
        let sent = model_call(&layout, "anything");
        let unknown = Expectation::NotRun("unauthenticated");
        self.step("unknown token", "no-such-token", node, &sent, &unknown);
        let Some(tenant) = tenant_of_every_zone(&layout) else {
            return;
        };
        let token = Deployment::tenant_token(&tenant);
        let no_key = CompletionCall {
            model: layout.deployment.application.to_string(),
            ..sent.clone()
        };
        self.step(
            "dispatch without a key",
            &token,
            node,
            &no_key,
            &Expectation::NotRun("key_required"),
        );
        let no_model = CompletionCall {
            model: "no-such-model".to_owned(),
            ..sent
        };
        let unavailable = Expectation::NotRun("model_unavailable");
        self.step("unknown model", &token, node, &no_model, &unavailable);
    }

    /// A second signed bundle withdraws the model from a tenant; within moments every zone refuses it.
    fn bundle_that_withdraws_a_model(&mut self) {
        println!("\na new bundle withdraws the model from the first tenant:");
        let layout = self.layout().clone();
        let deployment = &layout.deployment;
        let mut bundle = deployment.bundle.clone();
        bundle.label = "first tenant without the model".to_owned();
        let Some(rule) = bundle.tenants.first_mut() else {
            return;
        };
        rule.models.retain(|grant| grant.model != deployment.model);
        let token = Deployment::tenant_token(&rule.tenant);
        let operators = deployment.operators();
        match publish(&self.cluster.platform_client(), &bundle, &operators[0]) {
            Ok(current) => println!(
                "      generation {} signed by {}",
                current.generation, operators[0]
            ),
            Err(error) => return self.check(false, &format!("not accepted: {error:?}")),
        }
        let sent = model_call(&layout, "history after the change");
        let refused = Expectation::NotRun("model_unavailable");
        let start = Instant::now();
        for node in &layout.nodes {
            let in_force = self.wait_until(&refused, &token, node, &sent);
            let after = start.elapsed().as_secs_f64();
            self.check(in_force, &format!("in force in {} after {after:.1} s", node.zone));
        }
    }

    /// The platform takes the engines of a zone away: a tenant bound to that zone is refused, not served elsewhere.
    fn zone_that_leaves(&mut self) {
        let layout = self.layout().clone();
        let bound = layout
            .deployment
            .bundle
            .tenants
            .iter()
            .find(|rule| rule.zones.len() == 1);
        let Some(rule) = bound else { return };
        let zone = &rule.zones[0];
        println!(
            "\nthe engines of {zone} leave, where alone the data of {} may be:",
            rule.tenant
        );
        let mut machines = layout.machines();
        for machine in machines.iter_mut().filter(|machine| machine.zone == *zone) {
            if !matches!(machine.service, MachineService::Node { .. }) {
                machine.state = MachineState::Leaving;
            }
        }
        self.cluster.platform().set_machines(machines);
        let sent = model_call(&layout, "history while the zone leaves");
        let refused = Expectation::NotRun("engines_refused");
        for node in &layout.nodes {
            let token = Deployment::tenant_token(&rule.tenant);
            self.wait_until(&refused, &token, node, &sent);
            let title = format!("{} in {}", rule.tenant, node.zone);
            let report = self.step(&title, &token, node, &sent, &refused);
            let engines = self.engines_that_ran(report.request.as_deref());
            if !engines.is_empty() {
                self.check(false, &format!("refused but run by {engines:?}"));
            }
        }
        let others = layout.deployment.bundle.tenants.iter().rev();
        if let Some(other) = others.into_iter().find(|other| other.zones.len() > 1) {
            let token = Deployment::tenant_token(&other.tenant);
            let expected = Expectation::Answer(expected_text(&layout, &sent));
            let title = format!("{} in {zone}", other.tenant);
            let report = self.step(&title, &token, &layout.nodes[0], &sent, &expected);
            self.check_place(other, report.request.as_deref());
        }
    }

    /// Repeats a call until it gives what is expected; false when it does not in time.
    fn wait_until(
        &self,
        expected: &Expectation,
        token: &str,
        node: &NodeLayout,
        sent: &CompletionCall,
    ) -> bool {
        let start = Instant::now();
        while start.elapsed() < WAIT_LIMIT {
            if expected.holds(&call(&self.client, node.gateway, token, sent)) {
                return true;
            }
            thread::sleep(WAIT_INTERVAL);
        }
        false
    }

    fn engines_that_ran(&self, request: Option<&str>) -> Vec<String> {
        let engines = request.map(|request| self.cluster.engines_that_ran(request));
        let engines = engines.into_iter().flatten();
        engines.map(|engine| engine.engine.to_string()).collect()
    }

    /// Checks by the engines' own logs that a request ran in the tenant's zones only.
    fn check_place(&mut self, rule: &TenantRule, request: Option<&str>) {
        let engines = request
            .map(|request| self.cluster.engines_that_ran(request))
            .unwrap_or_default();
        let in_place = engines.iter().all(|engine| rule.zones.contains(&engine.zone));
        if engines.is_empty() || !in_place {
            let engines: Vec<&str> = engines.iter().map(|engine| engine.engine.as_str()).collect();
            self.check(false, &format!("{} ran on {engines:?}", rule.tenant));
        }
    }

    fn check(&mut self, holds: bool, text: &str) {
        let mark = if holds { "ok" } else { "WRONG" };
        println!("{mark:<6}{text}");
        self.failed += usize::from(!holds);
    }
}

fn model_call(layout: &ClusterLayout, prompt: &str) -> CompletionCall {
    CompletionCall {
        model: layout.deployment.model.to_string(),
        prompt: prompt.to_owned(),
        max_tokens: OUTPUT_TOKENS,
        class: None,
        key: None,
    }
}

/// The stand-in engines' answers are a function of the call, so that each token can be checked.
fn expected_text(layout: &ClusterLayout, sent: &CompletionCall) -> String {
    let seed = AnswerSeed::new(&layout.deployment.model, None, &sent.prompt);
    (0..seed.length(sent.max_tokens))
        .map(|offset| seed.token(offset))
        .collect()
}

fn tenant_of_every_zone(layout: &ClusterLayout) -> Option<TenantId> {
    let everywhere = |rule: &&TenantRule| rule.zones.len() == layout.deployment.zones.len();
    let rule = layout.deployment.bundle.tenants.iter().find(everywhere)?;
    Some(rule.tenant.clone())
}
