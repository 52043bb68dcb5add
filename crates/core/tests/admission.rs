//! Admission: one tenant's burst costs another nothing, nothing starves, and returns are spread.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shelfjunction_core::admission::{
    AdmissionConfig, AdmissionController, AdmissionQuery, AdmissionTicket, AdmittedWork, ModelCapacity,
    TenantLimits, TicketState,
};
use shelfjunction_core::identity::{ModelId, TenantId};
use shelfjunction_core::outcome::RefusalReason;
use shelfjunction_core::routing::RouteEstimate;
use shelfjunction_core::service_class::ServiceClass;
use shelfjunction_core::time::MonotonicTime;
use std::collections::VecDeque;
use std::time::Duration;

const STEP: Duration = Duration::from_millis(10);

fn query(tenant: &str, class: ServiceClass, tokens: u32) -> AdmissionQuery {
    AdmissionQuery {
        tenant: TenantId::new(tenant),
        limits: TenantLimits {
            requests_per_second: 100_000,
            tokens_in_flight: u64::MAX / 4,
            share: 1,
        },
        class,
        model: ModelId::new("renewal"),
        prompt_tokens: tokens,
        expected_output_tokens: 0,
        first_token: None,
        deadline: Duration::from_secs(3_600),
        estimate: None,
    }
}

/// One gateway before engines that start one request per step.
struct Served {
    admission: AdmissionController,
    waiting: VecDeque<(String, AdmissionTicket)>,
    running: VecDeque<AdmissionTicket>,
    now: MonotonicTime,
    random: ChaCha8Rng,
}

impl Served {
    fn new() -> Self {
        let mut served = Self {
            admission: AdmissionController::new(AdmissionConfig {
                queued_per_tenant: 1_000,
                ..AdmissionConfig::default()
            }),
            waiting: VecDeque::new(),
            running: VecDeque::new(),
            now: MonotonicTime::from_millis(1_000),
            random: ChaCha8Rng::seed_from_u64(7),
        };
        let capacity = ModelCapacity {
            prefill_tokens_per_second: 1_000.0,
            decode_tokens_per_second: 1_000.0,
            backlog_seconds: 10.0,
            sequence_places: 1.0,
            requests_at_engines: 1.0,
            gateways: 1,
        };
        served
            .admission
            .set_capacity(&ModelId::new("renewal"), capacity, served.now);
        served
    }

    fn arrive(&mut self, tenant: &str, class: ServiceClass) {
        let asked = query(tenant, class, 100);
        if let Ok(ticket) = self.admission.admit(&asked, self.now, &mut self.random) {
            self.waiting.push_back((format!("{tenant} {class:?}"), ticket));
        }
    }

