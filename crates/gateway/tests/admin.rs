//! The administration API against racing operators and a platform that loses answers or does nothing.
//!
//! The oracle is the table itself: whoever was told "accepted" is in the history at that place, whoever was told
//! "conflict" is not, the history has no gaps, and a repeated call settles what was left unsettled.
#![allow(clippy::unwrap_used)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed};
use serde::Serialize;
use serde::de::DeserializeOwned;
use shelfjunction_core::bundle::acceptance::{CURRENT_KEY, CurrentRow, HISTORY_PREFIX, HistoryRow};
use shelfjunction_core::bundle::content::{Bundle, OperatorAction, OperatorRule, ZoneRule};
use shelfjunction_core::bundle::digest::Digest;
use shelfjunction_core::bundle::signature::{
    self, OperatorSignature, ProposalId, SigningAuthority, SigningOperator, Statement,
};
use shelfjunction_core::bundle::{BundleInForce, BundleKeeper, Head, HeadSource, manifest};
use shelfjunction_core::identity::{Generation, NodeId, OperatorId, RegionId, RequestId, TenantId, ZoneId};
use shelfjunction_core::table::{PlatformError, Row, RowKey, RowVersion, Transaction, TransactionOutcome};
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_gateway::admin::{AdminContext, AdminMethod, AdminRequest, handle};
use shelfjunction_platform::services::{ObjectStore, TableService};
use shelfjunction_protocol::operator::{
    AdminError, AdminErrorCode, BootstrapRequest, EngineView, NodeView, ProposalReply, ProposeRequest,
    RequestView, RollbackRequest, RolloutReply, RolloutRequest, TenantUsage,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the platform does with the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    Unavailable,
    AnswerLost,
}

#[derive(Default)]
struct Store {
    rows: BTreeMap<RowKey, Row>,
    objects: BTreeMap<String, Vec<u8>>,
    version: u64,
    faults: VecDeque<Fault>,
}

type Interruption = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct Platform(Mutex<Store>, Mutex<Option<Interruption>>);

impl Platform {
    fn call<T>(&self, work: impl FnOnce(&mut Store) -> T) -> Result<T, PlatformError> {
        let mut store = self.0.lock().unwrap();
        match store.faults.pop_front().unwrap_or(Fault::None) {
            Fault::Unavailable => Err(PlatformError::Unavailable),
            Fault::None => Ok(work(&mut store)),
            Fault::AnswerLost => {
                work(&mut store);
                Err(PlatformError::AnswerLost)
            }
        }
    }

    fn history(&self) -> Vec<HistoryRow> {
        let store = self.0.lock().unwrap();
        let rows = store.rows.values();
        rows.filter(|row| row.key.0.starts_with(HISTORY_PREFIX))
            .map(|row| serde_json::from_str(&row.value).unwrap())
            .collect()
    }
}

impl TableService for Platform {
    fn read(&self, key: &RowKey) -> Result<Option<Row>, PlatformError> {
        self.call(|store| store.rows.get(key).cloned())
    }

    fn scan(&self, prefix: &str) -> Result<Vec<Row>, PlatformError> {
        self.call(|store| {
            let rows = store.rows.values();
            rows.filter(|row| row.key.0.starts_with(prefix))
                .cloned()
                .collect()
        })
    }

    fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome, PlatformError> {
        let interruption = self.1.lock().unwrap().take();
        if let Some(interruption) = interruption {
            interruption();
        }
        self.call(|store| {
            for check in &transaction.checks {
                let found = store.rows.get(&check.key).cloned();
                if found.as_ref().map(|row| row.version) != check.expected {
                    return TransactionOutcome::Conflict {
                        key: check.key.clone(),
                        found,
                    };
                }
            }
            store.version += 1;
            let version = RowVersion(store.version);
            for write in &transaction.writes {
                let key = write.key.clone();
                match write.value.clone() {
                    Some(value) => store.rows.insert(key.clone(), Row { key, version, value }),
                    None => store.rows.remove(&key),
                };
            }
            TransactionOutcome::Committed { version }
        })
    }
}

