//! What came of a run, and how it is told.

use super::crashes::CrashCount;
use super::crowding::CrowdedCount;
use super::descriptors::DescriptorUse;
use super::is_probe;
use super::late_readers::QuietCount;
use super::oracle::Violation;
use super::planned_work::CutCount;
use super::platform_faults::Deferrals;
use super::record::SeenCall;
use super::resumers::TakeUpCount;
use super::sharers::ShareCount;
use super::usage_windows::WindowCount;
use std::fmt;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct FaultSoakReport {
    /// The seed.
    pub seed: u64,
    /// Faults that struck.
    pub faults: usize,
    /// Requests sent.
    pub sent: usize,
    /// Requests with a whole success.
    pub succeeded: usize,
    /// Requests refused as not run.
    pub not_run: usize,
    /// Requests with any other answer.
    pub other_answers: usize,
    /// Requests that got no answer.
    pub unanswered: usize,
    /// Nodes that ended by themselves.
    pub exits: u32,
    /// Descriptors of the soak's own process.
    pub descriptors: DescriptorUse,
    /// The most memory that each node had resident, in bytes.
    pub peak_memory: Vec<u64>,
    /// Engines that crashed under each crashing request or part, and arrivals of it later than is allowed.
    pub crashes: Vec<CrashCount>,
    /// Requests that share parts with those that crash engines.
    pub shares: Vec<ShareCount>,
    /// Requests of callers at nodes to which most new connections came.
    pub crowded: Vec<CrowdedCount>,
    /// Requests of callers that read late, and of the others, that were sent where nothing else was wrong.
    pub quiet: QuietCount,
    /// Requests that planned work cut; absent in a run with other faults.
    pub cuts: Option<CutCount>,
    /// Streams that were taken up.
    pub take_ups: TakeUpCount,
    /// Usage windows that were reported, and those that were not.
    pub windows: WindowCount,
    /// Calls that the platform carried out late.
    pub deferrals: Deferrals,
    /// Whether the platform's interface checked fences.
    pub fences_checked: bool,
    /// Promises that did not hold.
    pub violations: Vec<Violation>,
}

impl FaultSoakReport {
    /// Whether every promise held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty() && self.exits == 0
    }
}

impl fmt::Display for FaultSoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            formatter,
            "seed {}: {} faults; {} requests: {} succeeded, {} not run, {} other answers, {} unanswered; {} exits; at most {} descriptors, {} bytes of memory at a node; {}; {}; engines ended \
             under crashing requests and parts {:?}, sent on late {:?}; sound requests with their first parts: {}; {}; {}; {}, fences {}; {}",
            self.seed,
            self.faults,
            self.sent,
            self.succeeded,
            self.not_run,
            self.other_answers,
            self.unanswered,
            self.exits,
            self.descriptors.peak,
            self.peak_memory.iter().max().copied().unwrap_or_default(),
            self.quiet,
            self.take_ups,
            self.crashes.iter().map(|count| count.ended).collect::<Vec<_>>(),
            self.crashes.iter().map(|count| count.late).collect::<Vec<_>>(),
            joined(&self.shares),
            joined(&self.crowded),
            self.windows,
            self.deferrals,
            if self.fences_checked {
                "checked"
            } else {
                "unchecked"
            },
            if self.holds() {
                "every promise held"
            } else {
                "BROKEN"
            }
        )?;
        if let Some(cuts) = &self.cuts {
            writeln!(formatter, "  {cuts}")?;
        }
        for violation in &self.violations {
            writeln!(formatter, "  {violation:?}")?;
        }
        Ok(())
    }
}

fn joined(counts: &[impl ToString]) -> String {
    let texts: Vec<String> = counts.iter().map(ToString::to_string).collect();
    texts.join("; ")
}

/// The report of a run with what its callers saw; the figures of single judges are added to it.
pub(super) fn report(
    seed: u64,
    faults: usize,
    calls: &[SeenCall],
    exits: u32,
    mut violations: Vec<Violation>,
) -> FaultSoakReport {
    // Probes are sent by callers of their own and are judged where they are made.
    violations.retain(|violation| !matches!(violation, Violation::Unasked(request) if is_probe(request)));
    let answered = |wanted: fn(u16) -> bool| {
        let statuses = calls.iter().filter_map(|call| call.answer.as_ref());
        statuses.filter(|answer| wanted(answer.status)).count()
    };
    let succeeded = answered(|status| status == 200);
    let not_run = answered(|status| matches!(status, 429 | 503));
    let unanswered = calls.iter().filter(|call| call.answer.is_none()).count();
    FaultSoakReport {
        seed,
        faults,
        sent: calls.len(),
        succeeded,
        not_run,
        other_answers: calls.len() - succeeded - not_run - unanswered,
        unanswered,
        exits,
        descriptors: DescriptorUse::default(),
        peak_memory: Vec::new(),
        crashes: Vec::new(),
        shares: Vec::new(),
        crowded: Vec::new(),
        quiet: QuietCount::default(),
        cuts: None,
        take_ups: TakeUpCount::default(),
        windows: WindowCount::default(),
        deferrals: Deferrals::default(),
        fences_checked: true,
        violations,
    }
}
