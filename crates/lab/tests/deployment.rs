//! The example deployments are valid, and a node that trusts their roots brings them into force.

#![allow(clippy::unwrap_used)]

use shelfjunction_core::bundle::validate::validate;
use shelfjunction_core::bundle::{BundleKeeper, HeadSource};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_lab::cluster::deployment::Deployment;
use shelfjunction_lab::cluster::publish::publish_first;
use shelfjunction_lab::platform::{PlatformConfig, PlatformServer};
use shelfjunction_platform::http_platform::{HttpPlatform, PlatformTimeouts};
use shelfjunction_platform::services::ObjectStore;

#[test]
fn example_deployments_come_into_force() {
    for deployment in [Deployment::pharmacy(), Deployment::kadriks()] {
        assert_eq!(validate(&deployment.bundle), vec![]);
        let server = PlatformServer::start(PlatformConfig::default()).unwrap();
        let platform = HttpPlatform::new(server.address(), PlatformTimeouts::default());
        let current = publish_first(&platform, &deployment).unwrap();
        let mut keeper = BundleKeeper::new(deployment.roots(), deployment.zones[0].clone());
        keeper.on_head(Some(current.head()), &HeadSource::Store, MonotonicTime::default());
        while !keeper.wanted().is_empty() {
            let contents = keeper.wanted().into_iter().map(|digest| {
                let content = platform.get(&digest.to_string()).unwrap();
                content.unwrap()
            });
            keeper.on_contents(contents.collect::<Vec<_>>());
        }
        let in_force = keeper.in_force().unwrap();
        assert_eq!(in_force.generation(), current.generation);
        assert_eq!(in_force.tenant_count(), deployment.bundle.tenants.len());
    }
}
