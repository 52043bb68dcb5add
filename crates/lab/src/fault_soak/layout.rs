//! Zones and regions of a soak's nodes and engines.

use std::fmt::Write;

/// Zone of everything in a soak without regions.
const ONLY_ZONE: &str = "zone-a";

/// Zones in each region.
const ZONES_PER_REGION: usize = 2;

/// Engines of a soak without regions, and of each region otherwise: pool and stage. A region has engines of every pool and stage, so
/// that it can serve by itself.
const MODEL_STAGES: [&str; 5] = ["prefill", "prefill", "decode", "decode", "decode"];
const MODEL_STAGES_PER_REGION: [&str; 3] = ["prefill", "decode", "decode"];
const APPLICATION_ENGINES_PER_POOL: usize = 2;

/// Zones and regions of the places of one soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    regions: usize,
}

impl Layout {
    /// A layout of so many regions; without regions if it is fewer than two.
    pub fn new(regions: usize) -> Self {
        Self {
            regions: regions.max(1),
        }
    }

    /// Number of regions; one without regions.
    pub fn regions(self) -> usize {
        self.regions
    }

    /// Whether there are several regions.
    pub fn is_regional(self) -> bool {
        self.regions > 1
    }

    /// Pool and stage of every engine, by number. `applications` are the pools of engines without a model.
    pub fn engines(
        self,
        model: &'static str,
        applications: &[&'static str],
    ) -> Vec<(&'static str, Option<&'static str>)> {
        let (stages, copies): (&[&'static str], usize) = if self.is_regional() {
            (&MODEL_STAGES_PER_REGION, 1)
        } else {
            (&MODEL_STAGES, APPLICATION_ENGINES_PER_POOL)
        };
        let models = stages.iter().map(|stage| (model, Some(*stage)));
        let applications = applications
            .iter()
            .flat_map(|pool| std::iter::repeat_n((*pool, None), copies));
        let of_region: Vec<_> = models.chain(applications).collect();
        of_region.repeat(self.regions)
    }

    /// Region of a node: nodes of each region follow on each other in turn.
    pub fn region_of_node(self, node: usize) -> usize {
        node % self.regions
    }

    /// Region of an engine, one of `engines`: those of a region follow on each other.
    pub fn region_of_engine(self, engine: usize, engines: usize) -> usize {
        engine / (engines / self.regions).max(1)
    }

    /// Zone of a node.
    pub fn zone_of_node(self, node: usize) -> String {
        self.zone(self.region_of_node(node), node / self.regions)
    }

    /// Zone of an engine, one of `engines`.
    pub fn zone_of_engine(self, engine: usize, engines: usize) -> String {
        self.zone(self.region_of_engine(engine, engines), engine)
    }

    fn zone(self, region: usize, number: usize) -> String {
        if self.is_regional() {
            zone_name(region, number % ZONES_PER_REGION)
        } else {
            ONLY_ZONE.to_owned()
        }
    }

    /// The section of the settings that names zones and regions, without one region if it is to be left out; empty without
    /// regions.
    pub fn topology_settings(self, left_out: Option<usize>) -> String {
        if !self.is_regional() {
            return String::new();
        }
        let mut text = String::from("\n[node.topology.zones]\n");
        for region in (0..self.regions).filter(|region| Some(*region) != left_out) {
            for number in 0..ZONES_PER_REGION {
                // Writing to a string does not fail.
                let _ = writeln!(text, "{} = '{}'", zone_name(region, number), region_name(region));
            }
        }
        text
    }
}

/// Name of a region.
pub fn region_name(region: usize) -> String {
    format!("region-{region}")
}

fn zone_name(region: usize, number: usize) -> String {
    format!("zone-{region}-{number}")
}
