//! What an experiment expects: a figure of one strategy, or the ratio of two, against a bound.

use crate::judge::{FIGURES, FLOORS};
use crate::shares::Group;
use crate::size::Size;
use crate::strategy::Kind;
use serde::Deserialize;
use std::fmt;

/// A strategy's figure; of the first strategy that the file names if none is given.
#[derive(Clone, Debug, PartialEq)]
pub struct Figure {
    /// Whose.
    pub strategy: Option<Kind>,
    /// Its name, as results have it.
    pub metric: String,
    /// Of this class, tenant or third of the day alone; only `served` is told so.
    pub of: Option<Group>,
}

/// Why an expectation can't be read.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum Unreadable {
    /// It is none at all.
    #[error("{0:?}: expected [@SIZE] [STRATEGY.]FIGURE [/ [STRATEGY.]FIGURE] >= NUMBER (or <=)")]
    Form(String),
    /// The size.
    #[error("{text:?}: {what}")]
    Size {
        /// The expectation.
        text: String,
        /// What is wrong.
        what: String,
    },
    /// There is no such strategy.
    #[error("{text:?}: no strategy {word:?}: expected module, random or another that strategies may name")]
    Strategy {
        /// The expectation.
        text: String,
        /// What stands for a strategy.
        word: String,
    },
    /// There is no such figure.
    #[error("{text:?}: no figure {word:?}: expected one of {}", FIGURES.join(", "))]
    Figure {
        /// The expectation.
        text: String,
        /// What stands for a figure.
        word: String,
    },
    /// No figure is told so.
    #[error(
        "{text:?}: {word:?}: expected served[class=NAME], served[tenant=NUMBER], counted from 0, or served[third=1] to 3"
    )]
    Group {
        /// The expectation.
        text: String,
        /// The figure with its brackets.
        word: String,
    },
    /// The bound.
    #[error("{text:?}: expected a number after >= or <=, not {word:?}")]
    Bound {
        /// The expectation.
        text: String,
        /// What stands for a number.
        word: String,
    },
}

/// `[@SIZE] FIGURE [/ FIGURE] >= NUMBER`, or `<=`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "String")]
pub struct Expectation {
    text: String,
    /// Only at this size.
    pub size: Option<Size>,
    /// What is looked at.
    pub figure: Figure,
    /// What it is divided by.
    pub over: Option<Figure>,
    /// Whether it has to be at least the bound, or at most.
    pub at_least: bool,
    /// The bound.
    pub bound: f64,
}

impl fmt::Display for Expectation {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(&self.text)
    }
}

/// `[STRATEGY.]FIGURE`, or `[STRATEGY.]served[class=NAME]`, or the same of a tenant.
fn figure(text: &str, word: &str) -> Result<Figure, Unreadable> {
    let (text, word) = (text.to_string(), word.trim());
    let (name, group) = match word.split_once('[') {
        Some((name, rest)) => (name, Some(rest)),
        None => (word, None),
    };
    let (strategy, metric) = match name.split_once('.') {
        Some((strategy, metric)) => (Some(strategy), metric),
        None => (None, name),
    };
    let named = |word: &str| {
        let unknown = Unreadable::Strategy { text: text.clone(), word: word.into() };
        Kind::named(word).ok_or(unknown)
    };
    let strategy = strategy.map(named).transpose()?;
    if !FIGURES.contains(&metric) {
        return Err(Unreadable::Figure { text, word: metric.into() });
    }
    let told = |rest: &str| {
        let (key, value) = rest.strip_suffix(']')?.split_once('=')?;
        match key {
            "class" if metric == "served" => Some(Group::Class(value.into())),
            "tenant" if metric == "served" => value.parse().ok().map(Group::Tenant),
            "third" if metric == "served" => {
                value.parse().ok().filter(|third| (1..=3).contains(third)).map(Group::Third)
            }
            _ => None,
        }
    };
    let told = |rest| told(rest).ok_or(Unreadable::Group { text: text.clone(), word: word.into() });
    Ok(Figure { strategy, metric: metric.into(), of: group.map(told).transpose()? })
}

impl TryFrom<String> for Expectation {
    type Error = Unreadable;

