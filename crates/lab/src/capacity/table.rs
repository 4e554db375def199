//! Tables of the page, as Markdown.

/// A table with the name of its markers.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    /// The name at its markers.
    pub name: String,
    /// The titles of its columns.
    pub titles: Vec<String>,
    /// Its rows, of as many cells.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(name: &str, titles: &[&str]) -> Self {
        let titles = titles.iter().map(ToString::to_string).collect();
        Table { name: name.to_owned(), titles, rows: Vec::new() }
    }

    /// Adds a row, of as many cells as there are titles.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        let mut cells: Vec<_> = cells.into_iter().collect();
        cells.resize(self.titles.len(), String::new());
        self.rows.push(cells);
    }

    /// Its text, each line ended.
    pub fn markdown(&self) -> String {
        let line = |cells: &[String]| format!("| {} |\n", cells.join(" | "));
        let rule = vec!["---".to_owned(); self.titles.len()];
        let rows = self.rows.iter().map(|row| line(row)).collect::<String>();
        line(&self.titles) + &line(&rule) + &rows
    }
}

/// A number with three digits that count, in groups of three before the point. Whole numbers under ten million are shown as
/// they are.
pub fn number(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    if !value.is_finite() {
        return "endless".to_owned();
    }
    if value.fract() == 0.0 && value.abs() < 1e7 {
        return grouped(&format!("{value:.0}"));
    }
    let size = value.abs().log10().floor() as i32;
    if size < -4 {
        return format!("{value:.2e}");
    }
    let step = 10f64.powi((size - 2).max(0));
    let decimals = (2 - size).max(0) as usize;
    grouped(&format!("{:.decimals$}", if size > 2 { (value / step).round() * step } else { value }))
}

fn grouped(text: &str) -> String {
    let (whole, rest) = text.split_once('.').map_or((text, None), |(whole, rest)| (whole, Some(rest)));
    let (sign, digits) = whole.strip_prefix('-').map_or(("", whole), |digits| ("-", digits));
    let mut out = String::new();
    for (place, digit) in digits.chars().enumerate() {
        if place > 0 && (digits.len() - place) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    let rest = rest.map(|rest| format!(".{rest}")).unwrap_or_default();
    format!("{sign}{out}{rest}")
}

/// Smaller shares are as good as none.
const LEAST_SHARE: f64 = 1e-6;

/// A number, or that it is too small to matter.
pub fn or_hardly_any(value: f64) -> String {
    if value > 0.0 && value < 1e-4 { "under 0.0001".to_owned() } else { number(value) }
}

/// A share, in per cent.
pub fn percent(share: f64) -> String {
    if share > 0.0 && share < LEAST_SHARE {
        return "under 0.0001 %".to_owned();
    }
    format!("{} %", number(100.0 * share))
}
