//! Demand seen by one gateway.

use super::rate::RateEstimate;
use super::report::{DemandEntry, DemandReport};
use crate::identity::ModelId;
use crate::service_class::ServiceClass;
use crate::time::MonotonicTime;
use std::collections::BTreeMap;
use std::time::Duration;

/// Length of a bin of arrivals.
const BIN: Duration = Duration::from_secs(1);
/// Bins after which an idle gateway stops catching up one by one.
const MOST_BINS_AT_ONCE: u64 = 120;
/// Share of a finished request in the learned lengths, once enough have finished.
const LENGTH_SHARE: f64 = 0.02;
/// Output tokens assumed before the first request has finished.
const FIRST_OUTPUT_TOKENS: f64 = 64.0;

#[derive(Clone, Debug, Default)]
struct StreamDemand {
    requests: RateEstimate,
    prompt_tokens: RateEstimate,
    bin_requests: f64,
    bin_prompt_tokens: f64,
    output_tokens: LearnedMean,
    cached_share: LearnedMean,
}

#[derive(Clone, Debug, Default)]
struct LearnedMean {
    mean: f64,
    count: f64,
}

/// Learns rates from arrivals and lengths from finished requests.
#[derive(Clone, Debug)]
pub struct DemandEstimator {
    streams: BTreeMap<(ModelId, ServiceClass), StreamDemand>,
    bin_started: MonotonicTime,
    detects_shifts: bool,
}

impl DemandEstimator {
    /// An estimator whose first bin begins now.
    pub fn new(now: MonotonicTime) -> Self {
        Self::with_shift_detection(now, true)
    }

    /// An estimator that may follow calm means alone, for comparison.
    pub fn with_shift_detection(now: MonotonicTime, detects_shifts: bool) -> Self {
        Self {
            streams: BTreeMap::new(),
            bin_started: now,
            detects_shifts,
        }
    }

    /// Notes a request, let in or not: what is refused is demand too.
    pub fn on_arrival(
        &mut self,
        model: &ModelId,
        class: ServiceClass,
        prompt_tokens: u32,
        now: MonotonicTime,
    ) {
        self.close_bins(now);
        let stream = self.stream(model, class);
        stream.bin_requests += 1.0;
        stream.bin_prompt_tokens += f64::from(prompt_tokens);
    }

    /// Notes the lengths of a finished request.
    pub fn on_finished(
        &mut self,
        model: &ModelId,
        class: ServiceClass,
        prompt_tokens: u32,
        cached_prompt_tokens: u32,
        output_tokens: u32,
    ) {
        let stream = self.stream(model, class);
        stream.output_tokens.add(f64::from(output_tokens));
        let prompt_tokens = f64::from(prompt_tokens.max(1));
        stream
            .cached_share
            .add(f64::from(cached_prompt_tokens) / prompt_tokens);
    }

    /// Output tokens that a request of this kind is expected to need, at most `limit`.
    pub fn expected_output_tokens(&self, model: &ModelId, class: ServiceClass, limit: u32) -> u32 {
        let learned = self
            .streams
            .get(&(model.clone(), class))
            .map_or(FIRST_OUTPUT_TOKENS, |stream| stream.mean_output());
        (learned.round() as u32).clamp(1, limit.max(1))
    }

    /// Demand per second now.
    pub fn report(&mut self, now: MonotonicTime) -> DemandReport {
        self.close_bins(now);
        let entries = self
            .streams
            .iter()
            .map(|((model, class), stream)| stream.entry(model, *class));
        DemandReport {
            entries: entries.collect(),
        }
    }

    fn stream(&mut self, model: &ModelId, class: ServiceClass) -> &mut StreamDemand {
        let detects_shifts = self.detects_shifts;
        let key = (model.clone(), class);
        self.streams
            .entry(key)
            .or_insert_with(|| StreamDemand::new(detects_shifts))
    }

    fn close_bins(&mut self, now: MonotonicTime) {
        let passed = now.since(self.bin_started).as_micros() / BIN.as_micros();
        let bins = u64::try_from(passed).unwrap_or(u64::MAX);
        for _ in 0..bins.min(MOST_BINS_AT_ONCE) {
            self.streams.values_mut().for_each(StreamDemand::close_bin);
        }
        let skipped = Duration::from_secs(bins * BIN.as_secs());
        self.bin_started = self.bin_started + skipped;
    }
}

impl StreamDemand {
    fn new(detects_shifts: bool) -> Self {
        if detects_shifts {
            return Self::default();
        }
        Self {
            requests: RateEstimate::without_shift_detection(),
            prompt_tokens: RateEstimate::without_shift_detection(),
            ..Self::default()
        }
    }

    fn close_bin(&mut self) {
        self.requests.add_bin(std::mem::take(&mut self.bin_requests));
        self.prompt_tokens
            .add_bin(std::mem::take(&mut self.bin_prompt_tokens));
    }

    fn mean_output(&self) -> f64 {
        if self.output_tokens.count == 0.0 {
            return FIRST_OUTPUT_TOKENS;
        }
        self.output_tokens.mean
    }

    fn entry(&self, model: &ModelId, class: ServiceClass) -> DemandEntry {
        let requests = self.requests.value();
        let prompt_tokens = self.prompt_tokens.value();
        DemandEntry {
            model: model.clone(),
            class,
            requests,
            prompt_tokens,
            uncached_prompt_tokens: prompt_tokens * (1.0 - self.cached_share.mean),
            output_tokens: requests * self.mean_output(),
        }
    }
}

impl LearnedMean {
    fn add(&mut self, value: f64) {
        self.count += 1.0;
        let share = (1.0 / self.count).max(LENGTH_SHARE);
        self.mean += (value - self.mean) * share;
    }
}
