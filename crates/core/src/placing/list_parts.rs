//! Parts of the list of nodes, which is sorted by name, from which a node judges whether it may become a placer of its region.
//!
//! A node of a regional deployment reads the part that begins at its own name, and the part at the start of the list if the list
//! ends there. The two may overlap: an entry that counted twice would rank a node lower than the whole list does.

/// Joins the part from a node's own name to the end of the list with the part at its start, each entry once. Returns the entries
/// and whether they are the whole list.
pub fn join_parts<T>(
    to_end: Vec<T>,
    from_start: Vec<T>,
    has_more: bool,
    name: impl Fn(&T) -> &str,
) -> (Vec<T>, bool) {
    let Some(first) = to_end.first().map(|entry| name(entry).to_owned()) else {
        return (from_start, !has_more);
    };
    let meets = from_start
        .last()
        .is_some_and(|entry| name(entry) >= first.as_str());
    let before = from_start
        .into_iter()
        .filter(|entry| name(entry) < first.as_str());
    let entries = before.chain(to_end).collect();
    (entries, meets || !has_more)
}
