//! Names that are known by number: those of classes and tenants, of which there may be many. The text of all stands
//! once, and a name is found by a hash table of numbers.

use hashbrown::HashTable;
use serde::de::Error;
use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};

/// So many names stand in a message; of more only the first ones do.
const SHOWN: usize = 8;

/// The place of a name that can't be known by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NameError {
    /// It is empty.
    Empty {
        /// Its place, from 0.
        index: usize,
    },
    /// It stands at an earlier place too.
    Duplicate {
        /// Its first place, from 0.
        first: usize,
        /// The second one.
        second: usize,
    },
}

/// Names in the order of their numbers. Memory: the bytes of the names, and about 10 bytes for each.
#[derive(Clone, Default)]
pub struct NameTable {
    text: String,
    /// Where each name ends in `text`.
    ends: Vec<u32>,
    /// The first number of each name, by the name's hash.
    numbers: HashTable<u32>,
    problem: Option<NameError>,
}

/// There are more names, or longer ones, than can be numbered: use fewer.
#[derive(Debug, thiserror::Error)]
#[error("names of more than 4 GiB in all; expected fewer")]
pub struct TooManyNames;

fn hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}

/// The name with this number.
fn name_at<'a>(text: &'a str, ends: &[u32], number: usize) -> Option<&'a str> {
    let end = *ends.get(number)? as usize;
    let start = number.checked_sub(1).and_then(|before| ends.get(before)).map_or(0, |end| *end as usize);
    text.get(start..end)
}

impl NameTable {
    /// Adds a name, whose number is the count of those before it.
    ///
    /// # Errors
    /// If the numbers have run out.
    pub fn push(&mut self, name: &str) -> Result<(), TooManyNames> {
        let end = u32::try_from(self.text.len() + name.len()).map_err(|_| TooManyNames)?;
        let number = u32::try_from(self.ends.len()).map_err(|_| TooManyNames)?;
        let (place, first) = (self.ends.len(), self.position(name));
        self.text.push_str(name);
        self.ends.push(end);
        let problem = match first {
            _ if name.is_empty() => Some(NameError::Empty { index: place }),
            Some(first) => Some(NameError::Duplicate { first, second: place }),
            None => None,
        };
        self.problem = self.problem.or(problem);
        if first.is_none() {
            let (text, ends) = (&self.text, &self.ends);
            let rehash = |number: &u32| hash(name_at(text, ends, *number as usize).unwrap_or_default());
            self.numbers.insert_unique(hash(name), number, rehash);
        }
        Ok(())
    }

    /// Gives back the memory that was kept for more names.
    pub fn shrink(&mut self) {
        self.text.shrink_to_fit();
        self.ends.shrink_to_fit();
    }

    /// The number of a name, the first one if it has several.
    pub fn position(&self, name: &str) -> Option<usize> {
        let found = self.numbers.find(hash(name), |number| self.get(*number as usize) == Some(name));
        found.map(|number| *number as usize)
    }

    /// The name with this number.
    pub fn get(&self, number: usize) -> Option<&str> {
        name_at(&self.text, &self.ends, number)
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// All, in the order of their numbers.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        (0..self.len()).filter_map(|number| self.get(number))
    }

    /// The first name that is empty or stands twice.
    pub fn error(&self) -> Option<NameError> {
        self.problem
    }

    /// For a message: the names with commas between, and of many the first ones and how many there are.
    pub fn summary(&self) -> String {
        let mut listed = self.iter().take(SHOWN).collect::<Vec<_>>().join(", ");
        if self.len() > SHOWN {
            listed.push_str(&format!(", ... ({} in all)", self.len()));
        }
        listed
    }

    /// Where each name stood among earlier ones.
    pub fn indices_in(&self, earlier: &NameTable) -> Vec<Option<usize>> {
        self.iter().map(|name| earlier.position(name)).collect()
    }

    /// As the error of a reader.
    pub(super) fn read<E: Error>(&mut self, name: &str) -> Result<(), E> {
        self.push(name).map_err(E::custom)
    }
}

impl fmt::Debug for NameTable {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_list().entries(self.iter()).finish()
    }
}

impl<const N: usize> PartialEq<[&str; N]> for NameTable {
    fn eq(&self, other: &[&str; N]) -> bool {
        self.iter().eq(other.iter().copied())
    }
}
