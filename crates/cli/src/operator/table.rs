//! Plain tables with aligned columns.

/// Text of a table: a heading line and one line for each row, columns two spaces apart.
pub fn render(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut lines = vec![headings.iter().map(|text| (*text).to_owned()).collect()];
    lines.extend(rows.iter().cloned());
    let widths: Vec<usize> = (0..headings.len()).map(|column| width(&lines, column)).collect();
    let mut text = String::new();
    for line in &lines {
        text.push_str(render_line(line, &widths).trim_end());
        text.push('\n');
    }
    text
}

fn width(lines: &[Vec<String>], column: usize) -> usize {
    lines
        .iter()
        .filter_map(|line| line.get(column))
        .map(|cell| cell.chars().count())
        .max()
        .unwrap_or(0)
}

fn render_line(cells: &[String], widths: &[usize]) -> String {
    cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}  "))
        .collect()
}
