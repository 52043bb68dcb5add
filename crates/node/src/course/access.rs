//! For whom a request is served, and with which rank.

use crate::ports::Call;
use shelfjunction_core::forwarding::{ForwardingConfig, RouteRule};
use shelfjunction_core::identity::TenantId;
use shelfjunction_core::tenancy::{AccessRefusal, ApiTenants};

/// For whom a request is served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Access {
    /// The tenant; absent for callers that need no key.
    pub(super) tenant: Option<TenantId>,
    /// Rank; zero goes first.
    pub(super) priority: u8,
}

impl Access {
    /// Looks the caller's key up among the tenants of the configuration in force.
    pub(super) fn of(
        config: &ForwardingConfig,
        route: &RouteRule,
        call: &Call,
    ) -> Result<Self, AccessRefusal> {
        let admit = |tenants: &ApiTenants| {
            let tenant = tenants.admit(call.key.as_ref(), route.anonymous)?;
            Ok(tenant.cloned())
        };
        let tenant = config.tenants.as_ref().map(admit).transpose()?.flatten();
        Ok(Self {
            priority: tenant
                .as_ref()
                .and_then(|tenant| tenant.priority)
                .unwrap_or(route.priority),
            tenant: tenant.map(|tenant| tenant.tenant),
        })
    }

    /// Name of the tenant for logs.
    pub(super) fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("none", TenantId::as_str)
    }
}
