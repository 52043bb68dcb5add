//! After a start, finds out what engines hold: from a peer that knows, or else from the engines themselves.
//!
//! Without it the first requests after all nodes were killed would have every shared part read anew. In a large fleet
//! only placers need to know; a node that becomes one later asks the others then.

use crate::asking;
use crate::context::Context;
use crate::peers;
use crate::ports::{EngineReading, HeldPart};
use shelfjunction_core::identity::EngineId;
use shelfjunction_core::membership::rendezvous;
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::routing::pool::{EngineStage, PrefixBlock};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

/// Pause between two looks at whether configuration, engines and nodes are known.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Longest wait for them.
const KNOWN_WITHIN: Duration = Duration::from_secs(20);

/// Time that a node with a higher rank gets to ask an engine and to tell of it.
const TIME_PER_RANK: Duration = Duration::from_millis(250);

/// Longest wait for an engine's list.
const LIST_WAIT: Duration = Duration::from_millis(500);

/// Engines that are asked at once. A placer asks some 40 first, and one may take 500 ms: in turn they would take longer
/// than callers wait.
const ASKED_AT_ONCE: usize = 8;

/// Time between two looks at whether this node has become a placer.
const LOOK_FOR_DUTY_EVERY: Duration = Duration::from_millis(500);

/// Runs after the start, and again whenever this node becomes a placer.
pub(crate) fn run(context: &Context) {
    let mut knows = false;
    if wait_until_known(context) && context.peers.is_placer(context.now()) {
        knows = true;
        if !context.config.first_start {
            recover(context);
        }
    }
    while !context.stop.wait(LOOK_FOR_DUTY_EVERY) {
        let places = context.peers.is_placer(context.now());
        if places != knows {
            log::info!(places; "placer_changed");
        }
        if places && !knows {
            become_placer(context);
        }
        knows = places;
    }
}

/// Learns what a placer has to know, and a node off duty does not: every engine, and what those in use hold.
fn become_placer(context: &Context) {
    peers::take_from_any(context);
    if lock(&context.listing).is_partial() {
        context.list_watch.read_anew();
    }
}

fn recover(context: &Context) {
    peers::take_from_any(context);
    let begun = context.now();
    let mut due: Vec<(MonotonicTime, EngineId, SocketAddr)> = engines(context)
        .into_iter()
        .map(|(engine, address)| (begun + delay(context, &engine), engine, address))
        .collect();
    due.sort();
    let next = Mutex::new(VecDeque::from(due));
    thread::scope(|scope| {
        for _ in 0..ASKED_AT_ONCE {
            scope.spawn(|| ask_due(context, &next));
        }
    });
}

/// Asks engines, each when it is due, until none is left.
fn ask_due(context: &Context, due: &Mutex<VecDeque<(MonotonicTime, EngineId, SocketAddr)>>) {
    loop {
        let Some((at, engine, address)) = lock(due).pop_front() else {
            return;
        };
        context.stop.wait(at.since(context.now()));
        if !is_known(context, &engine) {
            ask(context, &engine, address);
        }
    }
}

fn wait_until_known(context: &Context) -> bool {
    let until = context.now() + KNOWN_WITHIN;
    while context.now() < until {
        if context.state.is_ready() && context.peers.nodes().is_some() {
            return true;
        }
        if context.stop.wait(LOOK_EVERY) {
            return false;
        }
    }
    false
}

fn engines(context: &Context) -> Vec<(EngineId, SocketAddr)> {
    let topology = context.peers.topology();
    let router = lock(&context.router);
    // Placers of other regions ask the engines there.
    let with_memory = router.engines().filter(|state| {
        let own_region = topology.own_region();
        state.engine.stage != EngineStage::Whole
            && own_region.is_none_or(|own| topology.contains(own, &state.engine.zone))
    });
    with_memory
        .map(|state| (state.engine.id.clone(), state.engine.address))
        .collect()
}

/// Nodes ask an engine one after the other, the first by rendezvous hashing, until one has told the rest.
fn delay(context: &Context, engine: &EngineId) -> Duration {
    let handle = |name: &str| SubjectHandle::of_text("node", name);
    let own = handle(context.config.node.as_str());
    let mut nodes: Vec<SubjectHandle> = context
        .peers
        .on_duty_in_region(context.now())
        .iter()
        .map(|node| handle(node.as_str()))
        .collect();
    nodes.push(own);
    let task = SubjectHandle::of_engine(engine);
    let rank = rendezvous::rank(task, own, &nodes, nodes.len()).unwrap_or(nodes.len());
    TIME_PER_RANK * u32::try_from(rank).unwrap_or(u32::MAX)
}

fn is_known(context: &Context, engine: &EngineId) -> bool {
    let router = lock(&context.router);
    router
        .engine(engine)
        .is_none_or(|state| !state.prefixes.is_empty())
}

fn ask(context: &Context, engine: &EngineId, address: SocketAddr) {
    let answer = asking::ask(context, engine, address, LIST_WAIT, |link| link.begin_list());
    match answer {
        Ok(EngineReading::Held(parts)) => {
            let blocks: Vec<PrefixBlock> = parts.iter().map(block).collect();
            log::info!(engine = engine.as_str(), parts = blocks.len(); "held_parts_listed");
            lock(&context.router).on_prefix_list(engine, &blocks, context.now());
            context.peers.note_change();
        }
        Ok(_) => log::info!(engine = engine.as_str(), cause = "refused"; "held_parts_not_listed"),
        Err(cause) => log::info!(engine = engine.as_str(), cause; "held_parts_not_listed"),
    }
}

fn block(held: &HeldPart) -> PrefixBlock {
    PrefixBlock::of(&held.model, &held.part)
}
