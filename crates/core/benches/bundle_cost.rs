//! What a change of one tenant costs a process, against taking in the whole bundle.
//!
//! `cargo bench -p shelfjunction-core --bench bundle_cost` prints the memory of one bundle, one table over the number of tenants and one over
//! the size of a bucket at 4,800 tenants. Times are the best of several runs of one thread; no test asserts them.

// Waits of tests and the lab, on machines that are not suspended.
#![allow(clippy::disallowed_methods)]

use shelfjunction_core::bundle::content::{
    Bundle, ModelGrant, ModelKind, ModelRule, OperatorAction, OperatorRule, TenantRule, ZoneRule,
};
use shelfjunction_core::bundle::manifest::{self, PackedBundle, TENANTS_PER_BUCKET};
use shelfjunction_core::bundle::signature::{self, ProposalId, SignedBundle, SigningAuthority, Statement};
use shelfjunction_core::bundle::{BundleKeeper, Digest, Head, HeadSource, canonical};
use shelfjunction_core::identity::{
    Generation, ModelId, OperatorId, RegionId, TenantId, WeightVersion, ZoneId,
};
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::tenancy::TenantDirectory;
use shelfjunction_core::time::MonotonicTime;
use std::time::{Duration, Instant};

const SECRET: [u8; 32] = [1; 32];
const RUNS: usize = 7;
const MODELS: usize = 9;
const ZONES: usize = 7;
const CHANGES_A_DAY: f64 = 2_000.0;
const SECONDS_A_DAY: f64 = 86_400.0;

/// Bytes of a page, for `/proc/self/statm`.
const PAGE_BYTES: usize = 4_096;

fn main() {
    println!(
        "resident memory that ten processes' bundles of 4,800 tenants add, by tenth: {} KB",
        resident_for_one_bundle() / 1_024
    );
    println!();
    println!(
        "tenants  buckets  whole_bytes  change_bytes  change_bytes_per_s  whole_ms  change_ms  lookup_us"
    );
    for tenants in [300, 1_200, 4_800, 9_600, 19_200] {
        let cost = measure(tenants, manifest::bucket_count(tenants));
        cost.print(tenants);
    }
    println!();
    println!(
        "at 4,800 tenants, by buckets ({TENANTS_PER_BUCKET} tenants a bucket on average at most are the default)"
    );
    println!(
        "tenants  buckets  whole_bytes  change_bytes  change_bytes_per_s  whole_ms  change_ms  lookup_us"
    );
    for buckets in [8, 16, 32, 64, 128, 256, 512, 1_024] {
        measure(4_800, buckets).print(4_800);
    }
}

/// Resident memory, in bytes; zero where the system does not tell.
fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}

/// Resident memory of one keeper with a bundle in force: ten are held at once, so that what the allocator keeps for
/// itself counts little.
fn resident_for_one_bundle() -> usize {
    let bundle = pack(&bundle(4_800), 1, None, manifest::bucket_count(4_800));
    let before = resident();
    let held: Vec<BundleKeeper> = (0..10)
        .map(|_| {
            let mut keeper = BundleKeeper::new(roots(), ZoneId::new("zone-0"));
            take_in(&mut keeper, &bundle);
            keeper
        })
        .collect();
    resident().saturating_sub(before) / held.len()
}

struct Cost {
    buckets: usize,
    whole_bytes: usize,
    change_bytes: usize,
    whole: Duration,
    change: Duration,
    lookup: Duration,
}

impl Cost {
    fn print(&self, tenants: usize) {
        println!(
            "{tenants:>7}  {:>7}  {:>11}  {:>12}  {:>18.0}  {:>8.2}  {:>9.3}  {:>9.1}",
            self.buckets,
            self.whole_bytes,
            self.change_bytes,
            self.change_bytes as f64 * CHANGES_A_DAY / SECONDS_A_DAY,
            self.whole.as_secs_f64() * 1e3,
            self.change.as_secs_f64() * 1e3,
            self.lookup.as_secs_f64() * 1e6,
        );
    }
}

fn measure(tenants: usize, buckets: usize) -> Cost {
    let first = bundle(tenants);
    let mut second = first.clone();
    second.tenants[tenants / 2].share += 1;
    let first = pack(&first, 1, None, buckets);
    let second = pack(&second, 2, Some(first.head.digest), buckets);
    let mut cost = Cost {
        buckets,
        whole_bytes: 0,
        change_bytes: 0,
        whole: Duration::MAX,
        change: Duration::MAX,
        lookup: Duration::MAX,
    };
    for _ in 0..RUNS {
        let mut keeper = BundleKeeper::new(roots(), ZoneId::new("zone-0"));
        let started = Instant::now();
        cost.whole_bytes = take_in(&mut keeper, &first);
        cost.whole = cost.whole.min(started.elapsed());
        let started = Instant::now();
        cost.change_bytes = take_in(&mut keeper, &second);
        cost.change = cost.change.min(started.elapsed());
        cost.lookup = cost.lookup.min(lookup(&keeper));
    }
    cost
}

