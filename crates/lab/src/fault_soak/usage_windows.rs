//! Counts usage windows that were reported, and those that were due and never were: a figure of a run, which breaks no promise.

use crate::users_platform::UsageReport;
use std::collections::BTreeSet;
use std::fmt;
use std::ops::Range;
use std::time::Duration;

/// Length of the nodes' usage windows.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Time after the end of a window at which its report is due.
pub const DUE_AFTER: Duration = Duration::from_secs(10);

/// Windows of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WindowCount {
    /// Windows with a report.
    pub reported: usize,
    /// Windows of the run whose reports were due.
    pub due: usize,
    /// Those of them without a report.
    pub unreported: Vec<u64>,
}

impl fmt::Display for WindowCount {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { reported, due, .. } = self;
        let unreported = self.unreported.len();
        write!(
            formatter,
            "{reported} usage windows reported, {unreported} of {due} due ones unreported {:?}",
            self.unreported
        )
    }
}

/// Windows that began within a run and whose reports were due before its end; both in time since the start of 1970.
pub fn due(run: &Range<Duration>) -> Range<u64> {
    let first = run.start.as_micros().div_ceil(WINDOW.as_micros());
    let behind = run.end.saturating_sub(DUE_AFTER).as_micros() / WINDOW.as_micros();
    let number = |window: u128| u64::try_from(window).unwrap_or(u64::MAX);
    number(first)..number(behind.max(first))
}

/// Counts the windows of a run.
pub fn count(reports: &[UsageReport], due: Range<u64>) -> WindowCount {
    let reported: BTreeSet<u64> = reports.iter().map(|report| report.window).collect();
    WindowCount {
        reported: reported.len(),
        due: due.clone().count(),
        unreported: due.filter(|window| !reported.contains(window)).collect(),
    }
}
