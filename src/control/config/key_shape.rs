//! Comparison of two configurations' shapes at a live reload: which keys they have, without the values. The
//! keys of the running configuration are kept, because a new file that lacks some of them was probably
//! written or copied only in part.

use super::ConfigError;
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::{BTreeMap, HashMap};
use std::fmt;

/// The shape of a JSON value: its keys, without the values. Its size grows with the number of different
/// shapes among the elements of an array, not with the number of elements.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) enum Shape {
    /// `null`, which may be left out.
    Null,
    /// A string, a number or a boolean.
    Scalar,
    /// An object, by its keys.
    Object(BTreeMap<Box<str>, Shape>),
    /// An array: the different shapes of its elements, each with the index of the first element that has it,
    /// in order of that index.
    Array(Vec<(usize, Shape)>),
}

impl Shape {
    /// Removes a key of an object, with all below it.
    pub(super) fn remove_key(&mut self, key: &str) {
        if let Shape::Object(keys) = self {
            keys.remove(key);
        }
    }

    /// Reduces each array to the one shape that a later array's elements are compared with: the keys that
    /// all its elements have.
    pub(super) fn compact(&mut self) {
        match self {
            Shape::Null | Shape::Scalar => {}
            Shape::Object(keys) => keys.values_mut().for_each(Shape::compact),
            Shape::Array(elements) => {
                let compacted = shared_keys(elements).map(|mut shape| {
                    shape.compact();
                    (0, shape)
                });
                *elements = compacted.into_iter().collect();
            }
        }
    }
}

/// The shape that all elements of an array share: the first element's, without the keys that another lacks.
fn shared_keys(elements: &[(usize, Shape)]) -> Option<Shape> {
    let ((_, first), rest) = elements.split_first()?;
    let mut shared = first.clone();
    if let Shape::Object(shared) = &mut shared {
        for (_, other) in rest {
            if let Shape::Object(other) = other {
                shared.retain(|key, _| other.contains_key(key));
            }
        }
    }
    Some(shared)
}

/// The error for the first key of the running configuration that the new one lacks, as a partly written or
/// copied file does. Each element of an array, such as a class, needs the keys that all elements of the
/// running array have.
pub(super) fn missing_key(running: &Shape, new: &Shape, path: &str) -> Option<ConfigError> {
    match (running, new) {
        (Shape::Object(running), Shape::Object(new)) => running.iter().find_map(|(key, value)| {
            let path = format!("{path}/{key}");
            match new.get(key) {
                None | Some(Shape::Null) if *value != Shape::Null => Some(ConfigError::MissingKey(path)),
                Some(new) => missing_key(value, new, &path),
                None => None,
            }
        }),
        (Shape::Array(running), Shape::Array(new)) => {
            let shared = shared_keys(running)?;
            new.iter().find_map(|(index, new)| missing_key(&shared, new, &format!("{path}/{index}")))
        }
        (Shape::Object(_) | Shape::Array(_), _) => Some(ConfigError::DifferentKind(path.into())),
        _ => None,
    }
}

impl<'de> Deserialize<'de> for Shape {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(ShapeVisitor)
    }
}

struct ShapeVisitor;

impl<'de> Visitor<'de> for ShapeVisitor {
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
        let (mut first_index, mut index) = (HashMap::new(), 0);
        while let Some(shape) = entries.next_element::<Shape>()? {
            first_index.entry(shape).or_insert(index);
            index += 1;
        }
        let mut elements: Vec<_> = first_index.into_iter().map(|(shape, index)| (index, shape)).collect();
        elements.sort_by_key(|(index, _)| *index);
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
