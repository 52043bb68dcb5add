//! Calls that get no answer and are carried out later, in any order.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io;
use std::ops::Range;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Times after which a platform carries out calls that it left without an answer, in milliseconds.
pub const DEFERRAL_MILLIS: Range<u64> = 1_000..6_000;

/// When deferred calls are carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeferralDelay {
    /// Each after a time of its own, drawn from a generator with a seed, in milliseconds.
    Drawn {
        /// Seed of the generator.
        seed: u64,
        /// From which times it draws.
        millis: Range<u64>,
    },
    /// When whoever runs the stand-in says so.
    OnDemand,
}

impl Default for DeferralDelay {
    fn default() -> Self {
        Self::Drawn {
            seed: 0,
            millis: DEFERRAL_MILLIS,
        }
    }
}

/// Deferred calls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DeferralCount {
    /// Calls that were left without an answer.
    pub deferred: usize,
    /// Those that were carried out since, and did something.
    pub done: usize,
    /// Those that were carried out since, and whose conditions or fence no longer held.
    pub refused: usize,
}

impl DeferralCount {
    /// Calls that are still to be carried out.
    pub fn waiting(self) -> usize {
        self.deferred - self.done - self.refused
    }
}

/// Carries out a call; whether it did anything.
type CarryOut<C> = dyn Fn(C) -> bool + Send + Sync;

struct Waiting<C> {
    /// When it is due; absent where it waits for demand.
    due: Option<Instant>,
    call: C,
}

struct State<C> {
    waiting: Vec<Waiting<C>>,
    millis: Option<Range<u64>>,
    random: ChaCha8Rng,
    count: DeferralCount,
    stopping: bool,
}

struct Queue<C> {
    state: Mutex<State<C>>,
    changed: Condvar,
    carry_out: Box<CarryOut<C>>,
}

/// Calls of one stand-in that wait to be carried out. Dropping it drops them and ends its thread.
pub(super) struct Deferral<C: Send + 'static> {
    queue: Arc<Queue<C>>,
    worker: Option<JoinHandle<()>>,
}

impl<C: Send + 'static> Deferral<C> {
    /// Starts the thread that carries calls out when they are due.
    pub(super) fn start(carry_out: impl Fn(C) -> bool + Send + Sync + 'static) -> io::Result<Self> {
        let queue = Arc::new(Queue {
            state: Mutex::new(State {
                waiting: Vec::new(),
                millis: Some(DEFERRAL_MILLIS),
                random: ChaCha8Rng::seed_from_u64(0),
                count: DeferralCount::default(),
                stopping: false,
            }),
            changed: Condvar::new(),
            carry_out: Box::new(carry_out),
        });
        let of_worker = Arc::clone(&queue);
        let worker = thread::Builder::new()
            .name("deferred-calls".to_owned())
            .spawn(move || of_worker.run())?;
        Ok(Self {
            queue,
            worker: Some(worker),
        })
    }

    /// When calls that are deferred from now on are carried out.
    pub(super) fn set_delay(&self, delay: &DeferralDelay) {
        let mut state = self.queue.lock();
        match delay {
            DeferralDelay::Drawn { seed, millis } => {
                state.random = ChaCha8Rng::seed_from_u64(*seed);
                state.millis = Some(millis.clone());
            }
            DeferralDelay::OnDemand => state.millis = None,
        }
    }

    /// Takes a call to be carried out later.
    pub(super) fn defer(&self, call: C) {
        let mut state = self.queue.lock();
        let delay = state.draw_delay();
        state.waiting.push(Waiting {
            due: delay.map(|delay| Instant::now() + delay),
            call,
        });
        state.count.deferred += 1;
        drop(state);
        self.queue.changed.notify_all();
    }

    /// Carries out the call at a place among those that wait, the longest waiting first; whether it did anything, absent where
    /// none waits there.
    pub(super) fn carry_out(&self, place: usize) -> Option<bool> {
        let mut state = self.queue.lock();
        let call = (place < state.waiting.len()).then(|| state.waiting.remove(place).call)?;
        drop(state);
        Some(self.queue.carry_out(call))
    }

    /// Deferred calls so far.
    pub(super) fn count(&self) -> DeferralCount {
        self.queue.lock().count
    }
}

impl<C> State<C> {
    fn draw_delay(&mut self) -> Option<Duration> {
        let millis = self.millis.clone()?;
        let drawn = if millis.is_empty() {
            millis.start
        } else {
            self.random.random_range(millis)
        };
        Some(Duration::from_millis(drawn))
    }

    /// The place and the time of the call that is due first.
    fn next_due(&self) -> Option<(usize, Instant)> {
        let due = self.waiting.iter().enumerate();
        due.filter_map(|(place, waiting)| Some((place, waiting.due?)))
            .min_by_key(|(_, due)| *due)
    }
}

impl<C> Queue<C> {
    fn lock(&self) -> MutexGuard<'_, State<C>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn carry_out(&self, call: C) -> bool {
        let done = (self.carry_out)(call);
        let mut state = self.lock();
        if done {
            state.count.done += 1;
        } else {
            state.count.refused += 1;
        }
        done
    }

    /// Carries out calls when they are due, until it is to stop.
    fn run(&self) {
        let mut state = self.lock();
        while !state.stopping {
            let now = Instant::now();
            state = match state.next_due() {
                Some((place, due)) if due <= now => {
                    let call = state.waiting.remove(place).call;
                    drop(state);
                    self.carry_out(call);
                    self.lock()
                }
                Some((_, due)) => {
                    let waited = self.changed.wait_timeout(state, due - now);
                    waited.unwrap_or_else(PoisonError::into_inner).0
                }
                None => self.changed.wait(state).unwrap_or_else(PoisonError::into_inner),
            };
        }
    }
}

impl<C: Send + 'static> Drop for Deferral<C> {
    fn drop(&mut self) {
        self.queue.lock().stopping = true;
        self.queue.changed.notify_all();
        if let Some(worker) = self.worker.take()
            && worker.join().is_err()
        {
            log::error!("deferred_calls_not_ended");
        }
    }
}
