//! What the operator writes into the store.

use super::deployment::{APPLICATION_POOLS, MODEL_POOL};
use super::rated_callers::is_rated;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use std::net::SocketAddr;

/// Longest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The tenants, each with its API key.
pub(super) const TENANTS: [Tenant; 2] = [
    Tenant {
        name: "chain-a",
        key: "key-of-a",
    },
    Tenant {
        name: "chain-b",
        key: "key-of-b",
    },
];

/// One tenant.
#[derive(Clone, Copy, Debug)]
pub(super) struct Tenant {
    pub(super) name: &'static str,
    pub(super) key: &'static str,
}

/// A tenant with a rate.
pub(super) struct RatedTenant {
    pub(super) tenant: Tenant,
    /// Tokens a second.
    pub(super) per_second: f64,
    /// Tokens beyond the rate.
    pub(super) burst: f64,
}

/// The tenant whose callers ask more than its rate.
pub(super) const RATED_TENANT: RatedTenant = RatedTenant {
    tenant: Tenant {
        name: "chain-c",
        key: "key-of-c",
    },
    per_second: 5_050.0,
    burst: 5_050.0,
};

/// The tenant whose request it is, by the request's name.
pub(super) fn tenant_of(request: &str) -> Tenant {
    if is_rated(request) {
        return RATED_TENANT.tenant;
    }
    let last = request.bytes().last().unwrap_or_default();
    TENANTS[usize::from(last) % TENANTS.len()]
}

/// A configuration with a route of each kind; the short calls go to `application`.
pub(super) fn configuration_text(version: u64, application: &str) -> String {
    let route = |name: &str, kind: &str, pool: &str, resumable: bool| {
        format!(
            r#"{{"name":"{name}","host":"svc.example","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":5000,"targetLatencyMs":600,"priority":1,"service":"{pool}","maxAttempts":2,"resumable":{resumable},"gapTargetMs":300}}"#
        )
    };
    let routes = [
        route("once", "streaming", MODEL_POOL, false),
        route("again", "streaming", MODEL_POOL, true),
        route("app", "non_idempotent", application, false),
        route("look", "idempotent", application, false),
    ];
    let plain = |pool: &str| {
        format!(
            r#"{{"name":"{pool}","healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false}}"#
        )
    };
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{MODEL_POOL}","healthPath":"/health","connectionLimit":50,"protocol":"h1","tls":false,"engine":{{"slots":8,"kvTokens":100000,"kvBytes":18432,"linkMbps":370000.0,"moves":true,"backups":true,"stride":8,"most":12,"handleTtlS":5.0,"stageSwitchS":2.3,"pinMs":4000.0,"holdMs":2000.0,"models":[{{"name":"m"}}]}}}},{},{}],"limits":{{"maxHeaderBytes":4096,"maxBodyBytes":{MAX_BODY_BYTES},"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        plain(APPLICATION_POOLS[0]),
        plain(APPLICATION_POOLS[1]),
        tenants_text(),
    )
}

fn tenants_text() -> String {
    let free = TENANTS.map(|tenant| format!(r#"{{"name":"{}","apiKeys":["{}"]}}"#, tenant.name, tenant.key));
    let RatedTenant {
        tenant: Tenant { name, key },
        per_second,
        burst,
    } = RATED_TENANT;
    let rated = format!(
        r#"{{"name":"{name}","apiKeys":["{key}"],"unit":"token_generation","plainTokens":200,"ratePerS":{per_second},"burst":{burst}}}"#
    );
    format!("{},{rated}", free.join(","))
}

/// As the store keeps values.
pub(super) fn base64(text: &str) -> String {
    STANDARD.encode(text)
}

/// A node's row with its address replaced, in base64; absent if it has no address.
pub(super) fn with_address(value: &str, replaced: impl Fn(SocketAddr) -> SocketAddr) -> Option<String> {
    let row = String::from_utf8(STANDARD.decode(value).ok()?).ok()?;
    let (address, rest) = row.split_once(' ')?;
    let address = replaced(address.parse().ok()?);
    Some(base64(&format!("{address} {rest}")))
}
