//! Keeps the bundle in force: asked from controllers, or from the table when none answers.

use super::peer;
use crate::config::millis;
use crate::context::Context;
use shelfjunction_core::bundle::acceptance::{CURRENT_KEY, CurrentRow, parse};
use shelfjunction_core::bundle::signature::SigningAuthority;
use shelfjunction_core::bundle::{BundleInForce, BundleKeeper, Digest, Head, HeadSource, KeeperEvent};
use shelfjunction_core::identity::ZoneId;
use shelfjunction_core::table::RowKey;
use shelfjunction_core::tenancy::TenantDirectory;
use shelfjunction_core::time::MonotonicTime;
use shelfjunction_protocol::frame::FrameError;
use shelfjunction_protocol::peer::{BundleHead, PeerRequest, PeerResponse};
use shelfjunction_threads::lock;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::Duration;

/// Most digests asked for in one question, so that the answer stays within one frame.
const DIGESTS_PER_QUESTION: usize = 16;

/// Most rounds of fetching for one head; each round can bring in names of further contents.
const FETCH_ROUNDS: usize = 4_096;

/// Times a controller's silence is let pass before the table is asked.
const SILENT_POLLS: u32 = 2;

/// The bundle in force with what is looked up in it for each request.
pub(crate) struct ServedBundle {
    pub(crate) bundle: Arc<BundleInForce>,
    pub(crate) tenants: TenantDirectory,
}

/// The keeper and what it has in force.
pub(crate) struct BundleView {
    roots: SigningAuthority,
    zone: ZoneId,
    keeper: Mutex<BundleKeeper>,
    served: Mutex<Option<Arc<ServedBundle>>>,
    asked: Mutex<bool>,
    asked_changed: Condvar,
}

impl BundleView {
    pub(crate) fn new(roots: SigningAuthority, zone: ZoneId) -> Self {
        Self {
            keeper: Mutex::new(BundleKeeper::new(roots.clone(), zone.clone())),
            roots,
            zone,
            served: Mutex::new(None),
            asked: Mutex::new(false),
            asked_changed: Condvar::new(),
        }
    }

    /// The bundle in force.
    pub(crate) fn served(&self) -> Option<Arc<ServedBundle>> {
        lock(&self.served).clone()
    }

    /// The root keys.
    pub(crate) fn roots(&self) -> &SigningAuthority {
        &self.roots
    }

    /// Time since the bundle in force was last confirmed as current.
    pub(crate) fn confirmed_ago(&self, now: MonotonicTime) -> Option<Duration> {
        lock(&self.keeper).confirmed_ago(now)
    }

    /// Whether new work must be refused because the bundle can't be known to be current.
    pub(crate) fn is_isolated(&self, now: MonotonicTime) -> bool {
        lock(&self.keeper).is_isolated(now)
    }

    /// Takes in a head that was accepted here and has its contents fetched at once.
    pub(crate) fn accepted(&self, head: Head, now: MonotonicTime) {
        self.take(|keeper| keeper.on_head(Some(head), &HeadSource::Store, now));
        self.wake();
    }

    /// Has the next poll done at once.
    pub(crate) fn wake(&self) {
        *lock(&self.asked) = true;
        self.asked_changed.notify_all();
    }

    fn take(&self, input: impl FnOnce(&mut BundleKeeper) -> Vec<KeeperEvent>) {
        let mut keeper = lock(&self.keeper);
        let events = input(&mut keeper);
        for event in events {
            match event {
                KeeperEvent::InForce(head) => {
                    log::info!(generation = head.generation.0, digest:% = head.digest; "bundle_in_force");
                    *lock(&self.served) = keeper.in_force().map(|bundle| {
                        Arc::new(ServedBundle {
                            bundle: Arc::clone(bundle),
                            tenants: TenantDirectory::new(bundle),
                        })
                    });
                }
                KeeperEvent::Refused { head, error } => {
                    log::warn!(generation = head.generation.0, error:? = error; "bundle_refused");
                }
                KeeperEvent::Forked { held, offered } => {
                    log::error!(held:% = held.digest, offered:% = offered.digest; "bundle_history_forked");
                }
            }
        }
    }

    fn wanted(&self) -> Vec<Digest> {
        lock(&self.keeper).wanted()
    }

    /// Waits for the next poll, or until one is asked for.
    fn wait(&self, interval: Duration) {
        let asked = lock(&self.asked);
        let (mut asked, _) = self
            .asked_changed
            .wait_timeout_while(asked, interval, |asked| !*asked)
            .unwrap_or_else(PoisonError::into_inner);
        *asked = false;
    }
}

