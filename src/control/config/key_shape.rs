//! Which keys a configuration has, without its values: so much is kept of the running one, since a file that lacks some
//! of them looks written or copied by halves.

use super::ConfigError;
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The keys of a JSON text. It grows with how many kinds of entries a text has, and not with their count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Shape {
    /// `null`, which may be left out.
    Null,
    /// A text, a number or a truth value.
    Scalar,
    /// An object, by its keys.
    Object(BTreeMap<Box<str>, Shape>),
    /// An array: the different shapes of its elements, each with the place of the first one that has it, in their order.
    Array(Vec<(usize, Shape)>),
}

impl Shape {
    /// Forgets a key of an object.
    pub(super) fn forget(&mut self, key: &str) {
        if let Shape::Object(keys) = self {
            keys.remove(key);
        }
    }

    /// Keeps of each array only what a later one is compared with: the keys that all its elements have.
    pub(super) fn fold(&mut self) {
        match self {
            Shape::Null | Shape::Scalar => {}
            Shape::Object(keys) => keys.values_mut().for_each(Shape::fold),
            Shape::Array(elements) => {
                let folded = common(elements).map(|mut shape| {
                    shape.fold();
                    (0, shape)
                });
                *elements = folded.into_iter().collect();
            }
        }
    }
}

/// What all elements of an array have: the first one, without the keys that another lacks.
fn common(elements: &[(usize, Shape)]) -> Option<Shape> {
    let ((_, first), rest) = elements.split_first()?;
    let mut common = first.clone();
    if let Shape::Object(common) = &mut common {
        for (_, other) in rest {
            if let Shape::Object(other) = other {
                common.retain(|key, _| other.contains_key(key));
            }
        }
    }
    Some(common)
}

/// The first key of the running configuration that a new one is short of: that is how a file looks which was
/// written or copied by halves. Elements of an array, like the classes, need what all of them had.
pub(super) fn lacks(running: &Shape, new: &Shape, path: &str) -> Option<ConfigError> {
    match (running, new) {
        (Shape::Object(running), Shape::Object(new)) => running.iter().find_map(|(key, value)| {
            let path = format!("{path}/{key}");
            match new.get(key) {
                None | Some(Shape::Null) if *value != Shape::Null => Some(ConfigError::Missing(path)),
                Some(new) => lacks(value, new, &path),
                None => None,
            }
        }),
        (Shape::Array(running), Shape::Array(new)) => {
            let common = common(running)?;
            new.iter().find_map(|(place, new)| lacks(&common, new, &format!("{path}/{place}")))
        }
        (Shape::Object(_) | Shape::Array(_), _) => Some(ConfigError::OtherKind(path.into())),
        _ => None,
    }
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        from.deserialize_any(Reader)
    }
}

struct Reader;

impl<'de> Visitor<'de> for Reader {
    type Value = Shape;

    fn expecting(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str("any valid JSON value")
    }

    fn visit_unit<E>(self) -> Result<Shape, E> {
        Ok(Shape::Null)
    }

    fn visit_bool<E>(self, _: bool) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_i64<E>(self, _: i64) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_u64<E>(self, _: u64) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_f64<E>(self, _: f64) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_str<E>(self, _: &str) -> Result<Shape, E> {
        Ok(Shape::Scalar)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut entries: A) -> Result<Shape, A::Error> {
        let (mut first, mut place) = (HashMap::new(), 0);
        while let Some(shape) = entries.next_element::<Shape>()? {
            first.entry(shape).or_insert(place);
            place += 1;
        }
        let mut elements: Vec<_> = first.into_iter().map(|(shape, place)| (place, shape)).collect();
        elements.sort_by_key(|(place, _)| *place);
        Ok(Shape::Array(elements))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Shape, A::Error> {
        let mut keys = BTreeMap::new();
        while let Some((key, shape)) = entries.next_entry::<Box<str>, Shape>()? {
            keys.insert(key, shape);
        }
        Ok(Shape::Object(keys))
    }
}
