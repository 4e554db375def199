//! A ring of listed servers in the order of their positions: changed one by one, and read from any rank on.

use super::compact_server::Listed;

/// A server's position and what is listed of it.
type Place = (u64, Listed);

/// A block that has grown beyond this is divided. A change moves what follows it in its block: 20 kB at the most. A rank is
/// found by counting blocks: some two hundred at 52,000 servers.
const LONGEST_BLOCK: usize = 512;

/// Servers by position, ascending, in blocks none of which is empty.
#[derive(Default)]
pub struct Ring {
    blocks: Vec<Vec<Place>>,
    length: usize,
}

impl Ring {
    /// How many servers stand on it.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether nobody stands on it.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Who stands at a position.
    pub fn get(&self, position: u64) -> Option<&Listed> {
        let block = self.blocks.get(self.block_of(position))?;
        let place = find(block, position).ok()?;
        Some(&block[place].1)
    }

    /// The same, to be changed.
    pub fn get_mut(&mut self, position: u64) -> Option<&mut Listed> {
        let at = self.block_of(position);
        let block = self.blocks.get_mut(at)?;
        let place = find(block, position).ok()?;
        Some(&mut block[place].1)
    }

    /// Puts a server at its position, in place of what was listed of it before.
    pub fn put(&mut self, position: u64, listed: Listed) {
        if self.blocks.is_empty() {
            self.blocks.push(Vec::new());
        }
        let at = self.block_of(position);
        let block = &mut self.blocks[at];
        match find(block, position) {
            Ok(place) => block[place].1 = listed,
            Err(place) => {
                block.insert(place, (position, listed));
                self.length += 1;
            }
        }
        if block.len() > LONGEST_BLOCK {
            let second = block.split_off(LONGEST_BLOCK / 2);
            block.shrink_to(LONGEST_BLOCK);
            self.blocks.insert(at + 1, second);
        }
    }

    /// Takes a server off the ring, if it stands there.
    pub fn remove(&mut self, position: u64) -> Option<Listed> {
        let at = self.block_of(position);
        let block = self.blocks.get_mut(at)?;
        let place = find(block, position).ok()?;
        let (_, listed) = block.remove(place);
        self.length -= 1;
        if block.is_empty() {
            self.blocks.remove(at);
        }
        Some(listed)
    }

    /// All servers, once round from this rank on.
    pub fn round_from(&self, rank: usize) -> impl Iterator<Item = &Place> + Clone {
        let (mut at, mut left) = (0, rank);
        while let Some(block) = self.blocks.get(at).filter(|block| block.len() <= left) {
            left -= block.len();
            at += 1;
        }
        let (before, after) = self.blocks.split_at(at);
        let (head, tail) = after.split_first().map_or((&[][..], &[][..]), |(block, rest)| (&block[..], rest));
        let (head_before, head_after) = head.split_at(left.min(head.len()));
        head_after.iter().chain(tail.iter().flatten()).chain(before.iter().flatten()).chain(head_before)
    }

    /// All servers, from the first position on.
    pub fn into_places(self) -> impl Iterator<Item = Place> {
        self.blocks.into_iter().flatten()
    }

    /// The block that holds a position, or would.
    fn block_of(&self, position: u64) -> usize {
        let begins_by = |block: &Vec<Place>| block.first().is_some_and(|(first, _)| *first <= position);
        self.blocks.partition_point(begins_by).saturating_sub(1)
    }
}

fn find(block: &[Place], position: u64) -> Result<usize, usize> {
    block.binary_search_by_key(&position, |(at, _)| *at)
}
