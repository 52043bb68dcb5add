//! The nodes of each region, for operators.

use super::Peers;
use super::placers::Placing;
use shelfjunction_core::identity::{NodeId, RegionId};
use shelfjunction_core::membership::subject::SubjectHandle;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_threads::lock;
use std::collections::BTreeMap;

/// Nodes of one region.
#[derive(Clone, Debug, Default)]
pub(crate) struct NodesOfRegion {
    /// Other nodes known.
    pub(crate) known: usize,
    /// Of them those heard a short time ago.
    pub(crate) heard: usize,
    /// Names of its placers, this node included; empty if each node places its own requests.
    pub(crate) placers: Vec<String>,
}

impl Peers {
    /// Nodes by region; `None` stands for those whose region is not known.
    pub(crate) fn nodes_by_region(&self, now: MonotonicTime) -> BTreeMap<Option<RegionId>, NodesOfRegion> {
        let topology = self.topology();
        let placing = self.placing(now);
        let mut regions = BTreeMap::<Option<RegionId>, NodesOfRegion>::new();
        let known = lock(&self.known);
        for peer in known.peers.values() {
            let nodes = regions.entry(peer.region(&topology).cloned()).or_default();
            nodes.known += 1;
            nodes.heard += usize::from(peer.heard_lately(now));
        }
        let Placing::Placers(placers) = placing else {
            return regions;
        };
        let name = |placer: SubjectHandle| {
            let peer = known.peers.iter().find(|(_, peer)| peer.handle == placer);
            peer.map(|(node, _)| node.as_str().to_owned())
        };
        let home = topology.own_region().cloned();
        let own_name = placers
            .home()
            .includes(self.own.node)
            .then(|| self.own_name.clone());
        let of_home = placers.home().placers().iter().copied().filter_map(name);
        let of_home = of_home.chain(own_name.as_ref().map(NodeId::as_str).map(str::to_owned));
        regions.entry(home).or_default().placers = of_home.collect();
        for (region, placers) in placers.distant() {
            let names = placers.placers().iter().copied().filter_map(name);
            regions.entry(Some(region.clone())).or_default().placers = names.collect();
        }
        regions
    }
}
