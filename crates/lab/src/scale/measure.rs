//! What this process spends, and the spread of figures over nodes.

use std::time::Duration;

/// Ticks of the kernel's processor accounting in a second on Linux.
const TICKS_PER_SECOND: f64 = 100.0;

/// Field of the user time in `/proc/self/stat`, counted after the name's closing bracket.
const USER_TIME_FIELD: usize = 11;

/// Processor time that this process has used; zero where it can't be read.
pub fn processor_time() -> Duration {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or_default()
        .split_whitespace()
        .collect();
    let ticks = |field: usize| {
        fields
            .get(field)
            .and_then(|ticks| ticks.parse::<f64>().ok())
            .unwrap_or_default()
    };
    Duration::from_secs_f64((ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1)) / TICKS_PER_SECOND)
}

/// Memory of this process that is resident, in bytes; zero where it can't be read.
pub fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line
        .and_then(|line| line.split_whitespace().next())
        .and_then(|number| number.parse().ok());
    kibibytes.unwrap_or(0_u64) * 1_024
}

/// Spread of a figure over nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spread {
    /// Mean.
    pub mean: f64,
    /// 95 in 100 are at or below this.
    pub p95: f64,
    /// The largest.
    pub worst: f64,
}

impl Spread {
    /// The spread of some figures.
    pub fn of(mut figures: Vec<f64>) -> Self {
        if figures.is_empty() {
            return Self::default();
        }
        figures.sort_by(f64::total_cmp);
        let position = (figures.len() * 95).div_ceil(100) - 1;
        Self {
            mean: figures.iter().sum::<f64>() / figures.len() as f64,
            p95: figures[position],
            worst: figures[figures.len() - 1],
        }
    }
}
