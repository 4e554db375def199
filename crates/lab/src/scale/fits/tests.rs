use super::*;
use crate::scale::results::{Figure, ScaleSize};

/// The textbook's t for three degrees of freedom is 3.182. The values lie 1 beside the line 1 + 2 x, by turns.
#[test]
fn the_line_and_its_interval() {
    let line = Line::through(&[(1.0, 3.0), (2.0, 5.0), (3.0, 7.0)]).unwrap();
    assert!((line.intercept - 1.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9, "{line:?}");
    assert!((line.interval[1] - line.interval[0]).abs() < 1e-6);
    let points = [(0.0, 2.0), (1.0, 2.0), (2.0, 6.0), (3.0, 6.0), (4.0, 10.0)];
    let line = Line::through(&points).unwrap();
    let off: f64 = points.iter().map(|(x, y)| (y - line.at(*x)).powi(2)).sum();
    let half = 3.182 * (off / 3.0 / 10.0).sqrt();
    assert!((line.interval[1] - line.slope - half).abs() < 1e-3, "{line:?}");
    assert!(Line::through(&points[..2]).is_none());
    assert!(Line::through(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)]).is_none());
}

fn points(values: &[(u32, f64)]) -> Vec<Point> {
    let point = |(servers, value): &(u32, f64)| Point {
        size: ScaleSize {
            nodes: 10,
            servers: *servers,
            tenants: 1,
            routes: 1,
            changes_per_s: 0.0,
            restarts_per_s: 0.0,
        },
        figures: vec![Figure {
            role: "hollow node".into(),
            figure: "state".into(),
            unit: "B".into(),
            value: *value,
        }],
    };
    values.iter().map(point).collect()
}

#[test]
fn what_grows_as_foretold_is_proven() {
    let fits = fits(&points(&[(10, 100.0), (20, 200.0), (40, 400.0), (80, 830.0)]), Dimension::Servers);
    let fit = &fits[0];
    assert!(fit.proven && (fit.foretold - 800.0).abs() < 1e-6, "{fit:?}");
    assert!((fit.exponent.unwrap() - 1.0).abs() < 1e-9);
    assert!((fit.error - 30.0 / 830.0).abs() < 1e-9);
}

#[test]
fn what_grows_with_the_square_is_not() {
    let fits = fits(&points(&[(10, 100.0), (20, 400.0), (40, 1600.0), (80, 6400.0)]), Dimension::Servers);
    assert!(!fits[0].proven, "{fits:?}");
    assert!((fits[0].exponent.unwrap() - 2.0).abs() < 1e-9);
}
