//! Checks of a bundle's content; every fault is reported, not only the first.

use super::content::{
    Bundle, FleetRule, ModelGrant, ModelRule, OperatorAction, OperatorRule, TenantRule, ZoneRule,
};
use super::digest::Digest;
use super::signature;
use crate::setting::FieldError;
use std::collections::BTreeSet;
use std::fmt::Display;

/// Longest identifier, in bytes; keeps rows, log lines and metric labels short.
pub const MAXIMUM_IDENTIFIER_BYTES: usize = 64;

/// Shortest isolation limit, in milliseconds; below it one lost confirmation would stop a zone.
pub const MINIMUM_ISOLATION_LIMIT_MILLIS: u64 = 1_000;

/// Largest rate and burst; both are kept in thousandths of a unit.
const MAX_RATE_UNITS: u64 = 1_000_000_000_000;

/// Every fault of the bundle, in the order of its fields.
pub fn validate(bundle: &Bundle) -> Vec<FieldError> {
    let mut faults = Faults::default();
    check_fleet(&bundle.fleet, &bundle.operators, &mut faults);
    check_zones(&bundle.zones, &mut faults);
    check_models(&bundle.models, &mut faults);
    let references = References::new(&bundle.zones, &bundle.models);
    check_tenants(&bundle.tenants, &references, &mut faults);
    check_operators(&bundle.operators, &mut faults);
    faults.found
}

/// Faults found so far.
#[derive(Debug, Default)]
pub struct Faults {
    /// The faults.
    pub found: Vec<FieldError>,
}

impl Faults {
    fn add(&mut self, field: impl Into<String>, value: impl Display, allowed: impl Into<String>) {
        self.found.push(FieldError {
            field: field.into(),
            value: value.to_string(),
            allowed: allowed.into(),
        });
    }

    fn require(&mut self, holds: bool, field: &str, value: impl Display, allowed: &str) {
        if !holds {
            self.add(field, value, allowed);
        }
    }

    fn check_identifier(&mut self, field: &str, text: &str) {
        let allowed = "1 to 64 letters, digits, '-', '_' or '.'";
        let holds = !text.is_empty()
            && text.len() <= MAXIMUM_IDENTIFIER_BYTES
            && text
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        self.require(holds, field, format_args!("{text:?}"), allowed);
    }

    fn check_unique<'a>(&mut self, list: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for name in names {
            self.require(seen.insert(name), list, name, "each name once");
        }
    }
}

/// Names that tenants may refer to.
#[derive(Clone, Debug)]
pub struct References<'a> {
    zones: BTreeSet<&'a str>,
    models: BTreeSet<&'a str>,
}

impl<'a> References<'a> {
    /// The names of these zones and models.
    pub fn new(zones: &'a [ZoneRule], models: &'a [ModelRule]) -> Self {
        Self {
            zones: zones.iter().map(|rule| rule.zone.as_str()).collect(),
            models: models.iter().map(|rule| rule.model.as_str()).collect(),
        }
    }
}

/// Checks the rules of the whole fleet against the operators that must sign.
pub fn check_fleet(fleet: &FleetRule, operators: &[OperatorRule], faults: &mut Faults) {
    let signers = operators
        .iter()
        .filter(|rule| rule.actions.contains(&OperatorAction::Sign))
        .count();
    let required = fleet.required_signatures;
    faults.require(
        required >= 1 && required as usize <= signers,
        "fleet.required_signatures",
        required,
        &format!("1 to the number of operators with the action sign ({signers})"),
    );
    faults.require(
        fleet.isolation_limit_millis >= MINIMUM_ISOLATION_LIMIT_MILLIS,
        "fleet.isolation_limit_millis",
        fleet.isolation_limit_millis,
        &format!("at least {MINIMUM_ISOLATION_LIMIT_MILLIS}"),
    );
    check_roles(fleet, faults);
    let mut classes = BTreeSet::new();
    for rule in &fleet.classes {
        faults.require(
            classes.insert(rule.class),
            "fleet.classes",
            format_args!("{:?}", rule.class),
            "each class once",
        );
        let target = rule.target;
        let holds = target.first_token_millis > 0 && target.deadline_millis >= target.first_token_millis;
        faults.require(
            holds,
            "fleet.classes.target",
            format_args!(
                "first {} ms, last {} ms",
                target.first_token_millis, target.deadline_millis
            ),
            "a first token above 0 ms and a deadline not before it",
        );
    }
}

fn check_roles(fleet: &FleetRule, faults: &mut Faults) {
    let roles = &fleet.roles;
    let weights = [
        ("fleet.roles.goodput_weight", roles.goodput_weight),
        ("fleet.roles.change_price", roles.change_price),
    ];
    for (field, value) in weights {
        faults.require(
            value.is_finite() && value >= 0.0,
            field,
            value,
            "a finite number, 0 or more",
        );
    }
    faults.require(
        roles.horizon_millis > 0,
        "fleet.roles.horizon_millis",
        roles.horizon_millis,
        "above 0",
    );
    faults.require(
        roles.concurrent_changes_per_zone > 0,
        "fleet.roles.concurrent_changes_per_zone",
        roles.concurrent_changes_per_zone,
        "above 0",
    );
}

/// Checks the zones.
pub fn check_zones(zones: &[ZoneRule], faults: &mut Faults) {
    faults.require(!zones.is_empty(), "zones", "[]", "at least one zone");
    faults.check_unique("zones", zones.iter().map(|rule| rule.zone.as_str()));
    for rule in zones {
        faults.check_identifier("zones.zone", rule.zone.as_str());
        faults.check_identifier("zones.region", rule.region.as_str());
    }
}

