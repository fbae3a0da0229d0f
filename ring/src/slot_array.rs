//! The slot array: points of the members, and the owners of slots.

use crate::hash::mix;
use crate::{slot_of, Key, MAX_ATTEMPTS, MAX_JUMPS, POINTS, SLOTS};

/// A point of a member. Ordered by slot, then hash: if two points collide, the one with the smaller hash comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    slot: u16,
    hash: u32,
    /// Index in [`SlotArray::members`].
    member: u16,
}

impl Point {
    /// Point number `number` of the member at `member`, whose name has the hash `name_hash`.
    fn new(name_hash: u64, number: u64, member: usize) -> Self {
        let hash = mix(name_hash ^ mix(number));
        let slot = (hash % SLOTS as u64) as u16;
        Point { slot, hash: (hash >> 32) as u32, member: member as u16 }
    }
}

/// The slot array. Members are compared by `Eq`; their points lie by the hashes of their names.
#[derive(Clone, Debug)]
pub struct SlotArray<M> {
    /// Sorted.
    points: Vec<Point>,
    /// `None` where a member was removed: the index is reused, so that the others' points stay valid.
    members: Vec<Option<M>>,
}

impl<M> Default for SlotArray<M> {
    fn default() -> Self {
        SlotArray { points: Vec::new(), members: Vec::new() }
    }
}

impl<M: Clone + Eq> SlotArray<M> {
    /// Gives each member the number of points that its size stands for, at least one; at size 0 none. The points of
    /// all other members stay. An entry is a member, the hash of its name ([`hash_of_name`](crate::hash_of_name)) and
    /// its size (1.0 is the usual one).
    pub fn update(&mut self, sizes: &[(M, u64, f64)]) {
        self.remove(sizes);
        let mut index = 0;
        for (member, name_hash, size) in sizes.iter().filter(|(_, _, size)| *size > 0.0) {
            index = self.first_free_index(index);
            self.members[index] = Some(member.clone());
            let count = (POINTS * size).round().max(1.0) as u64;
            self.points.extend((0..count).map(|number| Point::new(*name_hash, number, index)));
        }
        // Stable, since sorting what is mostly sorted then costs a single merge.
        self.points.sort();
    }

    /// The first index from `start` on that no member has; adds one if there is none.
    fn first_free_index(&mut self, start: usize) -> usize {
        let index = start + self.members[start..].iter().take_while(|member| member.is_some()).count();
        if index == self.members.len() {
            self.members.push(None);
        }
        index
    }

    /// Removes the members of `sizes` and their points.
    fn remove(&mut self, sizes: &[(M, u64, f64)]) {
        let mut is_retained = vec![true; self.members.len()];
        for (is_retained, slot) in is_retained.iter_mut().zip(&mut self.members) {
            if slot.as_ref().is_some_and(|member| sizes.iter().any(|(removed, _, _)| removed == member)) {
                (*slot, *is_retained) = (None, false);
            }
        }
        self.points.retain(|point| is_retained[usize::from(point.member)]);
    }

    /// The owner of slot h(key, attempt): that of the nearest point clockwise that takes the key. `takes` is
    /// given the member and the hash of its point; it is called for at most [`MAX_JUMPS`] points.
    pub fn owner(&self, key: Key, attempt: u64, takes: impl Fn(&M, u32) -> bool) -> Option<&M> {
        self.clockwise(slot_of(key, attempt)).take(MAX_JUMPS as usize).find_map(|point| {
            self.members[usize::from(point.member)].as_ref().filter(|member| takes(member, point.hash))
        })
    }

    /// Distinct owners of h(key, 0), h(key, 1), ..., each once, in that order. After [`MAX_ATTEMPTS`]
    /// attempts the other members follow in slot order from h(key, 0) on, so that the sequence holds all members.
    pub fn sequence(&self, key: Key) -> impl Iterator<Item = &M> {
        let mut is_seen = vec![false; self.members.len()];
        let owners =
            (0..MAX_ATTEMPTS).filter_map(move |attempt| self.clockwise(slot_of(key, attempt)).next());
        let indices = owners.chain(self.clockwise(slot_of(key, 0))).map(|point| usize::from(point.member));
        let distinct = indices.filter(move |&index| !std::mem::replace(&mut is_seen[index], true));
        distinct.take(self.len()).filter_map(|index| self.members[index].as_ref())
    }

    /// Number of members that have points.
    pub fn len(&self) -> usize {
        self.members.iter().flatten().count()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All points, each once, clockwise from a slot on.
    fn clockwise(&self, slot: usize) -> impl Iterator<Item = &Point> {
        let first = self.points.partition_point(|point| usize::from(point.slot) < slot);
        let (before, after) = self.points.split_at(first);
        after.iter().chain(before)
    }
}
