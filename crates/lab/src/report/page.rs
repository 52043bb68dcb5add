//! A page that needs nothing besides itself.

use std::fmt::Write;

const STYLE: &str = "body{font:14px/1.5 system-ui,sans-serif;max-width:1100px;margin:2em auto;padding:0 1em;color:#222}\
h1,h2{font-weight:600}table{border-collapse:collapse;margin:1em 0;font-size:13px}\
th,td{border-bottom:1px solid #ddd;padding:3px 9px;text-align:right}th:first-child,td:first-child{text-align:left}\
figure{margin:1em 0}svg{max-width:100%;height:auto}";

/// A page under construction.
#[derive(Clone, Debug, Default)]
pub struct Page {
    title: String,
    body: String,
}

impl Page {
    /// An empty page.
    pub fn new(title: &str) -> Self {
        Self {
            title: escape(title),
            body: String::new(),
        }
    }

    /// Adds a heading.
    pub fn heading(&mut self, text: &str) {
        // Writing to a string can't fail, here and below.
        let _ = writeln!(self.body, "<h2>{}</h2>", escape(text));
    }

    /// Adds a paragraph.
    pub fn paragraph(&mut self, text: &str) {
        let _ = writeln!(self.body, "<p>{}</p>", escape(text));
    }

    /// Adds a plot.
    pub fn figure(&mut self, svg: &str) {
        let _ = writeln!(self.body, "<figure>{svg}</figure>");
    }

    /// Adds a table; every row has as many cells as the header.
    pub fn table(&mut self, header: &[&str], rows: &[Vec<String>]) {
        let cells = |tag: &str, cells: &mut dyn Iterator<Item = &str>| -> String {
            cells
                .map(|cell| format!("<{tag}>{}</{tag}>", escape(cell)))
                .collect()
        };
        let head = cells("th", &mut header.iter().copied());
        let _ = writeln!(self.body, "<table><tr>{head}</tr>");
        for row in rows {
            let line = cells("td", &mut row.iter().map(String::as_str));
            let _ = writeln!(self.body, "<tr>{line}</tr>");
        }
        self.body.push_str("</table>\n");
    }

    /// The whole page.
    pub fn finish(&self) -> String {
        format!(
            "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
             <style>{STYLE}</style></head>\n<body>\n<h1>{title}</h1>\n{body}</body></html>\n",
            title = self.title,
            body = self.body
        )
    }
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
