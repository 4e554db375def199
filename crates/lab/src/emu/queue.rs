//! The queue of what is to happen. Events at the same instant keep the order in which they were put in.

use crate::time::Nanos;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

struct Entry<T> {
    at: Nanos,
    order: u64,
    what: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Entry<T> {}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events to come, soonest first.
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Entry<T>>>,
    order: u64,
}

impl<T> Queue<T> {
    /// Nothing is to happen.
    pub fn new() -> Self {
        Queue { heap: BinaryHeap::new(), order: 0 }
    }

    /// Puts an event in.
    pub fn push(&mut self, at: Nanos, what: T) {
        self.order += 1;
        self.heap.push(Reverse(Entry { at, order: self.order, what }));
    }

    /// Takes the next one out.
    pub fn pop(&mut self) -> Option<(Nanos, T)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }

    /// How many were put in so far.
    pub fn pushed(&self) -> u64 {
        self.order
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn events_of_one_instant_keep_their_order() {
        let mut queue = Queue::new();
        for i in 0..100 {
            queue.push(7, i);
            queue.push(5, 100 + i);
        }
        let out: Vec<_> = std::iter::from_fn(|| queue.pop()).map(|(_, what)| what).collect();
        assert_eq!(out, (100..200).chain(0..100).collect::<Vec<_>>());
    }
}