/// Checks the models.
pub fn check_models(models: &[ModelRule], faults: &mut Faults) {
    faults.check_unique("models", models.iter().map(|rule| rule.model.as_str()));
    for rule in models {
        let name = rule.model.as_str();
        faults.check_identifier("models.model", name);
        faults.check_identifier(&format!("models.{name}.version"), rule.version.as_str());
        let adapters = format!("models.{name}.adapters");
        faults.check_unique(
            &adapters,
            rule.adapters.iter().map(|entry| entry.adapter.as_str()),
        );
        for entry in &rule.adapters {
            faults.check_identifier(&adapters, entry.adapter.as_str());
            faults.check_identifier(&adapters, entry.version.as_str());
        }
        let mut roles = BTreeSet::new();
        for floor in &rule.floors {
            faults.require(
                roles.insert(floor.role),
                &format!("models.{name}.floors"),
                format_args!("{:?}", floor.role),
                "each role once",
            );
        }
    }
}

/// Checks tenants against the zones and models that exist; the list may be one bucket or all of them.
pub fn check_tenants(tenants: &[TenantRule], references: &References<'_>, faults: &mut Faults) {
    faults.check_unique("tenants", tenants.iter().map(|rule| rule.tenant.as_str()));
    let mut tokens = BTreeSet::new();
    for rule in tenants {
        let name = rule.tenant.as_str();
        faults.check_identifier("tenants.tenant", name);
        check_token(
            &format!("tenants.{name}.token_sha256"),
            &rule.token_sha256,
            faults,
        );
        faults.require(
            tokens.insert(rule.token_sha256.to_ascii_lowercase()),
            &format!("tenants.{name}.token_sha256"),
            "(not shown)",
            "a token that no other tenant has",
        );
        check_places(rule, references, faults);
        check_grants(rule, references, faults);
        check_limits(rule, faults);
        check_rate(rule, faults);
    }
}

fn check_token(field: &str, text: &str, faults: &mut Faults) {
    faults.require(
        Digest::from_hex(text).is_some(),
        field,
        "(not shown)",
        "the 64 hexadecimal digits of a SHA-256",
    );
}

fn check_places(rule: &TenantRule, references: &References<'_>, faults: &mut Faults) {
    let field = format!("tenants.{}.zones", rule.tenant);
    faults.require(!rule.zones.is_empty(), &field, "[]", "at least one zone");
    faults.check_unique(&field, rule.zones.iter().map(|zone| zone.as_str()));
    for zone in &rule.zones {
        let known = references.zones.contains(zone.as_str());
        faults.require(known, &field, zone, "a zone of this bundle");
    }
}

fn check_grants(rule: &TenantRule, references: &References<'_>, faults: &mut Faults) {
    let field = format!("tenants.{}.models", rule.tenant);
    let granted = |grant: &'_ ModelGrant| grant.model.clone();
    let names: Vec<_> = rule.models.iter().map(granted).collect();
    faults.check_unique(&field, names.iter().map(|model| model.as_str()));
    for model in &names {
        let known = references.models.contains(model.as_str());
        faults.require(known, &field, model, "a model of this bundle");
    }
}

fn check_limits(rule: &TenantRule, faults: &mut Faults) {
    let name = &rule.tenant;
    let limits = [
        ("requests_per_second", u64::from(rule.requests_per_second)),
        ("tokens_in_flight", rule.tokens_in_flight),
        ("share", u64::from(rule.share)),
    ];
    for (limit, value) in limits {
        faults.require(
            value > 0,
            &format!("tenants.{name}.{limit}"),
            value,
            "above 0; leave a tenant out to refuse all its calls",
        );
    }
}

fn check_rate(rule: &TenantRule, faults: &mut Faults) {
    let Some(rate) = rule.rate else { return };
    for (field, value) in [("units_per_second", rate.units_per_second), ("burst", rate.burst)] {
        faults.require(
            (1..=MAX_RATE_UNITS).contains(&value),
            &format!("tenants.{}.rate.{field}", rule.tenant),
            value,
            "1 to 1000000000000; leave the rate out for none",
        );
    }
}

/// Checks the operators. Tenants in their scope need not exist: a scope may be granted ahead.
pub fn check_operators(operators: &[OperatorRule], faults: &mut Faults) {
    faults.check_unique("operators", operators.iter().map(|rule| rule.operator.as_str()));
    let mut keys = BTreeSet::new();
    let mut tokens = BTreeSet::new();
    for rule in operators {
        let name = rule.operator.as_str();
        faults.check_identifier("operators.operator", name);
        let key_field = format!("operators.{name}.public_key");
        faults.require(
            signature::is_public_key(&rule.public_key),
            &key_field,
            &rule.public_key,
            "the 64 hexadecimal digits of an Ed25519 public key",
        );
        faults.require(
            keys.insert(rule.public_key.to_ascii_lowercase()),
            &key_field,
            &rule.public_key,
            "a key that no other operator has",
        );
        let token_field = format!("operators.{name}.token_sha256");
        check_token(&token_field, &rule.token_sha256, faults);
        faults.require(
            tokens.insert(rule.token_sha256.to_ascii_lowercase()),
            &token_field,
            "(not shown)",
            "a token that no other operator has",
        );
    }
}