/// Polls until the gateway ends.
pub(crate) fn run(context: &Context) {
    let mut silent_polls = SILENT_POLLS;
    while !context.stop.is_set() {
        if ask_controllers(context) {
            silent_polls = 0;
        } else {
            silent_polls += 1;
        }
        if silent_polls >= SILENT_POLLS || !context.bundles.wanted().is_empty() {
            ask_store(context);
        }
        if let Some(served) = context.bundles.served() {
            let generation = i64::try_from(served.bundle.generation().0).unwrap_or(i64::MAX);
            context.metrics.generation.set(generation);
        }
        context
            .bundles
            .wait(millis(context.config.timings.bundle_poll_millis));
    }
}

/// Tells every controller at once that a head was accepted; does not wait for them.
pub(crate) fn announce(context: &Arc<Context>, head: Head) {
    context.bundles.accepted(head, context.now());
    let context = Arc::clone(context);
    let told = std::thread::Builder::new()
        .name("bundle-announce".to_owned())
        .spawn(move || {
            let request = PeerRequest::AnnounceHead(BundleHead {
                generation: head.generation,
                manifest: head.digest.0,
                confirmed_millis_ago: 0,
            });
            for controller in &context.config.controllers {
                let timeout = millis(context.config.timings.controller_timeout_millis);
                let answer = peer::connect(*controller, timeout)
                    .and_then(|mut stream| peer::ask(&mut stream, &request));
                if let Err(error) = answer {
                    log::debug!(controller:% = controller, error:% = error; "bundle_not_announced");
                }
            }
        });
    if let Err(error) = told {
        log::warn!(error:% = error; "announce_thread_failed");
    }
}

/// Asks the own controller, then the others until one knows a head; whether one did.
fn ask_controllers(context: &Context) -> bool {
    for controller in &context.config.controllers {
        match ask_controller(context, *controller) {
            Ok(true) => return true,
            Ok(false) => {}
            Err(error) => {
                log::debug!(controller:% = controller, error:% = error; "controller_silent");
            }
        }
    }
    false
}

fn ask_controller(context: &Context, controller: SocketAddr) -> Result<bool, FrameError> {
    let timeout = millis(context.config.timings.controller_timeout_millis);
    let asked_at = context.now();
    let mut stream = peer::connect(controller, timeout)?;
    let Some(PeerResponse::Head(Some(head))) = peer::ask(&mut stream, &PeerRequest::BundleHead)? else {
        return Ok(false);
    };
    // What a controller says counts for as long as its own confirmation does, whichever zone it is in.
    let source = HeadSource::Peer {
        zone: context.bundles.zone.clone(),
        confirmed_ago: millis(head.confirmed_millis_ago),
    };
    let offered = Head {
        generation: head.generation,
        digest: Digest(head.manifest),
    };
    context
        .bundles
        .take(|keeper| keeper.on_head(Some(offered), &source, asked_at));
    fetch_from_controller(context, &mut stream)?;
    Ok(true)
}

fn fetch_from_controller(context: &Context, stream: &mut TcpStream) -> Result<(), FrameError> {
    let mut before = Vec::new();
    for _ in 0..FETCH_ROUNDS {
        let wanted = context.bundles.wanted();
        if wanted.is_empty() || wanted == before {
            return Ok(());
        }
        for digests in wanted.chunks(DIGESTS_PER_QUESTION) {
            let request = PeerRequest::FetchParts(digests.iter().map(|digest| digest.0).collect());
            if let Some(PeerResponse::Parts(parts)) = peer::ask(stream, &request)? {
                context.bundles.take(|keeper| keeper.on_contents(parts));
            }
        }
        before = wanted;
    }
    Ok(())
}

/// Reads the current row and what it names.
fn ask_store(context: &Context) {
    let backends = &context.backends;
    let asked_at = context.now();
    let row = match backends.table.read(&RowKey(CURRENT_KEY.to_owned())) {
        Ok(row) => row,
        Err(error) => {
            context.metrics.platform_errors.inc();
            log::debug!(error:? = error; "bundle_row_unread");
            return;
        }
    };
    let head = row
        .as_ref()
        .and_then(parse::<CurrentRow>)
        .map(|current| current.head());
    context
        .bundles
        .take(|keeper| keeper.on_head(head, &HeadSource::Store, asked_at));
    let mut before = Vec::new();
    for _ in 0..FETCH_ROUNDS {
        let wanted = context.bundles.wanted();
        if wanted.is_empty() || wanted == before {
            return;
        }
        let contents = wanted
            .iter()
            .filter_map(|digest| backends.objects.get(&digest.to_hex()).ok().flatten());
        let contents: Vec<Vec<u8>> = contents.collect();
        context.bundles.take(|keeper| keeper.on_contents(contents));
        before = wanted;
    }
}
