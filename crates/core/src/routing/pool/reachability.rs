//! Selection limits that follow from the state of the network paths between zones.

use super::engine::{EngineStage, EngineState};
use super::query::PoolQuery;
use super::router::PoolRouter;
use crate::identity::ZoneId;
use crate::time::MonotonicTime;

impl PoolRouter {
    /// Whether the state of the network paths allows sending the request to a zone; always true as a last resort.
    pub(super) fn may_send_to_zone(&self, query: &PoolQuery<'_>, zone: &ZoneId, now: MonotonicTime) -> bool {
        let admits = |may_be_trial| self.paths.admits(query.zone, zone, query.draw, may_be_trial, now);
        query.last_resort || admits(false) || (self.may_be_trial(query) && admits(true))
    }

    /// Whether the request may be a trial of a suspected path: only one that has another try left, and that has failed at no engine
    /// beyond such a path. The next trial may be due before the last one has timed out, so that both tries would be trials.
    fn may_be_trial(&self, query: &PoolQuery<'_>) -> bool {
        let mut failed_at = query.excluded.iter().filter_map(|id| self.engines.get(id));
        !query.constraints.single_try
            && failed_at.all(|state| self.paths.allows_transfer(query.zone, &state.engine.zone))
    }

    /// Candidates for decode that can receive the KV cache of a prompt prefilled in the `source` zone.
    pub(super) fn decode_candidates<'a>(
        &'a self,
        query: &'a PoolQuery<'_>,
        source: &'a ZoneId,
        now: MonotonicTime,
    ) -> impl Iterator<Item = &'a EngineState> {
        self.candidates(query, EngineStage::Decode, now)
            .filter(move |state| query.last_resort || self.paths.allows_transfer(source, &state.engine.zone))
    }
}
