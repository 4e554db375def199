//! A ring of ready servers in the order of their ring positions: single entries can be changed, and all can
//! be read in order beginning at any rank.

use super::compact_server::CompactEntry;

/// A server's ring position and its entry.
type Slot = (u64, CompactEntry);

/// The most servers in a block: a longer one is split in two. An insertion or removal moves the entries after
/// it in its block, 20 kB at most. Finding a rank walks over the blocks, some two hundred at 52,000 servers.
const MAX_BLOCK_SERVERS: usize = 512;

/// Servers in ascending order of ring position, in blocks of which none is empty.
#[derive(Default)]
pub struct Ring {
    blocks: Vec<Vec<Slot>>,
    length: usize,
}

impl Ring {
    /// The number of servers.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The server at a position.
    pub fn get(&self, position: u64) -> Option<&CompactEntry> {
        let block = self.blocks.get(self.block_of(position))?;
        let index = find(block, position).ok()?;
        Some(&block[index].1)
    }

    /// The server at a position, mutably.
    pub fn get_mut(&mut self, position: u64) -> Option<&mut CompactEntry> {
        let block_index = self.block_of(position);
        let block = self.blocks.get_mut(block_index)?;
        let index = find(block, position).ok()?;
        Some(&mut block[index].1)
    }

    /// Inserts a server at its position, or replaces its entry.
    pub fn insert(&mut self, position: u64, entry: CompactEntry) {
        if self.blocks.is_empty() {
            self.blocks.push(Vec::new());
        }
        let block_index = self.block_of(position);
        let block = &mut self.blocks[block_index];
        match find(block, position) {
            Ok(index) => block[index].1 = entry,
            Err(index) => {
                block.insert(index, (position, entry));
                self.length += 1;
            }
        }
        if block.len() > MAX_BLOCK_SERVERS {
            let second_half = block.split_off(MAX_BLOCK_SERVERS / 2);
            block.shrink_to(MAX_BLOCK_SERVERS);
            self.blocks.insert(block_index + 1, second_half);
        }
    }

    /// Removes the server at a position, if there is one.
    pub fn remove(&mut self, position: u64) -> Option<CompactEntry> {
        let block_index = self.block_of(position);
        let block = self.blocks.get_mut(block_index)?;
        let index = find(block, position).ok()?;
        let (_, entry) = block.remove(index);
        self.length -= 1;
        if block.is_empty() {
            self.blocks.remove(block_index);
        }
        Some(entry)
    }

    /// All servers in order, beginning at a rank and wrapping around at the end.
    pub fn iter_from_rank(&self, rank: usize) -> impl Iterator<Item = &Slot> + Clone {
        let (mut block_index, mut offset) = (0, rank);
        while let Some(block) = self.blocks.get(block_index).filter(|block| block.len() <= offset) {
            offset -= block.len();
            block_index += 1;
        }
        let (before, after) = self.blocks.split_at(block_index);
        let (head, tail) = after.split_first().map_or((&[][..], &[][..]), |(block, rest)| (&block[..], rest));
        let (head_before, head_after) = head.split_at(offset.min(head.len()));
        head_after.iter().chain(tail.iter().flatten()).chain(before.iter().flatten()).chain(head_before)
    }

    /// All servers in order of position.
    pub fn into_slots(self) -> impl Iterator<Item = Slot> {
        self.blocks.into_iter().flatten()
    }

    /// The index of the block that holds a position, or into which it would be inserted.
    fn block_of(&self, position: u64) -> usize {
        let starts_by = |block: &Vec<Slot>| block.first().is_some_and(|(first, _)| *first <= position);
        self.blocks.partition_point(starts_by).saturating_sub(1)
    }
}

/// The index of a position in a block, or the one at which it would be inserted.
fn find(block: &[Slot], position: u64) -> Result<usize, usize> {
    block.binary_search_by_key(&position, |(slot_position, _)| *slot_position)
}
