//! The comparison as text.

use super::comparison::{ClassSummary, ComparisonResult, Interval, PolicySummary, WorkloadSummary};
use std::fmt::Write;

/// One table per workload.
pub fn render(result: &ComparisonResult) -> String {
    let mut text = String::new();
    for workload in &result.workloads {
        render_workload(workload, &mut text);
    }
    text
}

fn render_workload(workload: &WorkloadSummary, text: &mut String) {
    // Writing to a string can't fail, here and below.
    let _ = writeln!(
        text,
        "\n{} ({:.1} requests/s offered)",
        workload.workload, workload.offered_per_second
    );
    let _ = writeln!(
        text,
        "{:<32}{:>14}{:>14}{:>13}{:>8}{:>7}{:>7}{:>7}{:>7}  {:<44}",
        "policy",
        "goodput/s",
        "of oracle %",
        "changes",
        "refus%",
        "late%",
        "fair",
        "worst%",
        "hit%",
        "first token ms 50/95/99, between tokens ms"
    );
    for policy in &workload.policies {
        render_policy(policy, text);
    }
}

fn render_policy(policy: &PolicySummary, text: &mut String) {
    let _ = write!(
        text,
        "{:<32}{:>14}{:>14}{:>13}",
        policy.policy,
        interval(policy.goodput, 1.0, 2),
        interval(policy.oracle_share, 100.0, 1),
        interval(policy.role_changes, 1.0, 1),
    );
    let _ = write!(
        text,
        "{:>8.2}{:>7.2}{:>7.3}{:>7.1}{:>7.1}",
        policy.refused_part.mean * 100.0,
        policy.late_part.mean * 100.0,
        policy.fairness.mean,
        policy.worst_tenant_part.mean * 100.0,
        policy.cached_part.mean * 100.0,
    );
    let classes: Vec<String> = policy.classes.iter().map(delays).collect();
    let _ = writeln!(text, "  {}", classes.join(" | "));
}

fn interval(value: Interval, factor: f64, digits: usize) -> String {
    format!(
        "{:.digits$} ±{:.digits$}",
        value.mean * factor,
        value.half_width * factor
    )
}

fn delays(class: &ClassSummary) -> String {
    let [first_50, first_95, first_99] = class.first_token_millis;
    let [gap_50, gap_95, gap_99] = class.between_tokens_millis;
    let good = class.good_part * 100.0;
    format!("{good:.1}% {first_50:.0}/{first_95:.0}/{first_99:.0} {gap_50:.0}/{gap_95:.0}/{gap_99:.0}")
}
