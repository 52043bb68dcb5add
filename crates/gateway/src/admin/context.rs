//! What the administration API needs of the gateway that it is part of.

use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::bundle::{BundleInForce, Head};
use shelfjunction_core::identity::{NodeId, RequestId, ZoneId};
use shelfjunction_platform::services::{ObjectStore, TableService};
use shelfjunction_protocol::operator::{EngineView, NodeView, RequestView, TenantUsage};
use std::sync::Arc;
use std::time::Duration;

/// What the administration API needs of the gateway that it is part of.
pub trait AdminContext: Send + Sync {
    /// This machine.
    fn node(&self) -> NodeId;

    /// Its zone.
    fn zone(&self) -> ZoneId;

    /// The bundle in force here.
    fn bundle(&self) -> Option<Arc<BundleInForce>>;

    /// The root keys, which sign the first bundle.
    fn roots(&self) -> &SigningAuthority;

    /// Time since the bundle in force was last confirmed as current.
    fn confirmed_ago(&self) -> Option<Duration>;

    /// Whether new work is refused because the bundle can't be known to be current.
    fn is_isolated(&self) -> bool;

    /// The table service.
    fn table(&self) -> &dyn TableService;

    /// The object store.
    fn objects(&self) -> &dyn ObjectStore;

    /// Tells the controllers at once that this head was accepted; must not wait for them.
    fn announce(&self, head: Head);

    /// An unguessable identifier of 32 hexadecimal digits.
    fn new_identifier(&self) -> String;

    /// Nodes known here, by identifier.
    fn nodes(&self) -> Vec<NodeView>;

    /// Engines known here, by identifier.
    fn engines(&self) -> Vec<EngineView>;

    /// Use of this gateway by tenant.
    fn usage(&self) -> Vec<TenantUsage>;

    /// A request known here.
    fn request(&self, request: &RequestId) -> Option<RequestView>;

    /// Cancels a request that runs here; absent when none with this identifier is known.
    fn cancel_request(&self, request: &RequestId) -> Option<RequestView>;
}
