//! What a node of the users' platform keeps, hears and looks at, by the size of the fleet, at one load.
//!
//! The product's own decisions and encodings run here without sockets, threads or a clock: who places requests and who
//! steps in, whom a placer tells how often, how much of the lists a node reads, which engines are in use, and where
//! requests go. Periods are taken as constants of the model; what the threads of the process add is not in it.

mod report;
mod traffic;

pub use report::render;

use shelfjunction_core::forwarding::PoolId;
use shelfjunction_core::identity::{EngineId, ZoneId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::placing::placer_set::{
    Candidate, CandidateStatus, PlacerSet, may_become_placer, should_place,
};
use shelfjunction_core::routing::pool::{
    EngineListing, EngineStage, ListChange, ListSnapshot, PoolEngine, PoolWeights,
};
use shelfjunction_protocol::node_snapshot::{Snapshot, SnapshotError, Wanted};
use std::time::Duration;
use traffic::{Served, serve};

/// Engines of a node.
pub const ENGINES_PER_NODE: usize = 10;

/// Nodes that place requests.
const PLACERS: usize = 8;

/// Names that a node reads of the list at first.
const FIRST_PAGE: usize = 64;

/// Names in one answer of the store, at most.
const STORE_PAGE: usize = 200;

/// Zones of the model.
const ZONES: [&str; 5] = ["a", "b", "c", "d", "e"];

/// Words of a placer in a second to nodes near it, and to others.
const WORDS: (f64, f64) = (2.0, 0.25);

/// Words of any other node in a second to each placer.
const WORDS_TO_PLACERS: f64 = 0.5;

/// Figures at one size.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetFigures {
    /// Nodes.
    pub nodes: usize,
    /// Engines.
    pub engines: usize,
    /// Engines that a placer keeps beliefs of after the load.
    pub engines_in_use: usize,
    /// Bytes of the whole list of engines, as a placer hands it to another.
    pub whole_list_bytes: usize,
    /// Bytes of the list that any other node takes.
    pub list_bytes: usize,
    /// Answers of the store that nodes read of the list of nodes at a first start, per node.
    pub pages_read: f64,
    /// Nodes that hold themselves for placers right after one of them has fallen silent.
    pub placing_after_loss: usize,
    /// Datagrams of placers that a node off duty hears in a second, on average.
    pub heard: f64,
    /// Datagrams that a placer hears in a second, from nodes off duty.
    pub heard_by_placer: f64,
    /// Datagrams that a placer sends in a second, without answers to questions, on average.
    pub sent_by_placer: f64,
    /// What the requests met.
    pub served: Served,
}

/// Works out the figures for so many nodes.
pub fn measure(nodes: usize) -> Result<FleetFigures, SnapshotError> {
    let engines = nodes * ENGINES_PER_NODE;
    let fleet = candidates(nodes);
    let placers = PlacerSet::select(&fleet, PLACERS);
    let words = Words::of(&fleet, &placers);
    let mut listing = EngineListing::default();
    let list = ListSnapshot {
        version: 1,
        engines: (0..engines).map(engine).collect(),
        unreadable: Vec::new(),
    };
    let changes = listing.replace(&list);
    let mut router = traffic::router(PoolWeights::default());
    for change in changes {
        if let ListChange::Listed(engine) = change {
            router.on_engine_listed(engine);
        }
    }
    let served = serve(&mut router);
    Ok(FleetFigures {
        nodes,
        engines,
        engines_in_use: router.engines().count(),
        whole_list_bytes: bytes_of(listing.snapshot(), false)?,
        list_bytes: bytes_of(listing.snapshot_of(&router.in_use()), true)?,
        pages_read: pages_read(&fleet),
        placing_after_loss: placing_after_loss(&fleet, &placers),
        heard: words.heard,
        heard_by_placer: (nodes - PLACERS) as f64 * WORDS_TO_PLACERS,
        sent_by_placer: words.sent_by_placer,
        served,
    })
}

