//! Which tenant a forwarded request belongs to.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::identity::TenantId;
use shelfjunction_core::tenancy::{AccessRefusal, ApiKey, ApiTenant, ApiTenants};

fn tenant(name: &str, keys: &[&str]) -> ApiTenant {
    ApiTenant {
        tenant: TenantId::new(name),
        key_digests: keys.iter().map(|key| ApiKey::new(*key).digest()).collect(),
        priority: None,
        rate: None,
    }
}

fn chains() -> ApiTenants {
    ApiTenants(vec![tenant("chain-a", &["a1", "a2"]), tenant("chain-b", &["b1"])])
}

#[test]
fn each_key_of_a_tenant_leads_to_that_tenant_alone() {
    let chains = chains();
    let name = |key: &str| {
        let tenant = chains.admit(Some(&ApiKey::new(key)), false).unwrap().unwrap();
        tenant.tenant.as_str().to_owned()
    };
    assert_eq!(
        [name("a1"), name("a2"), name("b1")],
        ["chain-a", "chain-a", "chain-b"]
    );
}

#[test]
fn without_a_known_key_only_routes_for_anonymous_callers_serve() {
    let chains = chains();
    let unknown = ApiKey::new("a3");
    assert_eq!(chains.admit(None, false), Err(AccessRefusal::NoKey));
    assert_eq!(
        chains.admit(Some(&unknown), false),
        Err(AccessRefusal::KeyNotKnown)
    );
    assert_eq!(chains.admit(None, true), Ok(None));
    assert_eq!(chains.admit(Some(&unknown), true), Ok(None));
    let known = ApiKey::new("b1");
    assert_eq!(
        chains.admit(Some(&known), true).unwrap().unwrap().tenant.as_str(),
        "chain-b"
    );
}

#[test]
fn a_key_is_printed_nowhere() {
    let key = ApiKey::new("very-secret");
    assert!(!format!("{key:?}").contains("very-secret"));
    let tenants = ApiTenants(vec![tenant("chain-a", &["very-secret"])]);
    assert!(!format!("{tenants:?}").contains("very-secret"));
    assert!(!serde_json::to_string(&tenants).unwrap().contains("very-secret"));
}

#[test]
fn a_key_of_two_tenants_and_a_tenant_named_twice_are_faults() {
    let tenants = ApiTenants(vec![
        tenant("chain-a", &["k"]),
        tenant("chain-b", &["k"]),
        tenant("chain-a", &["m"]),
        tenant("", &[]),
    ]);
    let fields: Vec<String> = tenants.validate().into_iter().map(|fault| fault.field).collect();
    assert_eq!(
        fields,
        ["tenants.chain-b.keys", "tenants.chain-a.name", "tenants..name"]
    );
    assert!(chains().validate().is_empty());
}
