//! A table of names that maps each name to its index and back, for classes and tenants, of which there may
//! be many. The names are stored once, in one string; a hash table of indices finds a name.

use hashbrown::HashTable;
use serde::de::Error;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The most names that a message lists.
const MAX_SHOWN_NAMES: usize = 8;

/// Why a name can't identify an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// It is empty.
    Empty {
        /// Its index, counted from 0.
        index: usize,
    },
    /// It occurs more than once.
    Duplicate {
        /// The index of its first occurrence, counted from 0.
        first: usize,
        /// The index of its second occurrence.
        second: usize,
    },
}

/// Names in the order of their indices. It takes the bytes of the names and about 10 bytes for each name.
#[derive(Clone, Default)]
pub struct NameTable {
    /// All names, one after the other.
    text: String,
    /// The end of each name in `text`.
    ends: Vec<u32>,
    /// The first index of each name, by the name's hash.
    first_indices: HashTable<u32>,
    /// The first invalid name.
    error: Option<NameError>,
}

/// The names are too many or too long: their count and their total length are kept in 32 bits.
#[derive(Debug, thiserror::Error)]
#[error("names of more than 4 GiB in all; expected fewer")]
pub struct TooManyNames;

fn hash_name(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// The name with this index.
fn name_at<'a>(text: &'a str, ends: &[u32], index: usize) -> Option<&'a str> {
    let end = *ends.get(index)? as usize;
    let start = index.checked_sub(1).and_then(|previous| ends.get(previous)).map_or(0, |end| *end as usize);
    text.get(start..end)
}

impl NameTable {
    /// Appends a name, whose index is the number of names before it. An empty name or a duplicate is added
    /// too, and the first of these is reported by [`error`](Self::error).
    ///
    /// # Errors
    /// If there are too many names or they are too long.
    pub fn push(&mut self, name: &str) -> Result<(), TooManyNames> {
        let end = u32::try_from(self.text.len() + name.len()).map_err(|_| TooManyNames)?;
        let index = u32::try_from(self.ends.len()).map_err(|_| TooManyNames)?;
        let (position, first) = (self.ends.len(), self.position(name));
        self.text.push_str(name);
        self.ends.push(end);
        let error = match first {
            _ if name.is_empty() => Some(NameError::Empty { index: position }),
            Some(first) => Some(NameError::Duplicate { first, second: position }),
            None => None,
        };
        self.error = self.error.or(error);
        if first.is_none() {
            let (text, ends) = (&self.text, &self.ends);
            let rehash = |index: &u32| hash_name(name_at(text, ends, *index as usize).unwrap_or_default());
            self.first_indices.insert_unique(hash_name(name), index, rehash);
        }
        Ok(())
    }

    /// Releases the memory reserved for further names.
    pub fn shrink(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }

    /// The index of a name: the first one if it occurs more than once.
    pub fn position(&self, name: &str) -> Option<usize> {
        let first_index =
            self.first_indices.find(hash_name(name), |index| self.get(*index as usize) == Some(name));
        first_index.map(|index| *index as usize)
    }

    /// The name with this index.
    pub fn get(&self, index: usize) -> Option<&str> {
        name_at(&self.text, &self.ends, index)
    }

    /// The number of names, duplicates included.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether there are no names.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// All names, in the order of their indices.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).filter_map(|index| self.get(index))
    }

    /// The first name that is empty or occurs a second time.
    pub fn error(&self) -> Option<NameError> {
        self.error
    }

    /// The names as a message lists them, separated by commas; of many names, the first ones and the total
    /// number.
    pub fn summary(&self) -> String {
        let mut summary = self.iter().take(MAX_SHOWN_NAMES).collect::<Vec<_>>().join(", ");
        if self.len() > MAX_SHOWN_NAMES {
            summary.push_str(&format!(", ... ({} in all)", self.len()));
        }
        summary
    }

    /// The index of each name in another table, usually that of the previous settings.
    pub fn indices_in(&self, other: &NameTable) -> Vec<Option<usize>> {
        self.iter().map(|name| other.position(name)).collect()
    }

    /// Like [`push`](Self::push), with the error type of a deserializer.
    pub(super) fn push_deserialized<E: Error>(&mut self, name: &str) -> Result<(), E> {
        self.push(name).map_err(E::custom)
    }
}

impl fmt::Debug for NameTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_list().entries(self.iter()).finish()
    }
}

impl<const N: usize> PartialEq<[&str; N]> for NameTable {
    fn eq(&self, other: &[&str; N]) -> bool {
        self.iter().eq(other.iter().copied())
    }
}