/// One node in twenty has more processor than the others.
fn candidates(nodes: usize) -> Vec<Candidate> {
    (0..nodes)
        .map(|number| Candidate {
            node: SubjectHandle::of_text("node", &format!("frontend-{number}")),
            processor_thousandths: if number % 20 == 0 { 500 } else { 120 },
        })
        .collect()
}

/// Two of five engines read prompts.
fn engine(number: usize) -> PoolEngine {
    PoolEngine {
        id: EngineId::new(format!("i-{number:010x}")),
        pool: PoolId(traffic::POOL.to_owned()),
        address: (
            [10, (number >> 16) as u8, (number >> 8) as u8, number as u8],
            8_080,
        )
            .into(),
        zone: ZoneId::new(ZONES[number / ZONES.len() % ZONES.len()]),
        places: traffic::PLACES,
        leaving: false,
        stage: if number % 5 < 2 {
            EngineStage::Prefill
        } else {
            EngineStage::Decode
        },
        models: vec![traffic::MODEL.to_owned()],
        warmup_remaining: Duration::ZERO,
        spot: false,
        software_version: None,
    }
}

fn bytes_of(list: ListSnapshot, list_is_partial: bool) -> Result<usize, SnapshotError> {
    let snapshot = Snapshot {
        list: Some(list),
        list_is_partial,
        ..Snapshot::default()
    };
    let wanted = Wanted {
        sections: true,
        ..Wanted::default()
    };
    snapshot.encode(wanted).map(|bytes| bytes.len())
}

/// Answers of the store for the list of nodes, per node: those that come early in the line read all of it.
fn pages_read(fleet: &[Candidate]) -> f64 {
    let first = &fleet[..fleet.len().min(FIRST_PAGE)];
    let is_whole = first.len() == fleet.len();
    let in_line = fleet.iter().filter(|own| {
        let others: Vec<Candidate> = first
            .iter()
            .filter(|other| other.node != own.node)
            .copied()
            .collect();
        may_become_placer(**own, &others, PLACERS)
    });
    let whole_reads = if is_whole { 0 } else { in_line.count() };
    let pages = fleet.len().div_ceil(STORE_PAGE);
    1.0 + (whole_reads * pages) as f64 / fleet.len() as f64
}

fn placing_after_loss(fleet: &[Candidate], placers: &PlacerSet) -> usize {
    let lost = placers.placers()[0];
    let presence = |node: &Candidate| {
        if node.node == lost {
            CandidateStatus::Unresponsive
        } else if placers.includes(node.node) {
            CandidateStatus::Active
        } else {
            CandidateStatus::Listed
        }
    };
    let living = fleet.iter().filter(|node| node.node != lost);
    living
        .filter(|own| {
            let others = fleet.iter().filter(|other| other.node != own.node);
            let others = others.map(|other| (*other, presence(other)));
            should_place(**own, others, PLACERS, Duration::ZERO)
        })
        .count()
}

/// Datagrams of placers in a second.
struct Words {
    heard: f64,
    sent_by_placer: f64,
}

impl Words {
    fn of(fleet: &[Candidate], placers: &PlacerSet) -> Self {
        let line = PlacerSet::with_standbys(fleet, PLACERS);
        let (often, seldom) = WORDS;
        let others: Vec<&Candidate> = fleet.iter().filter(|node| !placers.includes(node.node)).collect();
        let heard = |node: &&Candidate| -> f64 {
            let from = placers.placers().iter().map(|placer| {
                if line.includes(node.node) || placers.is_primary_contact(*placer, node.node) {
                    often
                } else {
                    seldom
                }
            });
            from.sum()
        };
        let all: f64 = others.iter().map(heard).sum();
        Self {
            heard: all / others.len() as f64,
            sent_by_placer: all / placers.placers().len() as f64,
        }
    }
}

/// The power with which a figure grows with the fleet, from the first to the last size; absent where one is zero.
pub fn power(first: (usize, f64), last: (usize, f64)) -> Option<f64> {
    let sizes = (last.0 as f64 / first.0 as f64).ln();
    (first.1 > 0.0 && last.1 > 0.0 && sizes > 0.0).then(|| (last.1 / first.1).ln() / sizes)
}