impl ObjectStore for Platform {
    fn put(&self, name: &str, bytes: &[u8]) -> Result<(), PlatformError> {
        self.call(|store| {
            store.objects.insert(name.to_owned(), bytes.to_vec());
        })
    }

    fn get(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.call(|store| store.objects.get(name).cloned())
    }
}

fn operator(name: &str) -> OperatorId {
    OperatorId::new(name)
}

fn secret(name: &str) -> [u8; 32] {
    Digest::of(name.as_bytes()).0
}

fn token(name: &str) -> String {
    format!("token of {name}")
}

fn roots() -> SigningAuthority {
    SigningAuthority {
        required_signatures: 1,
        operators: vec![SigningOperator {
            operator: operator("root"),
            public_key: signature::public_key(&secret("root")),
        }],
    }
}

const ALL: [OperatorAction; 5] = [
    OperatorAction::View,
    OperatorAction::Propose,
    OperatorAction::Sign,
    OperatorAction::Rollout,
    OperatorAction::Requests,
];

fn operator_rule(name: &str, actions: &[OperatorAction]) -> OperatorRule {
    OperatorRule {
        operator: operator(name),
        public_key: signature::public_key(&secret(name)),
        token_sha256: Digest::of(token(name).as_bytes()).to_hex(),
        actions: actions.to_vec(),
        tenants: vec![TenantId::new("chain-a")],
    }
}

fn bundle(label: &str) -> Bundle {
    Bundle {
        label: label.to_owned(),
        zones: vec![ZoneRule {
            zone: ZoneId::new("zone-a"),
            region: RegionId::new("region"),
        }],
        operators: vec![
            operator_rule("alice", &ALL),
            operator_rule("bob", &ALL),
            operator_rule("viewer", &[OperatorAction::View]),
        ],
        ..Bundle::default()
    }
}

/// One gateway's administration API.
struct Gateway {
    platform: Arc<Platform>,
    roots: SigningAuthority,
    keeper: Mutex<BundleKeeper>,
    identifiers: Mutex<u64>,
}

impl Gateway {
    fn new(platform: &Arc<Platform>) -> Self {
        Self {
            platform: Arc::clone(platform),
            roots: roots(),
            keeper: Mutex::new(BundleKeeper::new(roots(), ZoneId::new("zone-a"))),
            identifiers: Mutex::new(0),
        }
    }

    /// Reads the store as the controller's poller would.
    fn catch_up(&self) {
        let store = self.platform.0.lock().unwrap();
        let mut keeper = self.keeper.lock().unwrap();
        let Some(row) = store.rows.get(&RowKey(CURRENT_KEY.to_owned())) else {
            return;
        };
        let current: CurrentRow = serde_json::from_str(&row.value).unwrap();
        let now = MonotonicTime::default();
        keeper.on_head(Some(current.head()), &HeadSource::Store, now);
        while !keeper.wanted().is_empty() {
            let contents: Vec<Vec<u8>> = keeper
                .wanted()
                .iter()
                .map(|digest| store.objects[&digest.to_hex()].clone())
                .collect();
            keeper.on_contents(contents);
        }
        assert_eq!(keeper.head(), Some(current.head()));
    }

    fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        token: Option<&str>,
        body: &B,
    ) -> Result<R, AdminError> {
        self.send(AdminMethod::Post, path, token, &serde_json::to_vec(body).unwrap())
    }

    fn send<R: DeserializeOwned>(
        &self,
        method: AdminMethod,
        path: &str,
        token: Option<&str>,
        body: &[u8],
    ) -> Result<R, AdminError> {
        let response = handle(
            self,
            &AdminRequest {
                method,
                path,
                token,
                body,
            },
        );
        match response.status {
            200 => Ok(serde_json::from_slice(&response.body).unwrap()),
            _ => Err(serde_json::from_slice(&response.body).unwrap()),
        }
    }

    fn bootstrap(&self, bundle: Bundle, proposal: &str, key: &str) -> Result<RolloutReply, AdminError> {
        let statement = Statement {
            generation: Generation(1),
            manifest: manifest::pack(&bundle).manifest_digest(),
            proposal: ProposalId(proposal.to_owned()),
            authority: None,
        };
        let request = BootstrapRequest {
            bundle,
            proposal: statement.proposal.clone(),
            signatures: vec![signature::sign(&secret(key), operator(key), &statement)],
        };
        self.post("/admin/bootstrap", None, &request)
    }

    fn propose_and_sign(&self, name: &str, label: &str) -> Result<ProposalReply, AdminError> {
        let request = ProposeRequest {
            bundle: bundle(label),
            base: None,
        };
        let reply: ProposalReply = self.post("/admin/bundles", Some(&token(name)), &request)?;
        self.sign(name, &reply)
    }

    fn sign(&self, name: &str, reply: &ProposalReply) -> Result<ProposalReply, AdminError> {
        let statement = &reply.proposal.statement;
        let signature: OperatorSignature = signature::sign(&secret(name), operator(name), statement);
        let path = format!("/admin/bundles/{}/signatures", statement.proposal);
        self.post(&path, Some(&token(name)), &signature)
    }

    fn roll_out(&self, name: &str, proposal: &ProposalId) -> Result<RolloutReply, AdminError> {
        let request = RolloutRequest {
            proposal: proposal.clone(),
        };
        self.post("/admin/rollout", Some(&token(name)), &request)
    }
}

impl AdminContext for Gateway {
    fn node(&self) -> NodeId {
        NodeId::new("node-1")
    }

    fn zone(&self) -> ZoneId {
        ZoneId::new("zone-a")
    }

    fn bundle(&self) -> Option<Arc<BundleInForce>> {
        self.keeper.lock().unwrap().in_force().cloned()
    }

    fn roots(&self) -> &SigningAuthority {
        &self.roots
    }

    fn confirmed_ago(&self) -> Option<Duration> {
        None
    }

    fn is_isolated(&self) -> bool {
        false
    }

    fn table(&self) -> &dyn TableService {
        &*self.platform
    }

    fn objects(&self) -> &dyn ObjectStore {
        &*self.platform
    }

    fn announce(&self, _head: Head) {}

    fn new_identifier(&self) -> String {
        let mut identifiers = self.identifiers.lock().unwrap();
        *identifiers += 1;
        let gateway = std::ptr::from_ref(self) as usize;
        format!("{gateway:x}n{identifiers}")
    }

    fn nodes(&self) -> Vec<NodeView> {
        Vec::new()
    }

    fn engines(&self) -> Vec<EngineView> {
        Vec::new()
    }

    fn usage(&self) -> Vec<TenantUsage> {
        ["chain-a", "chain-b"].map(usage).to_vec()
    }

    fn request(&self, request: &RequestId) -> Option<RequestView> {
        let tenant = request.as_str().split_once('.')?.0;
        Some(RequestView {
            request: request.clone(),
            tenant: TenantId::new(tenant),
            model: "renewal".to_owned(),
            state: "running".to_owned(),
            zone: None,
            engine: None,
            output_tokens: 0,
            age_millis: 0,
        })
    }

    fn cancel_request(&self, request: &RequestId) -> Option<RequestView> {
        self.request(request)
    }
}

fn usage(tenant: &str) -> TenantUsage {
    TenantUsage {
        tenant: TenantId::new(tenant),
        requests: 1,
        not_run: 0,
        prompt_tokens: 1,
        output_tokens: 1,
        in_flight: 0,
    }
}

