//! Measures the round trips to other regions, so that placers know them before the first request is handed on.
//!
//! Each placer probes one placer of each other region. Other nodes learn the distance from their own questions.

use super::answering;
use crate::context::Context;
use crate::peers::Placing;
use shelfjunction_core::identity::RegionId;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_core::topology::DISTANT_WAIT_FACTOR;
use shelfjunction_protocol::spill_messages::SpillDatagram;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;
use std::sync::Mutex;

/// Probes without an answer yet, by number.
#[derive(Default)]
pub(super) struct Probes {
    sent: Mutex<BTreeMap<u64, Probe>>,
}

struct Probe {
    placer: SubjectHandle,
    region: RegionId,
    sent_at: MonotonicTime,
}

/// Probes other regions as long as the process runs.
pub(crate) fn run(context: &Context) {
    loop {
        if answering::takes_part(context) {
            probe_regions(context);
        }
        answering::sweep(context);
        context.stop.wait(context.config.spill.probe_interval());
    }
}

fn probe_regions(context: &Context) {
    note_unanswered(context);
    let now = context.now();
    let Placing::Placers(placers) = context.peers.placing(now) else {
        return;
    };
    let is_silent = |placer| context.placements.is_passed_over(placer, now);
    for (region, placers) in placers.distant() {
        let number = rand::random();
        let Some(placer) = placers.placers_for(number, is_silent, 1).first().copied() else {
            continue;
        };
        let Some(address) = context.peers.address_of(placer) else {
            continue;
        };
        let probe = Probe {
            placer,
            region: region.clone(),
            sent_at: context.now(),
        };
        lock(&context.spill.probes.sent).insert(number, probe);
        answering::send(context, &SpillDatagram::Probe(number), address);
    }
}

/// Takes the answer to a probe; one that was taken before is dropped.
pub(super) fn on_reply(context: &Context, number: u64) {
    let probe = lock(&context.spill.probes.sent).remove(&number);
    let Some(probe) = probe else {
        return;
    };
    let round_trip = context.now().since(probe.sent_at);
    // A node that has just started answers what has waited for it. Such a time tells nothing of the distance, and would make the
    // region count as too far until further probes have outweighed it.
    if round_trip > context.config.placing.answer_wait() * DISTANT_WAIT_FACTOR {
        return context.note_silence(&probe.region);
    }
    context.note_round_trip(probe.placer, round_trip);
}

/// Counts probes without an answer. Builds without this format never answer one.
fn note_unanswered(context: &Context) {
    let unanswered = std::mem::take(&mut *lock(&context.spill.probes.sent));
    for probe in unanswered.into_values() {
        context.note_silence(&probe.region);
        log::debug!(region = probe.region.as_str(); "probe_not_answered");
    }
}