struct Signed {
    head: Head,
    signed: Vec<u8>,
    packed: PackedBundle,
}

fn pack(bundle: &Bundle, generation: u64, authority: Option<Digest>, buckets: usize) -> Signed {
    let packed = manifest::pack_into(bundle, buckets);
    let generation = Generation(generation);
    let statement = Statement {
        generation,
        manifest: packed.manifest_digest(),
        proposal: ProposalId::new(generation, "proposal"),
        authority,
    };
    let signatures = vec![signature::sign(&SECRET, OperatorId::new("alice"), &statement)];
    let signed = SignedBundle {
        statement,
        signatures,
    };
    Signed {
        head: Head {
            generation,
            digest: signed.digest(),
        },
        signed: signed.to_bytes(),
        packed,
    }
}

/// Hands over what the keeper asks for until the bundle is in force; gives the bytes that travelled.
fn take_in(keeper: &mut BundleKeeper, bundle: &Signed) -> usize {
    let mut bytes = 0;
    keeper.on_head(Some(bundle.head), &HeadSource::Store, MonotonicTime::default());
    let mut asked = Vec::new();
    while keeper.head() != Some(bundle.head) {
        let wanted = keeper.wanted();
        assert!(!wanted.is_empty() && wanted != asked, "the bundle was refused");
        let contents: Vec<&[u8]> = wanted.iter().filter_map(|digest| bundle.get(*digest)).collect();
        bytes += contents.iter().map(|content| content.len()).sum::<usize>();
        keeper.on_contents(contents);
        asked = wanted;
    }
    bytes
}

impl Signed {
    fn get(&self, digest: Digest) -> Option<&[u8]> {
        if digest == self.head.digest {
            return Some(&self.signed);
        }
        let content = self
            .packed
            .contents
            .iter()
            .find(|content| content.digest == digest);
        content.map(|content| content.bytes.as_slice())
    }
}

fn lookup(keeper: &BundleKeeper) -> Duration {
    let Some(bundle) = keeper.in_force() else {
        return Duration::MAX;
    };
    let directory = TenantDirectory::new(bundle);
    let started = Instant::now();
    let found = directory.authenticate("token of tenant 00007").is_some();
    let took = started.elapsed();
    assert!(found, "the tenant is unknown");
    took
}

fn roots() -> SigningAuthority {
    SigningAuthority::of_bundle(&[operator()], 1)
}

fn operator() -> OperatorRule {
    OperatorRule {
        operator: OperatorId::new("alice"),
        public_key: signature::public_key(&SECRET),
        token_sha256: Digest::of(b"operator").to_hex(),
        actions: vec![OperatorAction::Sign],
        tenants: Vec::new(),
    }
}

fn bundle(tenants: usize) -> Bundle {
    let zones: Vec<ZoneRule> = (0..ZONES)
        .map(|zone| ZoneRule {
            zone: ZoneId::new(format!("zone-{zone}")),
            region: RegionId::new(format!("region-{}", zone % 3)),
        })
        .collect();
    let models = (0..MODELS)
        .map(|model| ModelRule {
            model: ModelId::new(format!("model-{model}")),
            version: WeightVersion::new("1"),
            kind: ModelKind::Model,
            weight_bytes: 1,
            adapters: Vec::new(),
            floors: Vec::new(),
        })
        .collect();
    canonical::sorted(Bundle {
        label: "measured".to_owned(),
        tenants: (0..tenants).map(|number| tenant(number, &zones)).collect(),
        zones,
        models,
        operators: vec![operator()],
        ..Bundle::default()
    })
}

fn tenant(number: usize, zones: &[ZoneRule]) -> TenantRule {
    TenantRule {
        tenant: TenantId::new(format!("tenant-{number:05}")),
        token_sha256: Digest::of(format!("token of tenant {number:05}").as_bytes()).to_hex(),
        zones: zones.iter().take(3).map(|rule| rule.zone.clone()).collect(),
        models: (0..2)
            .map(|offset| ModelGrant {
                model: ModelId::new(format!("model-{}", (number + offset) % MODELS)),
                class: ServiceClass::Interactive,
                key_required: offset == 1,
            })
            .collect(),
        requests_per_second: 10,
        tokens_in_flight: 100_000,
        share: 1,
        rate: None,
    }
}
