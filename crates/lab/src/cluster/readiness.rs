//! Waits until a deployment serves: real calls, repeated until one gives a whole answer.

use super::deployment::Deployment;
use super::layout::ClusterLayout;
use crate::caller::CallResult;
use crate::caller::{CallerClient, CompletionCall};
use shelfjunction_core::identity::{ModelId, TenantId};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Time between two tries.
const TRY_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for a part of an answer.
const PART_TIMEOUT: Duration = Duration::from_secs(5);

/// A gateway that did not serve in time.
#[derive(Clone, Debug, PartialEq)]
pub struct NotReady {
    /// The gateway.
    pub gateway: SocketAddr,
    /// Model that was called.
    pub model: ModelId,
    /// What it answered last.
    pub last: CallResult,
}

/// Waits until every gateway serves the model and the application to the first tenant.
pub fn wait_until_ready(layout: &ClusterLayout, limit: Duration) -> Result<(), NotReady> {
    let end = Instant::now() + limit;
    let tenants = layout.deployment.tenants();
    let Some(tenant) = tenants.first() else {
        return Ok(());
    };
    for node in &layout.nodes {
        for model in [&layout.deployment.model, &layout.deployment.application] {
            wait_for_gateway(tenant, node.gateway, model, end)?;
        }
    }
    Ok(())
}

/// Waits until every gateway serves the model to each tenant. A gateway may know the engines of one zone seconds before
/// those of another, in which alone a tenant's data may be.
pub fn wait_until_each_tenant_is_served(layout: &ClusterLayout, limit: Duration) -> Result<(), NotReady> {
    let end = Instant::now() + limit;
    for node in &layout.nodes {
        for tenant in layout.deployment.tenants() {
            wait_for_gateway(&tenant, node.gateway, &layout.deployment.model, end)?;
        }
    }
    Ok(())
}

fn wait_for_gateway(
    tenant: &TenantId,
    gateway: SocketAddr,
    model: &ModelId,
    end: Instant,
) -> Result<(), NotReady> {
    let client = CallerClient::new(PART_TIMEOUT);
    let token = Deployment::tenant_token(tenant);
    for number in 0.. {
        let last = match client.complete(gateway, &token, &trial(gateway, model, number)) {
            Ok(answer) => answer.read_to_end().1,
            Err(refused) => refused.result,
        };
        if last == CallResult::Completed {
            break;
        }
        if Instant::now() >= end {
            let model = model.clone();
            return Err(NotReady { gateway, model, last });
        }
        thread::sleep(TRY_INTERVAL);
    }
    Ok(())
}

/// Each try has a key of its own, so that none joins an earlier one that was refused.
fn trial(gateway: SocketAddr, model: &ModelId, number: u64) -> CompletionCall {
    CompletionCall {
        model: model.to_string(),
        prompt: "readiness".to_owned(),
        max_tokens: 1,
        class: None,
        key: Some(format!("readiness-{gateway}-{number}")),
    }
}