    /// Ends what ran and gives the names of what started.
    fn step(&mut self) -> Vec<String> {
        self.now = self.now + STEP;
        while let Some(ticket) = self.running.pop_front() {
            self.admission.release(ticket, AdmittedWork::default(), self.now);
        }
        let mut started = Vec::new();
        for _ in 0..self.waiting.len() {
            let (name, ticket) = self.waiting.pop_front().unwrap();
            if self.admission.state(&ticket) == TicketState::Started {
                started.push(name);
                self.running.push_back(ticket);
            } else {
                self.waiting.push_back((name, ticket));
            }
        }
        started
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn a_burst_of_one_tenant_costs_another_nothing(burst in 1..400_usize, gap in 2..6_usize) {
        let mut served = Served::new();
        for _ in 0..burst {
            served.arrive("greedy", ServiceClass::Standard);
        }
        let mut modest_arrived = 0;
        let mut modest_started = 0;
        for step in 0..200 {
            if step % gap == 0 {
                served.arrive("modest", ServiceClass::Standard);
                modest_arrived += 1;
            }
            let started = served.step();
            modest_started += started.iter().filter(|name| name.starts_with("modest")).count();
            prop_assert!(modest_arrived - modest_started <= 2, "the modest tenant waits for the burst");
        }
    }
}

#[test]
fn interactive_goes_first_and_batch_does_not_starve() {
    let mut served = Served::new();
    served.arrive("tenant", ServiceClass::Interactive);
    for _ in 0..20 {
        served.arrive("tenant", ServiceClass::Batch);
    }
    let mut batch = 0;
    let mut interactive = 0;
    for step in 0..3_000 {
        served.arrive("tenant", ServiceClass::Interactive);
        for name in served.step() {
            if name.ends_with("Batch") {
                batch += 1;
                assert!(step > 900, "batch overtook interactive before its turn");
            } else {
                interactive += 1;
            }
        }
    }
    assert_eq!(batch, 20, "interactive work that never ends starves batch");
    assert!(interactive > 2_900);
}

#[test]
fn what_cannot_meet_its_deadline_is_refused_at_once_with_spread_returns() {
    let mut served = Served::new();
    let late = AdmissionQuery {
        deadline: Duration::from_secs(1),
        estimate: Some(RouteEstimate {
            first_token: Duration::from_secs(2),
            total: Duration::from_secs(3),
        }),
        ..query("tenant", ServiceClass::Standard, 100)
    };
    let mut returns: Vec<Duration> = (0..100)
        .map(|_| {
            let refusal = served
                .admission
                .admit(&late, served.now, &mut served.random)
                .unwrap_err();
            assert_eq!(refusal.reason, RefusalReason::DeadlineUnreachable);
            refusal.retry_after.unwrap()
        })
        .collect();
    returns.sort();
    assert!(returns[0] >= Duration::from_secs(2));
    let bunched = returns
        .windows(10)
        .filter(|ten| ten[9] - ten[0] < Duration::from_millis(200));
    assert_eq!(
        bunched.count(),
        0,
        "ten returns come within the time that serves two"
    );
}

#[test]
fn limits_on_rate_and_tokens_hold_and_are_given_back() {
    let mut served = Served::new();
    let mut limited = query("tenant", ServiceClass::Interactive, 600);
    limited.limits = TenantLimits {
        requests_per_second: 2,
        tokens_in_flight: 1_000,
        share: 1,
    };
    let first = served
        .admission
        .admit(&limited, served.now, &mut served.random)
        .unwrap();
    let over = served
        .admission
        .admit(&limited, served.now, &mut served.random)
        .unwrap_err();
    assert_eq!(over.reason, RefusalReason::OverLimit);
    served
        .admission
        .release(first, AdmittedWork::default(), served.now);
    assert_eq!(served.admission.tokens_in_flight(&limited.tenant), 0);
    let mut admitted = 0;
    for _ in 0..50 {
        if let Ok(ticket) = served.admission.admit(&limited, served.now, &mut served.random) {
            served
                .admission
                .release(ticket, AdmittedWork::default(), served.now);
            admitted += 1;
        }
    }
    assert_eq!(
        admitted, 3,
        "two seconds of the rate may be spent at once, one request of it is spent"
    );
}

/// Guards against a tenant over its rate that pushes the times back at which other tenants are asked to come back.
#[test]
fn what_is_over_a_tenants_rate_takes_no_time_to_return_of_others() {
    let mut served = Served::new();
    let late = |tenant| AdmissionQuery {
        deadline: Duration::from_secs(1),
        estimate: Some(RouteEstimate {
            first_token: Duration::from_secs(2),
            total: Duration::from_secs(3),
        }),
        limits: TenantLimits {
            requests_per_second: 1,
            tokens_in_flight: 1_000,
            share: 1,
        },
        ..query(tenant, ServiceClass::Interactive, 100)
    };
    let mut refuse = |query: &AdmissionQuery| {
        let refused = served.admission.admit(query, served.now, &mut served.random);
        refused.unwrap_err()
    };
    let first = refuse(&late("modest")).retry_after.unwrap();
    let mut greedy = late("greedy");
    greedy.limits.tokens_in_flight = 0;
    greedy.expected_output_tokens = 10;
    let mut running = greedy.clone();
    running.deadline = Duration::from_secs(3_600);
    running.estimate = None;
    served
        .admission
        .admit(&running, served.now, &mut served.random)
        .unwrap();
    let mut refuse = |query: &AdmissionQuery| {
        let refused = served.admission.admit(query, served.now, &mut served.random);
        refused.unwrap_err()
    };
    for _ in 0..100 {
        assert_eq!(refuse(&greedy).reason, RefusalReason::OverLimit);
    }
    let later = refuse(&late("modest")).retry_after.unwrap();
    assert!(later < first * 2, "{later:?} after {first:?}");
}
