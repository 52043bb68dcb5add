//! Fetches the KV cache that a call names from the engine that computed it.

use shelfjunction_core::engine::KvTransfer;
use shelfjunction_engine_model::KvExport;
use std::time::Duration;
use ureq::Agent;

/// Longest description of an export, in bytes.
const MAXIMUM_EXPORT_BYTES: u64 = 64 * 1024;

/// Fetches an export; absent when it is gone or its engine does not answer in time.
pub fn fetch(transfer: &KvTransfer, longest: Duration) -> Option<KvExport> {
    let config = Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .max_idle_connections(0)
        .timeout_global(Some(longest))
        .build();
    let url = format!("http://{}/v1/kv/{}", transfer.source, transfer.handle);
    let mut response = Agent::new_with_config(config).get(url).call().ok()?;
    if response.status().as_u16() != 200 {
        return None;
    }
    let body = response.body_mut().with_config().limit(MAXIMUM_EXPORT_BYTES);
    let bytes = body.read_to_vec().ok()?;
    serde_json::from_slice(&bytes).ok()
}