    fn try_from(text: String) -> Result<Self, Unreadable> {
        let form = || Unreadable::Form(text.clone());
        let mut rest = text.trim();
        let mut size = None;
        if let Some(at) = rest.strip_prefix('@') {
            let (word, after) = at.split_once(' ').ok_or_else(form)?;
            let read = Size::try_from(word.to_string());
            size = Some(read.map_err(|what| Unreadable::Size { text: text.clone(), what })?);
            rest = after;
        }
        let (left, bound, at_least) = match (rest.split_once(">="), rest.split_once("<=")) {
            (Some((left, bound)), None) => (left, bound.trim(), true),
            (None, Some((left, bound))) => (left, bound.trim(), false),
            _ => return Err(form()),
        };
        let number = bound.parse();
        let bound = number.map_err(|_| Unreadable::Bound { text: text.clone(), word: bound.into() })?;
        // Names in brackets may hold a stroke: what divides stands free.
        let (above, over) = match left.split_once(" / ") {
            Some((above, below)) => (figure(&text, above)?, Some(figure(&text, below)?)),
            None => (figure(&text, left)?, None),
        };
        Ok(Expectation { size, figure: above, over, at_least, bound, text })
    }
}

impl Expectation {
    /// The strategies that it names.
    pub fn strategies(&self) -> Vec<Kind> {
        [Some(&self.figure), self.over.as_ref()].into_iter().flatten().filter_map(|f| f.strategy).collect()
    }

    /// Whether it names a figure that holds a run against what is seen late.
    pub fn needs_late_seeing(&self) -> bool {
        let floors = &FIGURES[FIGURES.len() - FLOORS..];
        [Some(&self.figure), self.over.as_ref()].into_iter().flatten().any(|f| floors.contains(&&*f.metric))
    }

    /// The classes and tenants that it names.
    pub fn groups(&self) -> Vec<&Group> {
        [Some(&self.figure), self.over.as_ref()].into_iter().flatten().filter_map(|f| f.of.as_ref()).collect()
    }

    /// What it comes to, by what `figure` says each figure is, and whether that is as expected. A figure that is
    /// missing or no number is never as expected.
    pub fn holds(&self, figure: impl Fn(&Figure) -> Option<f64>) -> (f64, bool) {
        let above = figure(&self.figure).unwrap_or(f64::NAN);
        let below = self.over.as_ref().map_or(Some(1.0), &figure).unwrap_or(f64::NAN);
        let got = above / below;
        (got, if self.at_least { got >= self.bound } else { got <= self.bound })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn read(text: &str) -> Result<Expectation, Unreadable> {
        Expectation::try_from(text.to_string())
    }

    #[test]
    fn an_expectation_reads_as_it_is_written() {
        let one = read("@3x12 module.served / random.served >= 1.1").unwrap();
        assert_eq!((one.size, one.at_least, one.bound), (Some(Size { nodes: 3, servers: 12 }), true, 1.1));
        let served = |figure: &Figure| {
            assert_eq!(figure.metric, "served");
            Some(if figure.strategy == Some(Kind::Module) { 0.9 } else { 0.75 })
        };
        assert_eq!(one.holds(served).0, 0.9 / 0.75);
        assert!(one.holds(served).1);
        assert!(!one.holds(|_| Some(0.9)).1);
        // What is missing holds nothing up, whichever way the bound lies.
        assert!(!one.holds(|_| None).1);
        assert!(!read("recovery_s <= 5").unwrap().holds(|_| None).1);
    }

    #[test]
    fn a_class_or_a_tenant_is_named_in_brackets() {
        let one = read("module.served[class=a.b/c] / random.served[tenant=3] >= 0.5").unwrap();
        let [class, tenant] = [Group::Class("a.b/c".into()), Group::Tenant(3)];
        assert_eq!((one.groups(), one.figure.strategy), (vec![&class, &tenant], Some(Kind::Module)));
        // The two are told apart: each is asked for by itself.
        assert_eq!(one.holds(|f| Some(if f.of.as_ref() == Some(&class) { 0.25 } else { 0.5 })), (0.5, true));
    }

    #[test]
    fn a_wrong_expectation_says_what_was_expected() {
        for (text, words) in [
            ("served = 1", "expected [@SIZE]"),
            ("shine >= 1", "\"shine\": expected one of served"),
            ("nobody.served >= 1", "no strategy \"nobody\": expected module"),
            ("served >= much", "expected a number after >= or <=, not \"much\""),
            ("@300 served >= 1", "expected"),
            ("served[class] >= 1", "expected served[class=NAME], served[tenant=NUMBER]"),
            ("served[third=4] >= 1", "served[third=1] to 3"),
            ("served[third=0] >= 1", "served[third=1] to 3"),
            ("served[tenant=x] >= 1", "expected served[class=NAME]"),
            ("served[tenant=1 >= 1", "expected served[class=NAME]"),
            ("late[class=view] <= 1", "expected served[class=NAME]"),
        ] {
            let error = read(text).unwrap_err().to_string();
            assert!(error.contains(words) && error.contains(&text[..5]), "{error}");
        }
    }
}
