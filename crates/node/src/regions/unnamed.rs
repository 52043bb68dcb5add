//! Zones that the settings of this node do not name.

use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::topology::Topology;
use shelfjunction_threads::lock;
use std::collections::BTreeSet;
use std::sync::Mutex;

/// Most zones that are kept and logged. Zones come from other machines, which may name any number.
const MAX_UNNAMED_ZONES: usize = 32;

/// Who lies in a zone.
#[derive(Clone, Copy, Debug)]
pub(crate) enum ZoneUser {
    Engine,
    Node,
}

impl ZoneUser {
    fn name(self) -> &'static str {
        match self {
            Self::Engine => "engine",
            Self::Node => "node",
        }
    }
}

/// The zones of engines and nodes that the settings do not name, each logged once.
#[derive(Debug, Default)]
pub(crate) struct UnnamedZones {
    zones: Mutex<BTreeSet<ZoneId>>,
}

impl UnnamedZones {
    /// Notes the zone of an engine or a node; logs it if it is new and the settings do not name it.
    pub(crate) fn note(&self, topology: &Topology, zone: &ZoneId, user: ZoneUser, user_name: &str) {
        if !topology.is_regional() || topology.region_of(zone).is_some() {
            return;
        }
        let mut zones = lock(&self.zones);
        if zones.len() >= MAX_UNNAMED_ZONES || !zones.insert(zone.clone()) {
            return;
        }
        let zones_logged = zones.len();
        drop(zones);
        log::warn!(
            zone = zone.as_str(),
            user = user.name(),
            name = user_name,
            zones_logged;
            "zone_without_region"
        );
    }

    /// Forgets the zones, since the settings have changed.
    pub(crate) fn clear(&self) {
        lock(&self.zones).clear();
    }

    /// The zones, ordered by name.
    pub(crate) fn names(&self) -> Vec<String> {
        lock(&self.zones)
            .iter()
            .map(|zone| zone.as_str().to_owned())
            .collect()
    }
}