fn started() -> (Arc<Platform>, Gateway, Gateway) {
    let platform = Arc::new(Platform::default());
    let (first, second) = (Gateway::new(&platform), Gateway::new(&platform));
    first.bootstrap(bundle("first"), "1-boot", "root").unwrap();
    first.catch_up();
    second.catch_up();
    (platform, first, second)
}

#[test]
fn the_first_bundle_needs_a_root_key_and_comes_once() {
    let platform = Arc::new(Platform::default());
    let gateway = Gateway::new(&platform);
    let stranger = gateway.bootstrap(bundle("first"), "1-a", "alice").unwrap_err();
    assert_eq!(stranger.code, AdminErrorCode::SignaturesMissing);
    assert!(platform.0.lock().unwrap().objects.is_empty());
    let nobody: AdminError = gateway
        .send::<serde_json::Value>(AdminMethod::Get, "/admin/status", None, &[])
        .unwrap_err();
    assert_eq!(nobody.code, AdminErrorCode::NoBundle);

    let accepted = gateway.bootstrap(bundle("first"), "1-a", "root").unwrap();
    assert_eq!(accepted.accepted.generation, Generation(1));
    // The same call again tells what became of it; another one lost.
    assert_eq!(
        gateway.bootstrap(bundle("first"), "1-a", "root").unwrap(),
        accepted
    );
    let other = gateway.bootstrap(bundle("other"), "1-b", "root").unwrap_err();
    assert_eq!(other.code, AdminErrorCode::Conflict);
    assert_eq!(other.winner.map(|winner| *winner), Some(accepted.accepted));
}

#[test]
fn a_scope_allows_what_it_names_and_hides_other_tenants() {
    let (_, gateway, _) = started();
    let viewer = token("viewer");
    let refused = |path: &str| {
        let request = ProposeRequest {
            bundle: bundle("second"),
            base: None,
        };
        gateway
            .post::<_, serde_json::Value>(path, Some(&viewer), &request)
            .unwrap_err()
            .code
    };
    assert_eq!(refused("/admin/bundles"), AdminErrorCode::Forbidden);
    let read = |token: Option<&str>, path: &str| {
        gateway.send::<serde_json::Value>(AdminMethod::Get, path, token, &[])
    };
    let code = |token: Option<&str>, path: &str| read(token, path).unwrap_err().code;
    assert_eq!(code(None, "/admin/status"), AdminErrorCode::Unauthenticated);
    assert_eq!(code(Some("x"), "/admin/status"), AdminErrorCode::Unauthenticated);
    assert_eq!(
        code(Some(&viewer), "/admin/bundles/current"),
        AdminErrorCode::Forbidden
    );

    let alice = token("alice");
    let usage = read(Some(&alice), "/admin/usage").unwrap();
    assert_eq!(usage["tenants"].as_array().unwrap().len(), 1);
    assert!(read(Some(&alice), "/admin/requests/chain-a.1").is_ok());
    // A foreign request and one that does not exist look the same.
    let foreign = read(Some(&alice), "/admin/requests/chain-b.1").unwrap_err();
    let unknown = read(Some(&alice), "/admin/requests/nothing").unwrap_err();
    assert_eq!(foreign, unknown);
}

#[test]
fn an_invalid_bundle_is_refused_with_every_fault() {
    let (_, gateway, _) = started();
    let mut wrong = bundle("wrong");
    wrong.zones.clear();
    wrong.fleet.required_signatures = 9;
    wrong.operators[1].public_key = "no key".to_owned();
    let request = ProposeRequest {
        bundle: wrong,
        base: None,
    };
    let error = gateway
        .post::<_, ProposalReply>("/admin/bundles", Some(&token("alice")), &request)
        .unwrap_err();
    let fields: Vec<&str> = error.faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(
        fields,
        ["fleet.required_signatures", "zones", "operators.bob.public_key"]
    );
}

