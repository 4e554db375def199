//! The page and its markers: `<!-- capacity:NAME -->` before a table and `<!-- /capacity:NAME -->` after it, each on a line of
//! its own.

use super::Table;

/// Why a page can't take its tables.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Markers {
    /// A table has no place on the page: set its two markers where it is to stand.
    #[error("the page has no place for the table {0}: set {open} and {close} on lines of their own", open = open(.0), close = close(.0))]
    Missing(String),
    /// A marker stands twice, or without its other one.
    #[error("the markers of the table {0} don't pair")]
    Unpaired(String),
    /// The page has markers of a table that there is none of: remove them, or correct the name.
    #[error("the page has markers for {0}, and there is no such table")]
    Unknown(String),
}

fn open(name: &str) -> String {
    format!("<!-- capacity:{name} -->")
}

fn close(name: &str) -> String {
    format!("<!-- /capacity:{name} -->")
}

/// The page with these tables at their markers.
///
/// # Errors
/// If markers and tables don't fit each other.
pub fn filled(page: &str, tables: &[Table]) -> Result<String, Markers> {
    known(page, tables)?;
    let mut page = page.to_owned();
    for table in tables {
        let (start, end) = place(&page, &table.name)?;
        page.replace_range(start..end, &format!("\n{}\n", table.markdown()));
    }
    Ok(page)
}

/// The lines in which the page is not what these tables make of it: the page's and the reckoned one.
///
/// # Errors
/// If markers and tables don't fit each other.
pub fn differences(page: &str, tables: &[Table]) -> Result<Vec<(String, String)>, Markers> {
    let filled = filled(page, tables)?;
    let (mut old, mut new) = (page.lines(), filled.lines());
    let mut differ = Vec::new();
    loop {
        match (old.next(), new.next()) {
            (None, None) => return Ok(differ),
            (a, b) if a == b => {}
            (a, b) => differ.push((a.unwrap_or_default().to_owned(), b.unwrap_or_default().to_owned())),
        }
    }
}

/// The page less what stands between markers: what was written by hand.
///
/// # Errors
/// If markers and tables don't fit each other.
pub fn without_tables(page: &str, tables: &[Table]) -> Result<String, Markers> {
    let mut page = page.to_owned();
    for table in tables {
        let (start, end) = place(&page, &table.name)?;
        page.replace_range(start..end, "\n");
    }
    Ok(page)
}

/// What lies between a table's markers, as bytes of the page.
fn place(page: &str, name: &str) -> Result<(usize, usize), Markers> {
    let (open, close) = (open(name), close(name));
    let starts: Vec<_> = page.match_indices(&open).collect();
    let ends: Vec<_> = page.match_indices(&close).collect();
    match (starts.as_slice(), ends.as_slice()) {
        ([], []) => Err(Markers::Missing(name.to_owned())),
        ([(start, _)], [(end, _)]) if start < end => Ok((start + open.len() + 1, *end)),
        _ => Err(Markers::Unpaired(name.to_owned())),
    }
}

fn known(page: &str, tables: &[Table]) -> Result<(), Markers> {
    let names = page.lines().filter_map(|line| {
        let name = line.trim().strip_prefix("<!-- ")?.strip_suffix(" -->")?;
        name.strip_prefix('/').unwrap_or(name).strip_prefix("capacity:")
    });
    for name in names {
        if !tables.iter().any(|table| table.name == name) {
            return Err(Markers::Unknown(name.to_owned()));
        }
    }
    Ok(())
}
