//! A platform that loses answers, and gateways' administration APIs in front of it.
#![allow(dead_code)]

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
    AdminError, BootstrapRequest, EngineView, NodeView, ProposalReply, ProposeRequest, RequestView,
    RolloutReply, RolloutRequest, TenantUsage,
};
use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What the platform does with the next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    Unavailable,
    AnswerLost,
}

#[derive(Default)]
pub struct Store {
    pub rows: BTreeMap<RowKey, Row>,
    pub objects: BTreeMap<String, Vec<u8>>,
    pub version: u64,
    pub faults: VecDeque<Fault>,
}

pub type Interruption = Box<dyn FnOnce() + Send>;

#[derive(Default)]
pub struct Platform {
    /// What is stored, and what the next calls meet.
    pub store: Mutex<Store>,
    /// What happens right before the next transaction.
    pub interruption: Mutex<Option<Interruption>>,
}

impl Platform {
    pub fn call<T>(&self, work: impl FnOnce(&mut Store) -> T) -> Result<T, PlatformError> {
        let mut store = self.store.lock().unwrap();
        match store.faults.pop_front().unwrap_or(Fault::None) {
            Fault::Unavailable => Err(PlatformError::Unavailable),
            Fault::None => Ok(work(&mut store)),
            Fault::AnswerLost => {
                work(&mut store);
                Err(PlatformError::AnswerLost)
            }
        }
    }

    pub fn history(&self) -> Vec<HistoryRow> {
        let store = self.store.lock().unwrap();
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
        let interruption = self.interruption.lock().unwrap().take();
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

pub fn operator(name: &str) -> OperatorId {
    OperatorId::new(name)
}

pub fn secret(name: &str) -> [u8; 32] {
    Digest::of(name.as_bytes()).0
}

pub fn token(name: &str) -> String {
    format!("token of {name}")
}

pub fn roots() -> SigningAuthority {
    SigningAuthority {
        required_signatures: 1,
        operators: vec![SigningOperator {
            operator: operator("root"),
            public_key: signature::public_key(&secret("root")),
        }],
    }
}

pub const ALL: [OperatorAction; 5] = [
    OperatorAction::View,
    OperatorAction::Propose,
    OperatorAction::Sign,
    OperatorAction::Rollout,
    OperatorAction::Requests,
];

pub fn operator_rule(name: &str, actions: &[OperatorAction]) -> OperatorRule {
    OperatorRule {
        operator: operator(name),
        public_key: signature::public_key(&secret(name)),
        token_sha256: Digest::of(token(name).as_bytes()).to_hex(),
        actions: actions.to_vec(),
        tenants: vec![TenantId::new("chain-a")],
    }
}

pub fn bundle(label: &str) -> Bundle {
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
pub struct Gateway {
    platform: Arc<Platform>,
    roots: SigningAuthority,
    keeper: Mutex<BundleKeeper>,
    identifiers: Mutex<u64>,
}

impl Gateway {
    pub fn new(platform: &Arc<Platform>) -> Self {
        Self {
            platform: Arc::clone(platform),
            roots: roots(),
            keeper: Mutex::new(BundleKeeper::new(roots(), ZoneId::new("zone-a"))),
            identifiers: Mutex::new(0),
        }
    }

    /// Reads the store as the controller's poller would.
    pub fn catch_up(&self) {
        let store = self.platform.store.lock().unwrap();
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

    pub fn post<B: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        token: Option<&str>,
        body: &B,
    ) -> Result<R, AdminError> {
        self.send(AdminMethod::Post, path, token, &serde_json::to_vec(body).unwrap())
    }

    pub fn send<R: DeserializeOwned>(
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

    pub fn bootstrap(&self, bundle: Bundle, proposal: &str, key: &str) -> Result<RolloutReply, AdminError> {
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

    pub fn propose_and_sign(&self, name: &str, label: &str) -> Result<ProposalReply, AdminError> {
        let request = ProposeRequest {
            bundle: bundle(label),
            base: None,
        };
        let reply: ProposalReply = self.post("/admin/bundles", Some(&token(name)), &request)?;
        self.sign(name, &reply)
    }

    pub fn sign(&self, name: &str, reply: &ProposalReply) -> Result<ProposalReply, AdminError> {
        let statement = &reply.proposal.statement;
        let signature: OperatorSignature = signature::sign(&secret(name), operator(name), statement);
        let path = format!("/admin/bundles/{}/signatures", statement.proposal);
        self.post(&path, Some(&token(name)), &signature)
    }

    pub fn roll_out(&self, name: &str, proposal: &ProposalId) -> Result<RolloutReply, AdminError> {
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

pub fn usage(tenant: &str) -> TenantUsage {
    TenantUsage {
        tenant: TenantId::new(tenant),
        requests: 1,
        not_run: 0,
        prompt_tokens: 1,
        output_tokens: 1,
        in_flight: 0,
    }
}

pub fn started() -> (Arc<Platform>, Gateway, Gateway) {
    let platform = Arc::new(Platform::default());
    let (first, second) = (Gateway::new(&platform), Gateway::new(&platform));
    first.bootstrap(bundle("first"), "1-boot", "root").unwrap();
    first.catch_up();
    second.catch_up();
    (platform, first, second)
}