#[test]
fn a_rollback_is_a_new_generation_with_the_older_content() {
    let (platform, gateway, _) = started();
    let second = gateway.propose_and_sign("alice", "second").unwrap();
    gateway
        .roll_out("alice", &second.proposal.statement.proposal)
        .unwrap();
    gateway.catch_up();
    let request = RollbackRequest { to: Generation(1) };
    let reply: ProposalReply = gateway
        .post("/admin/rollback", Some(&token("bob")), &request)
        .unwrap();
    let unsigned = gateway
        .roll_out("bob", &reply.proposal.statement.proposal)
        .unwrap_err();
    assert_eq!(unsigned.code, AdminErrorCode::SignaturesMissing);
    gateway.sign("bob", &reply).unwrap();
    let accepted = gateway
        .roll_out("bob", &reply.proposal.statement.proposal)
        .unwrap();
    assert_eq!(accepted.accepted.generation, Generation(3));
    gateway.catch_up();
    assert_eq!(gateway.bundle().unwrap().manifest.label, "first");
    let history = platform.history();
    assert_eq!(history[2].rollback_of, Some(Generation(1)));
    assert_eq!(history[2].manifest, history[0].manifest);
}

#[test]
fn a_gateway_that_is_behind_makes_no_proposal() {
    let (_, gateway, _) = started();
    let second = gateway.propose_and_sign("alice", "second").unwrap();
    gateway
        .roll_out("alice", &second.proposal.statement.proposal)
        .unwrap();
    // The gateway has accepted generation 2 and does not hold it yet.
    let rollback: Result<ProposalReply, AdminError> = gateway.post(
        "/admin/rollback",
        Some(&token("alice")),
        &RollbackRequest { to: Generation(1) },
    );
    assert_eq!(rollback.unwrap_err().code, AdminErrorCode::Behind);
    let proposed = gateway.propose_and_sign("alice", "third").unwrap_err();
    assert_eq!(proposed.code, AdminErrorCode::Behind);
    gateway.catch_up();
    let third = gateway.propose_and_sign("alice", "third").unwrap();
    assert_eq!(third.proposal.statement.generation, Generation(3));
}

/// How two operators meet.
#[derive(Clone, Copy, Debug)]
enum Course {
    /// One after the other.
    InTurn,
    /// The first is told anything, perhaps that it is unsettled, and asks again after the other has tried.
    AskedAgain,
    /// The second is accepted between the first one's look at the current row and its transaction.
    Overtaken,
}

fn course() -> impl Strategy<Value = Course> {
    prop_oneof![
        Just(Course::InTurn),
        Just(Course::AskedAgain),
        Just(Course::Overtaken)
    ]
}

#[derive(Clone)]
struct Racer {
    gateway: Arc<Gateway>,
    name: &'static str,
    proposal: ProposalId,
    /// Everything that anybody was ever told to be accepted.
    told: Arc<Mutex<Vec<CurrentRow>>>,
}

impl Racer {
    fn roll_out(&self) -> Result<RolloutReply, AdminError> {
        let answer = self.gateway.roll_out(self.name, &self.proposal);
        if let Ok(reply) = &answer {
            self.told.lock().unwrap().push(reply.accepted.clone());
        }
        answer
    }

