//! Comparison of two configurations' shapes at a live reload: which keys they have, without the values. The
//! keys of the running configuration are kept, because a new file that lacks some of them was probably
//! written or copied only in part.

use super::ConfigError;
use crate::settings::NameTable;
use serde::de::{MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};
use std::collections::{BTreeMap, HashMap, HashSet};
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
    /// An array.
    Array(ArrayShape),
}

/// The shape of an array.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(super) struct ArrayShape {
    /// The different shapes of its elements, each with the index of the first element that has it, in order of
    /// that index.
    shapes: Vec<(usize, Shape)>,
    /// The shape of each element, by its index among these; empty once compacted.
    elements: Vec<usize>,
}

impl Shape {
    /// Removes the key at the end of a path of keys, with all below it.
    pub(super) fn remove_path(&mut self, path: &[&str]) {
        match (self, path) {
            (Shape::Object(keys), [key]) => drop(keys.remove(*key)),
            (Shape::Object(keys), [key, rest @ ..]) => {
                keys.get_mut(*key).into_iter().for_each(|inner| inner.remove_path(rest));
            }
            _ => {}
        }
    }

    /// Takes the shape of the array at the end of a path of keys, and leaves that of an empty array. If there is
    /// none, that is what it returns.
    pub(super) fn take_array(&mut self, path: &[&str]) -> ArrayShape {
        match (self, path) {
            (Shape::Array(array), []) => std::mem::take(array),
            (Shape::Object(keys), [key, rest @ ..]) => {
                keys.get_mut(*key).map(|inner| inner.take_array(rest)).unwrap_or_default()
            }
            _ => ArrayShape::default(),
        }
    }

    /// Reduces each array to the one shape that a later array's elements are compared with: the keys that
    /// all its elements have.
    pub(super) fn compact(&mut self) {
        match self {
            Shape::Null | Shape::Scalar => {}
            Shape::Object(keys) => keys.values_mut().for_each(Shape::compact),
            Shape::Array(array) => {
                let compacted = shared_keys(&array.shapes).map(|mut shape| {
                    shape.compact();
                    (0, shape)
                });
                *array = ArrayShape { shapes: compacted.into_iter().collect(), elements: Vec::new() };
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
            let shared = shared_keys(&running.shapes)?;
            new.shapes.iter().find_map(|(index, new)| missing_key(&shared, new, &format!("{path}/{index}")))
        }
        (Shape::Object(_) | Shape::Array(_), _) => Some(ConfigError::DifferentKind(path.into())),
        _ => None,
    }
}

/// The shapes of the entries of a list whose entries have names, such as the classes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct EntryShapes {
    /// What all entries have.
    shared: Option<Shape>,
    /// The shapes of the entries that have more.
    own: Vec<Shape>,
    /// The entries that have more, by their indices in the list and in `own`, in order.
    entries: Vec<(usize, usize)>,
}

impl EntryShapes {
    /// The shapes of a list's entries. Their size grows with the number of entries that have keys which others
    /// lack.
    pub(super) fn new(array: &ArrayShape) -> Self {
        let shared = shared_keys(&array.shapes);
        let has_more = |(_, shape): &(usize, Shape)| Some(shape) != shared.as_ref();
        let more: Vec<_> = array.shapes.iter().map(has_more).collect();
        let own_index = |number: usize| more[..number].iter().filter(|more| **more).count();
        let with_more = array.elements.iter().enumerate().filter(|(_, number)| more[**number]);
        EntryShapes {
            entries: with_more.map(|(entry, number)| (entry, own_index(*number))).collect(),
            own: array
                .shapes
                .iter()
                .filter(|shape| has_more(shape))
                .map(|(_, shape)| shape.clone())
                .collect(),
            shared,
        }
    }

    /// What is kept: the shared shape, the others, and for how many entries they are.
    #[cfg(test)]
    pub(super) fn kept(&self) -> (Option<Shape>, Vec<Shape>, usize) {
        (self.shared.clone(), self.own.clone(), self.entries.len())
    }

    /// The index in `own` of an entry's shape, if it has one.
    fn own_index(&self, entry: usize) -> Option<usize> {
        let found = self.entries.binary_search_by_key(&entry, |(entry, _)| *entry).ok()?;
        Some(self.entries[found].1)
    }

    /// A shape by its index in `own`, or the one that all entries share.
    fn shape(&self, own_index: Option<usize>) -> Option<&Shape> {
        own_index.and_then(|index| self.own.get(index)).or(self.shared.as_ref())
    }
}

/// The error for the first key that an entry of the new list lacks: one that the running entry of the same name
/// has, or for a new name, one that all running entries have. `optional_keys` names the keys that an entry may
/// lack, by the index of the running entry, if there is one, and of the new one.
pub(super) fn missing_entry_key(
    (running, running_names): (&EntryShapes, &NameTable),
    (new, new_names): (&EntryShapes, &NameTable),
    path: &str,
    optional_keys: impl Fn(Option<usize>, usize) -> &'static [&'static str],
) -> Option<ConfigError> {
    let mut compared = HashSet::new();
    new_names.iter().enumerate().find_map(|(index, name)| {
        let running_index = running_names.position(name);
        let running_own = running_index.and_then(|index| running.own_index(index));
        let (new_own, optional) = (new.own_index(index), optional_keys(running_index, index));
        if !compared.insert((running_own, new_own, optional)) {
            return None;
        }
        let mut needed = running.shape(running_own)?.clone();
        optional.iter().for_each(|key| needed.remove_path(&[key]));
        missing_key(&needed, new.shape(new_own)?, &format!("{path}/{index}"))
    })
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
        let (mut numbers, mut first_indices, mut elements) = (HashMap::new(), Vec::new(), Vec::new());
        while let Some(shape) = entries.next_element::<Shape>()? {
            let number = *numbers.entry(shape).or_insert(first_indices.len());
            if number == first_indices.len() {
                first_indices.push(elements.len());
            }
            elements.push(number);
        }
        let first = |(shape, number): (Shape, usize)| (first_indices[number], shape);
        let mut shapes: Vec<_> = numbers.into_iter().map(first).collect();
        shapes.sort_by_key(|(index, _)| *index);
        Ok(Shape::Array(ArrayShape { shapes, elements }))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Shape, A::Error> {
        let mut keys = BTreeMap::new();
        while let Some((key, shape)) = entries.next_entry::<Box<str>, Shape>()? {
            keys.insert(key, shape);
        }
        Ok(Shape::Object(keys))
    }
}
