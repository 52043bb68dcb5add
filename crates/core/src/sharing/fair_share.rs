//! Max-min fairness.

/// The most that one of several may have so that all get equally much, but for those who want less: their rest is shared
/// by the others. Absent where everybody gets what it wants.
///
/// `wants` is what each wants, `room` what there is for all together.
pub fn fair_share(mut wants: Vec<f64>, room: f64) -> Option<f64> {
    wants.sort_by(f64::total_cmp);
    let mut left = room;
    for (index, want) in wants.iter().enumerate() {
        let level = left / (wants.len() - index) as f64;
        if *want > level {
            return Some(level.max(0.0));
        }
        left -= want;
    }
    None
}
