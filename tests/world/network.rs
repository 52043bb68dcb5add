//! The virtual network: delays, losses and cuts between places.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use shelfjunction_core::engine::AnswerPart;
use shelfjunction_core::identity::RequestId;
use std::collections::BTreeSet;
use std::time::Duration;

/// Where a party stands; cuts are between places.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Place {
    /// A zone.
    Zone(usize),
    /// The platform.
    Platform,
}

/// What becomes of a message over a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It arrives after this time.
    Arrives(Duration),
    /// The connection could not be made; the sender learns so after this time.
    Refused(Duration),
    /// It never arrives and nobody is told.
    Vanishes,
}

/// How messages fare.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weather {
    /// Messages of a thousand that vanish.
    pub lost_per_mille: u32,
    /// Messages of a thousand that take long enough to arrive after everyone has given them up.
    pub slow_per_mille: u32,
    /// Longest delay of the others, in milliseconds.
    pub delay_millis: u64,
    /// Answer parts of a thousand that are dropped, repeated or mixed up with another request's.
    pub garbled_per_mille: u32,
}

impl Weather {
    /// Nothing is lost, slow or garbled.
    pub const FAIR: Self = Self {
        lost_per_mille: 0,
        slow_per_mille: 0,
        delay_millis: 2,
        garbled_per_mille: 0,
    };
}

/// Shortest and longest delay of a slow message.
const SLOW_MILLIS: std::ops::Range<u64> = 500..12_000;

/// The network between all places.
#[derive(Debug)]
pub struct Network {
    weather: Weather,
    cuts: BTreeSet<(Place, Place)>,
    random: ChaCha8Rng,
}

impl Network {
    /// A network without cuts.
    pub fn new(random: ChaCha8Rng) -> Self {
        let weather = Weather::FAIR;
        Self {
            weather,
            cuts: BTreeSet::new(),
            random,
        }
    }

    /// Changes how messages fare from now on.
    pub fn set_weather(&mut self, weather: Weather) {
        self.weather = weather;
    }

    /// Cuts two places off from one another.
    pub fn cut(&mut self, left: Place, right: Place) {
        self.cuts.insert((left.min(right), left.max(right)));
    }

    /// Mends every cut.
    pub fn mend(&mut self) {
        self.cuts.clear();
    }

    /// Whether two places are cut off from one another.
    pub fn is_cut(&self, left: Place, right: Place) -> bool {
        self.cuts.contains(&(left.min(right), left.max(right)))
    }

    /// Decides the fate of a message that opens a connection.
    pub fn request(&mut self, from: Place, to: Place) -> Fate {
        if self.is_cut(from, to) {
            return match self.random.random_bool(0.5) {
                true => Fate::Refused(self.delay()),
                false => Fate::Vanishes,
            };
        }
        self.message()
    }

    /// Decides the fate of an answer over an open connection.
    pub fn answer(&mut self, from: Place, to: Place) -> Fate {
        if self.is_cut(from, to) {
            return Fate::Vanishes;
        }
        self.message()
    }

    /// A short time that a process takes between two steps of its own.
    pub fn step(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(10..500))
    }

    /// What arrives in place of one part of an answer.
    pub fn garble(&mut self, part: AnswerPart) -> Vec<AnswerPart> {
        let garbled = self.weather.garbled_per_mille;
        if garbled == 0 || self.random.random_range(0..1_000) >= garbled {
            return vec![part];
        }
        match self.random.random_range(0..3) {
            0 => Vec::new(),
            1 => vec![part.clone(), part],
            _ => vec![of_another_request(&part), part],
        }
    }

    fn message(&mut self) -> Fate {
        let draw = self.random.random_range(0..1_000);
        let Weather {
            lost_per_mille,
            slow_per_mille,
            ..
        } = self.weather;
        if draw < lost_per_mille {
            return Fate::Vanishes;
        }
        if draw < lost_per_mille + slow_per_mille {
            return Fate::Arrives(Duration::from_millis(self.random.random_range(SLOW_MILLIS)));
        }
        Fate::Arrives(self.delay())
    }

    fn delay(&mut self) -> Duration {
        let most = self.weather.delay_millis.max(1) * 1_000;
        Duration::from_micros(self.random.random_range(200..=most.max(201)))
    }
}

/// A part that looks like this one and belongs to somebody else.
fn of_another_request(part: &AnswerPart) -> AnswerPart {
    let mut other = part.clone();
    match &mut other {
        AnswerPart::Token { request, text, .. } => {
            *request = RequestId::new("another");
            *text = "another's text ".to_owned();
        }
        AnswerPart::Prefilled { request, .. }
        | AnswerPart::Finished { request, .. }
        | AnswerPart::Failed { request, .. } => *request = RequestId::new("another"),
    }
    other
}
