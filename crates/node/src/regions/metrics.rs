//! Figures by region.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use shelfjunction_protocol::regions::{RegionView, RegionsView};
use std::sync::atomic::AtomicU64;

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RegionLabel {
    region: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    region: String,
    stage: String,
}

type Seconds = Gauge<f64, AtomicU64>;

/// Figures by region; without values if the deployment is not regional.
#[derive(Default)]
pub(crate) struct RegionMetrics {
    placements: Family<RegionLabel, Counter>,
    nodes_heard: Family<RegionLabel, Gauge>,
    placers: Family<RegionLabel, Gauge>,
    is_placer: Family<RegionLabel, Gauge>,
    engines: Family<StageLabels, Gauge>,
    round_trip: Family<RegionLabel, Seconds>,
    round_trip_age: Family<RegionLabel, Seconds>,
    cordoned: Family<RegionLabel, Gauge>,
}

impl RegionMetrics {
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "region_placements",
            "Times that requests of this node were placed on engines of a region",
            self.placements.clone(),
        );
        let gauges = [
            (
                "region_nodes_heard",
                "Other nodes of a region heard a short time ago",
                &self.nodes_heard,
            ),
            (
                "region_placers",
                "Nodes that place requests for a region",
                &self.placers,
            ),
            (
                "region_is_placer",
                "Whether this node places requests for a region",
                &self.is_placer,
            ),
            ("region_cordoned", "Whether a region is cordoned", &self.cordoned),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "region_engines",
            "Engines in use that take work, by region and stage",
            self.engines.clone(),
        );
        registry.register(
            "region_round_trip_seconds",
            "Mean measured round trip to the nodes of a region",
            self.round_trip.clone(),
        );
        registry.register(
            "region_round_trip_age_seconds",
            "Time since the last measurement of a round trip to a region",
            self.round_trip_age.clone(),
        );
    }

    /// Counts a placement.
    pub(crate) fn placed(&self, region: &str) {
        self.placements.get_or_create(&label(region)).inc();
    }

    /// Placements in a region.
    pub(crate) fn placements(&self, region: &str) -> u64 {
        self.placements.get(&label(region)).map_or(0, |count| count.get())
    }

    /// Sets the gauges. Those of regions that the settings no longer name are removed.
    pub(crate) fn set(&self, view: &RegionsView) {
        for family in [&self.nodes_heard, &self.placers, &self.is_placer, &self.cordoned] {
            family.clear();
        }
        self.engines.clear();
        self.round_trip.clear();
        self.round_trip_age.clear();
        view.regions.iter().for_each(|region| self.set_region(region));
    }

    fn set_region(&self, view: &RegionView) {
        let region = label(&view.region);
        let set = |family: &Family<RegionLabel, Gauge>, value: i64| {
            family.get_or_create(&region).set(value);
        };
        set(&self.nodes_heard, view.nodes_heard as i64);
        set(&self.placers, view.placers.len() as i64);
        set(&self.is_placer, i64::from(view.is_placer));
        set(&self.cordoned, i64::from(view.cordoned_seconds.is_some()));
        for (stage, engines) in &view.engines {
            let labels = StageLabels {
                region: view.region.clone(),
                stage: stage.clone(),
            };
            self.engines.get_or_create(&labels).set(*engines as i64);
        }
        if let Some(millis) = view.round_trip_millis {
            self.round_trip.get_or_create(&region).set(millis / 1_000.0);
        }
        if let Some(age) = view.round_trip_age_seconds {
            self.round_trip_age.get_or_create(&region).set(age);
        }
    }
}

fn label(region: &str) -> RegionLabel {
    RegionLabel {
        region: region.to_owned(),
    }
}
