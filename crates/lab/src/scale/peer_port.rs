//! The TCP side of a hollow node: heads and contents of bundles in the peer protocol's frames.

use shelfjunction_controller::gossip::Gossip;
use shelfjunction_core::bundle::{BundleKeeper, Digest};
use shelfjunction_core::membership::wire::Fact;
use shelfjunction_protocol::frame::{self, FrameError, read_frame, write_frame};
use shelfjunction_protocol::peer::{PeerRequest, PeerResponse};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// Longest wait for a peer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes of the TCP and IPv4 headers of one segment, with its options.
pub const SEGMENT_HEADER_BYTES: u64 = 52;

/// Bytes of headers in a short connection, both directions: ten segments.
pub const CONNECTION_BYTES: u64 = 10 * SEGMENT_HEADER_BYTES;

/// Bytes of a frame's length.
const LENGTH_BYTES: usize = 4;

/// Bytes that passed over TCP, in and out together.
#[derive(Clone, Debug, Default)]
pub struct PeerBytes {
    total: Arc<AtomicU64>,
}

impl PeerBytes {
    /// Bytes so far.
    pub fn total(&self) -> u64 {
        self.total.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.total
            .fetch_add(u64::try_from(bytes).unwrap_or(u64::MAX), Ordering::Relaxed);
    }
}

/// Serves contents of bundles to peers.
#[derive(Debug)]
pub struct PeerPort {
    address: SocketAddr,
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PeerPort {
    /// Binds the address and serves from a thread.
    pub fn start(
        address: SocketAddr,
        keeper: Arc<Mutex<BundleKeeper>>,
        gossip: Gossip,
        bytes: PeerBytes,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let stopping = Arc::new(AtomicBool::new(false));
        let stopping_of_thread = Arc::clone(&stopping);
        let thread = std::thread::Builder::new()
            .name("peer-port".to_owned())
            .spawn(move || {
                while let Ok((stream, _)) = listener.accept() {
                    if stopping_of_thread.load(Ordering::Relaxed) {
                        return;
                    }
                    // A connection that breaks concerns its peer, which asks another.
                    let _ = serve(stream, &keeper, &gossip, &bytes);
                }
            })?;
        Ok(Self {
            address,
            stopping,
            thread: Some(thread),
        })
    }

    /// Ends the thread and frees the address.
    pub fn stop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        // Wakes the accepting thread; a refused connection means that it has ended.
        let _ = TcpStream::connect_timeout(&self.address, TIMEOUT);
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been printed already.
            let _ = thread.join();
        }
    }
}

fn serve(
    mut stream: TcpStream,
    keeper: &Mutex<BundleKeeper>,
    gossip: &Gossip,
    bytes: &PeerBytes,
) -> Result<(), FrameError> {
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    let Some(request) = read_frame::<PeerRequest>(&mut stream)? else {
        return Ok(());
    };
    let response = match &request {
        PeerRequest::FetchParts(digests) => {
            let keeper = keeper.lock().unwrap_or_else(PoisonError::into_inner);
            let held = digests
                .iter()
                .filter_map(|digest| keeper.content(Digest(*digest)));
            PeerResponse::Parts(held.map(|content| content.to_vec()).collect())
        }
        PeerRequest::FetchFacts => PeerResponse::Facts(gossip.bulk()),
        _ => PeerResponse::Refused("a hollow node serves contents and facts only".to_owned()),
    };
    bytes.add(frame::encode(&request)?.len() + frame::encode(&response)?.len() + 2 * LENGTH_BYTES);
    bytes.total.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
    write_frame(&mut stream, &response)
}

/// Fetches contents from a peer; empty when it has none or can't be reached.
pub fn fetch(from: SocketAddr, wanted: &[Digest], bytes: &PeerBytes) -> Vec<Vec<u8>> {
    let request = PeerRequest::FetchParts(wanted.iter().map(|digest| digest.0).collect());
    match ask(from, &request, bytes) {
        Ok(Some(PeerResponse::Parts(parts))) => parts,
        _ => Vec::new(),
    }
}

/// Fetches every fact from a peer; empty when it can't be reached.
pub fn fetch_facts(from: SocketAddr, bytes: &PeerBytes) -> Vec<Fact> {
    match ask(from, &PeerRequest::FetchFacts, bytes) {
        Ok(Some(PeerResponse::Facts(facts))) => facts,
        _ => Vec::new(),
    }
}

fn ask(
    from: SocketAddr,
    request: &PeerRequest,
    bytes: &PeerBytes,
) -> Result<Option<PeerResponse>, FrameError> {
    let mut stream = TcpStream::connect_timeout(&from, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.set_write_timeout(Some(TIMEOUT))?;
    write_frame(&mut stream, request)?;
    let response: Option<PeerResponse> = read_frame(&mut stream)?;
    let answered = response
        .as_ref()
        .map(frame::encode)
        .transpose()?
        .map_or(0, |encoded| encoded.len());
    bytes.add(frame::encode(request)?.len() + answered + 2 * LENGTH_BYTES);
    bytes.total.fetch_add(CONNECTION_BYTES, Ordering::Relaxed);
    Ok(response)
}
