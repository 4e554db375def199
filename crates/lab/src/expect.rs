//! What an experiment expects: a figure of one strategy, or the ratio of two, against a bound.

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

impl TryFrom<String> for Expectation {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let form = || {
            format!(
                "{text:?}: expected [@SIZE] [STRATEGY.]FIGURE [/ [STRATEGY.]FIGURE] >= NUMBER (or <=), with figures \
                 such as {}",
                crate::judge::FIGURES.join(", ")
            )
        };
        let mut rest = text.trim();
        let mut size = None;
        if let Some(at) = rest.strip_prefix('@') {
            let (word, after) = at.split_once(' ').ok_or_else(form)?;
            size = Some(Size::try_from(word.to_string())?);
            rest = after;
        }
        let (left, bound, at_least) = match (rest.split_once(">="), rest.split_once("<=")) {
            (Some((left, bound)), None) => (left, bound, true),
            (None, Some((left, bound))) => (left, bound, false),
            _ => return Err(form()),
        };
        let bound = bound.trim().parse().map_err(|_| form())?;
        let figure = |word: &str| {
            let (strategy, metric) = match word.trim().split_once('.') {
                Some((strategy, metric)) => (Some(Kind::named(strategy).ok_or_else(form)?), metric),
                None => (None, word.trim()),
            };
            let known = crate::judge::FIGURES.contains(&metric);
            if known { Ok(Figure { strategy, metric: metric.into() }) } else { Err(form()) }
        };
        let (figure, over) = match left.split_once('/') {
            Some((above, below)) => (figure(above)?, Some(figure(below)?)),
            None => (figure(left)?, None),
        };
        Ok(Expectation { size, figure, over, at_least, bound, text })
    }
}

impl Expectation {
    /// The strategies that it names.
    pub fn strategies(&self) -> Vec<Kind> {
        [Some(&self.figure), self.over.as_ref()].into_iter().flatten().filter_map(|f| f.strategy).collect()
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

    fn read(text: &str) -> Result<Expectation, String> {
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
    fn a_wrong_expectation_says_what_was_expected() {
        for text in ["served = 1", "shine >= 1", "nobody.served >= 1", "served >= much", "@300 served >= 1"] {
            let error = read(text).unwrap_err();
            assert!(error.contains("expected"), "{error}");
        }
    }
}
