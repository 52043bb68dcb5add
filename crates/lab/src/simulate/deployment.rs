//! The two users' deployments as the simulator sees them: zones, engines, tenants, limits and policy.

use shelfjunction_core::admission::TenantLimits;
use shelfjunction_core::bundle::content::{ClassRule, RolePolicy};
use shelfjunction_core::identity::{ModelId, TenantId, ZoneId};
use shelfjunction_core::service_class::{ClassTarget, ServiceClass};

/// Engines of a zone in both deployments.
pub const ENGINES_PER_ZONE: usize = 3;
/// Price of a role change for the pharmacy platform, in requests of goodput.
const PHARMACY_CHANGE_PRICE: f64 = 20.0;
/// Price of a role change for Kadriks, in requests of goodput.
const KADRIKS_CHANGE_PRICE: f64 = 500.0;

/// One tenant of a deployment.
#[derive(Clone, Debug)]
pub struct SimulatedTenant {
    /// Its name.
    pub tenant: TenantId,
    /// Indices of the zones that may see its data.
    pub zones: Vec<usize>,
    /// Its limits.
    pub limits: TenantLimits,
}

/// One deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Its name.
    pub name: &'static str,
    /// Its zones.
    pub zones: Vec<ZoneId>,
    /// The model that its engines run.
    pub model: ModelId,
    /// Its tenants.
    pub tenants: Vec<SimulatedTenant>,
    /// Limits of the classes.
    pub classes: Vec<ClassRule>,
    /// Weights of the role planner.
    pub policy: RolePolicy,
}

impl Deployment {
    /// The pharmacies' platform: goodput before few changes.
    pub fn pharmacy() -> Self {
        Self {
            name: "pharmacy",
            zones: zones(["sthlm-a", "uppsala-b", "vasteras-c"]),
            model: ModelId::new("renewal"),
            tenants: vec![
                tenant("chain-1", &[0, 1, 2], 2),
                tenant("chain-2", &[0, 1, 2], 1),
                tenant("chain-3", &[0, 1], 1),
                tenant("chain-4", &[2], 1),
            ],
            classes: vec![
                rule(ServiceClass::Interactive, 800, 30, 6_000),
                rule(ServiceClass::Standard, 2_500, 40, 20_000),
                rule(ServiceClass::Batch, 20_000, 60, 60_000),
            ],
            policy: policy(PHARMACY_CHANGE_PRICE),
        }
    }

    /// The subtitle division: few changes before goodput.
    pub fn kadriks() -> Self {
        Self {
            name: "kadriks",
            zones: zones(["ziepniekkalns", "purvciems", "imanta"]),
            model: ModelId::new("subtitle"),
            tenants: vec![
                tenant("studio-1", &[0, 1, 2], 2),
                tenant("studio-2", &[0, 1, 2], 2),
                tenant("robot-1", &[0, 1, 2], 1),
                tenant("robot-2", &[1, 2], 1),
            ],
            classes: vec![
                rule(ServiceClass::Interactive, 1_000, 30, 5_000),
                rule(ServiceClass::Standard, 4_000, 40, 20_000),
                rule(ServiceClass::Batch, 30_000, 60, 90_000),
            ],
            policy: policy(KADRIKS_CHANGE_PRICE),
        }
    }

    /// Limits of a class.
    pub fn target(&self, class: ServiceClass) -> ClassTarget {
        let rule = self.classes.iter().find(|rule| rule.class == class);
        rule.map_or(
            ClassTarget {
                first_token_millis: 0,
                between_tokens_millis: 0,
                deadline_millis: 0,
            },
            |rule| rule.target,
        )
    }

    /// Engines in all zones.
    pub fn engines(&self) -> usize {
        self.zones.len() * ENGINES_PER_ZONE
    }
}

fn zones(names: [&str; 3]) -> Vec<ZoneId> {
    names.into_iter().map(ZoneId::new).collect()
}

fn tenant(name: &str, zones: &[usize], share: u32) -> SimulatedTenant {
    SimulatedTenant {
        tenant: TenantId::new(name),
        zones: zones.to_vec(),
        limits: TenantLimits {
            requests_per_second: 200,
            tokens_in_flight: 2_000_000,
            share,
        },
    }
}

fn rule(
    class: ServiceClass,
    first_token_millis: u64,
    between_tokens_millis: u64,
    deadline_millis: u64,
) -> ClassRule {
    ClassRule {
        class,
        target: ClassTarget {
            first_token_millis,
            between_tokens_millis,
            deadline_millis,
        },
    }
}

fn policy(change_price: f64) -> RolePolicy {
    RolePolicy {
        change_price,
        ..RolePolicy::default()
    }
}
