//! The calls of a soak: each tenant's plain calls, keyed calls and dispatches.

use super::SoakConfig;
use super::phase::PhaseKind;
use crate::cluster::deployment::Deployment;
use crate::cluster::layout::ClusterLayout;
use crate::load::plan::{LengthDistribution, LoadPlan, Mix};
use shelfjunction_core::identity::{ModelId, TenantId};
use std::time::Duration;

/// Calls in flight at most.
const SENDERS: usize = 256;

/// Longest wait for a part of an answer.
const PART_TIMEOUT: Duration = Duration::from_secs(30);

/// Prompt tokens of calls to the model.
const PROMPT_TOKENS: LengthDistribution = LengthDistribution {
    median: 120.0,
    spread: 0.8,
};

/// Output tokens of calls to the model.
const OUTPUT_TOKENS: LengthDistribution = LengthDistribution {
    median: 40.0,
    spread: 0.7,
};

/// The load of one phase.
pub(super) fn load_plan(config: &SoakConfig, kind: PhaseKind, layout: &ClusterLayout) -> LoadPlan {
    let deployment = &layout.deployment;
    let everywhere = deployment
        .bundle
        .tenants
        .iter()
        .filter(|rule| rule.zones.len() == deployment.zones.len());
    LoadPlan {
        gateways: layout.nodes.iter().map(|node| node.gateway).collect(),
        direct: Vec::new(),
        duration: config.phase,
        requests_per_second: config.requests_per_second,
        senders: SENDERS,
        seed: config.seed ^ kind as u64,
        part_timeout: PART_TIMEOUT,
        mixes: everywhere
            .flat_map(|rule| tenant_mixes(deployment, &rule.tenant))
            .collect(),
    }
}

fn tenant_mixes(deployment: &Deployment, tenant: &TenantId) -> [Mix; 3] {
    let mix = |name: &str, model: &ModelId, share: f64, keyed: bool| Mix {
        name: format!("{tenant} {name}"),
        token: Deployment::tenant_token(tenant),
        model: model.to_string(),
        share,
        prompt_tokens: PROMPT_TOKENS,
        output_tokens: OUTPUT_TOKENS,
        class: None,
        keyed,
    };
    [
        mix("plain", &deployment.model, 0.5, false),
        mix("keyed", &deployment.model, 0.2, true),
        mix("dispatch", &deployment.application, 0.3, true),
    ]
}
