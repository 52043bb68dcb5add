//! The regions of a request's engines and placers in words, and where it left its home region.

use super::explain::LogLine;

/// Region in log lines where it is not known or the deployment is not regional.
const NO_REGION: &str = "none";

/// Sent to an engine.
const DISPATCHED: &str = "dispatched";

/// Placed by another node.
const PLACED: &str = "placed";

/// The node may from here on choose engines of all regions.
const LEFT: &str = "home_region_left";

/// A line for each engine and placer on the request's course whose region is known, and one for each time that it left its home
/// region.
pub(super) fn of(course: &[&LogLine]) -> Vec<String> {
    let mut told = Vec::new();
    for line in course {
        let words = match line.event() {
            DISPATCHED => {
                let what = format!("engine {} ({})", line.field("engine"), line.field("purpose"));
                in_region(line, &what)
            }
            PLACED => in_region(line, &format!("placer {}", line.field("placer"))),
            LEFT => Some(format!(
                "region  {} left its home region {} at {}",
                line.source,
                line.field("region"),
                line.time()
            )),
            _ => None,
        };
        if let Some(words) = words.filter(|words| !told.contains(words)) {
            told.push(words);
        }
    }
    told
}

fn in_region(line: &LogLine, what: &str) -> Option<String> {
    let region = line.field("region");
    let is_known = !region.is_empty() && region != NO_REGION;
    is_known.then(|| format!("region  {} {what}: {region}", line.source))
}
