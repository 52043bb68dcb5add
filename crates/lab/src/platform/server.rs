//! The stand-in platform over HTTP.

use super::config::PlatformConfig;
use super::faults::PlatformFaults;
use super::record::PlatformRecord;
use super::routes::{self, Route, RouteError, WireAnswer, json_answer, plain_answer};
use super::state::PlatformState;
use shelfjunction_core::machine::Machine;
use shelfjunction_core::setting::FieldError;
use shelfjunction_platform::clock::MonotonicClock;
use std::fmt;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use tiny_http::{Request, Response, Server};

/// Why the stand-in did not start.
#[derive(Debug)]
pub enum PlatformStartError {
    /// Settings out of range.
    Settings(Vec<FieldError>),
    /// The address could not be bound.
    Bind(String),
    /// A thread could not be started.
    Thread(std::io::Error),
}

impl fmt::Display for PlatformStartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings(errors) => {
                write!(formatter, "{} settings are wrong", errors.len())?;
                errors.iter().try_for_each(|error| write!(formatter, "; {error}"))
            }
            Self::Bind(error) => write!(formatter, "can't listen: {error}"),
            Self::Thread(error) => write!(formatter, "can't start a thread: {error}"),
        }
    }
}

/// Starts stand-in platforms.
#[derive(Debug)]
pub struct PlatformServer;

/// A running stand-in platform; dropping it does not stop it.
#[derive(Debug)]
pub struct PlatformHandle {
    address: SocketAddr,
    server: Arc<ServerShared>,
    workers: Vec<JoinHandle<()>>,
}

struct ServerShared {
    http: Server,
    state: Mutex<PlatformState>,
    clock: MonotonicClock,
    body_limit: u64,
}

impl fmt::Debug for ServerShared {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ServerShared").finish_non_exhaustive()
    }
}

impl PlatformServer {
    /// Binds the address and starts the workers.
    pub fn start(config: PlatformConfig) -> Result<PlatformHandle, PlatformStartError> {
        let errors = config.validate();
        if !errors.is_empty() {
            return Err(PlatformStartError::Settings(errors));
        }
        let http =
            Server::http(config.listen).map_err(|error| PlatformStartError::Bind(error.to_string()))?;
        let address = http.server_addr().to_ip();
        let address = address.ok_or_else(|| PlatformStartError::Bind("not an IP address".to_owned()))?;
        let server = Arc::new(ServerShared {
            http,
            state: Mutex::new(PlatformState::new(&config.limits, config.machines)),
            clock: MonotonicClock::start(),
            body_limit: config.limits.maximum_value_bytes as u64,
        });
        let workers = start_workers(&server, config.workers)?;
        Ok(PlatformHandle {
            address,
            server,
            workers,
        })
    }
}

fn start_workers(
    server: &Arc<ServerShared>,
    workers: usize,
) -> Result<Vec<JoinHandle<()>>, PlatformStartError> {
    let start_one = |index| {
        let server = Arc::clone(server);
        let builder = thread::Builder::new().name(format!("platform-{index}"));
        builder
            .spawn(move || server.work())
            .map_err(PlatformStartError::Thread)
    };
    (0..workers).map(start_one).collect()
}

impl PlatformHandle {
    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the machine list.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        let now = self.server.clock.now();
        self.server.state().set_machines(machines, now);
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.server.state().set_faults(faults);
    }

    /// What the services were told after the given position.
    pub fn records_after(&self, sequence: u64) -> Vec<PlatformRecord> {
        self.server.state().records_after(sequence).cloned().collect()
    }

    /// Makes the workers end after the call each is serving.
    pub fn stop(&self) {
        for _ in &self.workers {
            self.server.http.unblock();
        }
    }

    /// Waits until the workers have ended.
    pub fn wait(self) {
        for worker in self.workers {
            // A worker that panicked has already printed why.
            let _ = worker.join();
        }
    }
}

impl ServerShared {
    fn state(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn work(&self) {
        while let Ok(request) = self.http.recv() {
            self.serve(request);
        }
    }

    fn serve(&self, mut request: Request) {
        let answer = match self.read_body(&mut request) {
            Ok(body) => self.answer(&request, &body),
            Err(error) => Some(routes::refused(error)),
        };
        match answer {
            Some(answer) => respond(request, answer),
            // Taking the writer without writing ends the connection with no answer; dropping the request
            // itself would send a status of the HTTP library.
            None => drop(request.into_writer()),
        }
    }

    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, RouteError> {
        let mut body = Vec::new();
        let mut limited = request.as_reader().take(self.body_limit + 1);
        limited
            .read_to_end(&mut body)
            .map_err(|error| RouteError::Invalid(error.to_string()))?;
        if body.len() as u64 > self.body_limit {
            return Err(RouteError::Invalid(format!(
                "body of more than {} bytes",
                self.body_limit
            )));
        }
        Ok(body)
    }

    fn answer(&self, request: &Request, body: &[u8]) -> Option<WireAnswer> {
        match self.perform(request, body) {
            Ok(answer) => answer,
            Err(error) => Some(routes::refused(error)),
        }
    }

    fn perform(&self, request: &Request, body: &[u8]) -> Result<Option<WireAnswer>, RouteError> {
        match routes::route(request.method(), request.url(), body)? {
            Route::Call(call) => {
                let now = self.clock.now();
                let handled = self.state().handle(call, now);
                thread::sleep(handled.delay);
                Ok(routes::wire_answer(handled.result))
            }
            Route::SetMachines => {
                let machines = routes::parse(body)?;
                let now = self.clock.now();
                self.state().set_machines(machines, now);
                Ok(Some(plain_answer(200, Vec::new())))
            }
            Route::SetFaults => {
                let faults = routes::parse(body)?;
                self.state().set_faults(faults);
                Ok(Some(plain_answer(200, Vec::new())))
            }
            Route::Log { after } => {
                let records: Vec<PlatformRecord> = self.state().records_after(after).cloned().collect();
                Ok(Some(json_answer(200, &records)))
            }
            Route::Health => Ok(Some(plain_answer(200, b"ok\n".to_vec()))),
        }
    }
}

fn respond(request: Request, answer: WireAnswer) {
    let response = Response::from_data(answer.body).with_status_code(answer.status);
    // The caller may be gone; nobody is left to tell.
    let _ = request.respond(response);
}