    /// What the operator is told in the end about its proposal.
    fn settle(&self) -> Result<RolloutReply, AdminError> {
        loop {
            match self.roll_out() {
                Err(error)
                    if matches!(
                        error.code,
                        AdminErrorCode::PlatformUnavailable | AdminErrorCode::Unsettled
                    ) => {}
                settled => return settled,
            }
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::None),
        1 => Just(Fault::Unavailable),
        2 => Just(Fault::AnswerLost),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(20_261_202),
        rng_algorithm: RngAlgorithm::ChaCha,
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn rubbish_is_refused_with_a_clear_error(
        path in "(/admin/)?(bootstrap|bundles|bundles/[ -~]{0,9}/signatures|rollout|rollback|[ -~]{0,20})",
        body in proptest::collection::vec(any::<u8>(), 0..200),
        is_cut_off in any::<bool>(),
        cut in 0_usize..400,
        method in prop_oneof![Just(AdminMethod::Get), Just(AdminMethod::Post), Just(AdminMethod::Delete)],
    ) {
        let (platform, gateway, _) = started();
        let request = ProposeRequest { bundle: bundle("cut off"), base: None };
        let mut whole = serde_json::to_vec(&request).unwrap();
        whole.truncate(cut.min(whole.len() - 1));
        let body = if is_cut_off { &whole } else { &body };
        let before = platform.0.lock().unwrap().version;
        let token = token("alice");
        for token in [None, Some(token.as_str())] {
            let request = AdminRequest { method, path: &path, token, body };
            let response = handle(&gateway, &request);
            if method != AdminMethod::Get {
                prop_assert!((400..500).contains(&response.status), "{}", response.status);
                prop_assert!(serde_json::from_slice::<AdminError>(&response.body).is_ok());
            }
        }
        prop_assert_eq!(platform.0.lock().unwrap().version, before);
    }

    #[test]
    fn of_two_racing_operators_one_wins_and_both_learn_it(
        rounds in proptest::collection::vec(
            (any::<bool>(), course(), proptest::collection::vec(fault(), 0..14)), 1..5)
    ) {
        let (platform, first, second) = started();
        let gateways = [Arc::new(first), Arc::new(second)];
        let mut asked = Vec::new();
        let told_accepted = Arc::new(Mutex::new(Vec::new()));
        for (alice_is_first, course, faults) in rounds {
            gateways.iter().for_each(|gateway| gateway.catch_up());
            let mut racers = ["alice", "bob"].into_iter().zip(&gateways).map(|(name, gateway)| {
                let reply = gateway.propose_and_sign(name, name).unwrap();
                let proposal = reply.proposal.statement.proposal;
                Racer { gateway: Arc::clone(gateway), name, proposal, told: Arc::clone(&told_accepted) }
            }).collect::<Vec<_>>();
            if !alice_is_first {
                racers.reverse();
            }
            platform.0.lock().unwrap().faults = faults.into();
            match course {
                Course::InTurn => {}
                Course::AskedAgain => drop(racers[0].roll_out()),
                Course::Overtaken => {
                    let other = racers[1].clone();
                    *platform.1.lock().unwrap() = Some(Box::new(move || drop(other.settle())));
                }
            }
            asked.extend(racers);
            let told: Vec<bool> = asked[asked.len() - 2..].iter().map(|racer| racer.settle().is_ok()).collect();
            prop_assert_eq!(told.iter().filter(|won| **won).count(), 1);
            platform.0.lock().unwrap().faults.clear();
        }
        let history = platform.history();
        let generations: Vec<u64> = history.iter().map(|row| row.accepted.generation.0).collect();
        let expected: Vec<u64> = (1..=generations.len() as u64).collect();
        prop_assert_eq!(generations, expected);
        for accepted in told_accepted.lock().unwrap().iter() {
            prop_assert!(history.iter().any(|row| row.accepted == *accepted), "told what is not so");
        }
        // However much later each asks, it is told what the history says.
        for racer in asked {
            let place = racer.proposal.generation().unwrap().0 as usize - 1;
            let winner = &history[place].accepted;
            match racer.settle() {
                Ok(reply) => {
                    prop_assert_eq!(&reply.accepted, winner);
                    prop_assert_eq!(&winner.proposal, &racer.proposal);
                }
                Err(error) => {
                    prop_assert_eq!(error.code, AdminErrorCode::Conflict);
                    prop_assert_eq!(error.winner.as_deref(), Some(winner));
                    prop_assert_ne!(&winner.proposal, &racer.proposal);
                }
            }
        }
    }
}
