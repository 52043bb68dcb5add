//! What the administration API sees of this gateway.

use crate::admin::AdminContext;
use crate::context::Context;
use crate::identifiers::{new_nonce, parse_public, public_id};
use crate::registry::RunningRequest;
use crate::watch::bundles;
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::bundle::{BundleInForce, Head};
use shelfjunction_core::identity::{NodeId, RequestId, ZoneId};
use shelfjunction_core::request::event::Event;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_platform::services::{ObjectStore, TableService};
use shelfjunction_protocol::operator::{EngineView, NodeView, RequestView, TenantUsage};
use shelfjunction_threads::lock;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// This gateway, as the administration API sees it.
pub(crate) struct AdminAccess<'a>(pub(crate) &'a Arc<Context>);

impl AdminContext for AdminAccess<'_> {
    fn node(&self) -> NodeId {
        self.0.config.node.clone()
    }

    fn zone(&self) -> ZoneId {
        self.0.config.zone.clone()
    }

    fn bundle(&self) -> Option<Arc<BundleInForce>> {
        let served = self.0.bundles.served()?;
        Some(Arc::clone(&served.bundle))
    }

    fn roots(&self) -> &SigningAuthority {
        self.0.bundles.roots()
    }

    fn confirmed_ago(&self) -> Option<Duration> {
        self.0.bundles.confirmed_ago(self.0.now())
    }

    fn is_isolated(&self) -> bool {
        self.0.bundles.is_isolated(self.0.now())
    }

    fn table(&self) -> &dyn TableService {
        &*self.0.backends.table
    }

    fn objects(&self) -> &dyn ObjectStore {
        &*self.0.backends.objects
    }

    fn announce(&self, head: Head) {
        bundles::announce(self.0, head);
    }

    fn new_identifier(&self) -> String {
        self.0.with_random(new_nonce)
    }

    fn nodes(&self) -> Vec<NodeView> {
        let now = self.0.now();
        lock(&self.0.fleet)
            .nodes()
            .map(|(node, known)| NodeView {
                node: node.clone(),
                record: known.record.clone(),
                age_millis: millis_since(known.observed_at, now),
            })
            .collect()
    }

    fn engines(&self) -> Vec<EngineView> {
        let now = self.0.now();
        lock(&self.0.fleet)
            .router
            .engines()
            .map(|(engine, view)| EngineView {
                engine: engine.clone(),
                record: view.record.clone(),
                age_millis: millis_since(view.observed_at, now),
            })
            .collect()
    }

    fn usage(&self) -> Vec<TenantUsage> {
        self.0.usage.all()
    }

    fn request(&self, request: &RequestId) -> Option<RequestView> {
        let (request, running) = self.find(request)?;
        Some(self.view(&request, &running))
    }

    fn cancel_request(&self, request: &RequestId) -> Option<RequestView> {
        let (request, running) = self.find(request)?;
        // A course that ends in this moment takes nothing more, and has nothing left to cancel.
        let _ = running.events.try_send(Event::CallerCancelled);
        Some(self.view(&request, &running))
    }
}

impl AdminAccess<'_> {
    fn find(&self, request: &RequestId) -> Option<(RequestId, RunningRequest)> {
        let public = parse_public(request.as_str())?;
        self.0.registry.find_nonce(&public.nonce)
    }

    fn view(&self, request: &RequestId, running: &RunningRequest) -> RequestView {
        RequestView {
            request: RequestId(public_id(request, running.engine.as_ref())),
            tenant: running.tenant.clone(),
            model: running.model.clone(),
            state: "running".to_owned(),
            zone: running.zone.clone(),
            engine: running.engine.clone(),
            output_tokens: running.output_tokens.load(Ordering::Relaxed),
            age_millis: millis_since(running.since, self.0.now()),
        }
    }
}

fn millis_since(earlier: MonotonicTime, now: MonotonicTime) -> u64 {
    u64::try_from(now.since(earlier).as_millis()).unwrap_or(u64::MAX)
}
