//! Weights from the platform's rate-limited store.

use super::config::WeightStoreConfig;
use super::shared::EngineShared;
use shelfjunction_core::engine::LoadedWeights;
use shelfjunction_core::identity::OrderId;
use shelfjunction_platform::http_platform::wire::{LoadWeightsBody, WeightMillisBody};
use std::thread;
use std::time::Duration;
use ureq::Agent;

/// Longest wait for an answer of the store.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Time between two tries while the store does not answer.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest answer of the store that is read, in bytes.
const MAXIMUM_ANSWER_BYTES: u64 = 4_096;

/// Joins the store's queue for an order's weights, however long the store is down, and lets the load end in its turn.
pub fn load(shared: &EngineShared, store: WeightStoreConfig, order: &OrderId, weights: &LoadedWeights) {
    while !shared.is_stopping() {
        if let Some(wait) = join_queue(store, weights) {
            let mut guarded = shared.lock();
            let wait = wait.mul_f64(shared.config.time_scale);
            let now = guarded.now();
            guarded.model.weights_arrive(now, order, wait);
            drop(guarded);
            shared.notify();
            return;
        }
        thread::sleep(RETRY_PAUSE);
    }
}

/// Time until the weights are there; absent when the store gives no answer.
fn join_queue(store: WeightStoreConfig, weights: &LoadedWeights) -> Option<Duration> {
    let body = LoadWeightsBody {
        model: weights.model.clone(),
        version: weights.version.clone(),
        bytes: store.weight_bytes,
    };
    let config = Agent::config_builder()
        .proxy(None)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .http_status_as_error(false)
        .timeout_global(Some(ANSWER_TIMEOUT))
        .build();
    let url = format!("http://{}/weights/loads", store.platform);
    let bytes = serde_json::to_vec(&body).ok()?;
    let mut response = Agent::new_with_config(config).post(url).send(&bytes[..]).ok()?;
    if response.status().as_u16() != 200 {
        return None;
    }
    let answer = response.body_mut().with_config().limit(MAXIMUM_ANSWER_BYTES);
    let answer: WeightMillisBody = serde_json::from_slice(&answer.read_to_vec().ok()?).ok()?;
    Some(Duration::from_millis(answer.millis))
}
