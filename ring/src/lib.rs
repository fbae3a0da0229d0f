//! The slot array of RJ-CH (Chen, Coleman, Shrivastava, "Revisiting Consistent Hashing with Bounded Loads"):
//! members are hashed into an array of [`SLOTS`] slots, each slot belongs to the nearest point clockwise, and
//! a key tries the owners of h(key, 0), h(key, 1) and so on.
//!
//! Where points lie depends on the members' names and sizes alone, not on any order, seed or platform, so
//! that all nodes compute the same owners.

/// Length m of the slot array: many times the points of a large fleet, so that few points collide.
pub const SLOTS: usize = 1 << 16;
/// Points of a member of size 1; shares vary by about 1/sqrt(128), 9 %.
pub const POINTS: f64 = 128.0;
/// Points passed over at most in the search for one that takes a key.
pub const MAX_JUMPS: u64 = 32;
/// Attempts of [`SlotArray::sequence`]; members that own none of these slots follow in slot order.
pub const MAX_ATTEMPTS: u64 = 64;

/// The splitmix64 finaliser, written out so that every port computes the same homes.
pub fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hash of a member's name, as [`SlotArray::update`] takes it.
pub fn hash_of_name(name: &str) -> u64 {
    fold(0, name)
}

fn fold(start: u64, text: &str) -> u64 {
    text.bytes().fold(start, |hash, byte| mix(hash ^ u64::from(byte)))
}

/// h(key, attempt) of the paper.
pub fn slot_of(key: Key, attempt: u64) -> usize {
    (mix(mix(key.0) ^ attempt.wrapping_mul(0xd6e8_feb8_6659_fd93)) % SLOTS as u64) as usize
}

/// What is looked up in a [`SlotArray`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The key of a name.
    pub fn of(name: &str) -> Key {
        Key(hash_of_name(name))
    }

    /// The key of several names in order. Boundaries count: `["ab", "c"]` and `["a", "bc"]` differ.
    pub fn of_parts(parts: &[&str]) -> Key {
        Key(parts.iter().fold(0, |hash, part| mix(fold(hash, part) ^ part.len() as u64)))
    }
}

/// A point of a member. Ordered by slot, then hash: where two points collide the smaller hash comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    slot: u16,
    hash: u32,
    member: u16,
}

/// The slot array. Members are compared by `Eq`; their points lie by the hashes of their names.
#[derive(Clone, Debug)]
pub struct SlotArray<M> {
    points: Vec<Point>,
    members: Vec<Option<M>>,
}

impl<M> Default for SlotArray<M> {
    fn default() -> Self {
        SlotArray { points: Vec::new(), members: Vec::new() }
    }
}

impl<M: Clone + Eq> SlotArray<M> {
    /// Gives members as many points as go with their sizes; at size 0 none. The others' points stay. Each
    /// entry is a member, the hash of its name ([`hash_of_name`]) and its size (1.0 is the usual one).
    pub fn update(&mut self, sizes: &[(M, u64, f64)]) {
        self.remove(sizes);
        let mut free = 0;
        for (member, name, size) in sizes.iter().filter(|(_, _, size)| *size > 0.0) {
            free += self.members[free..].iter().take_while(|member| member.is_some()).count();
            if free == self.members.len() {
                self.members.push(None);
            }
            self.members[free] = Some(member.clone());
            let count = (POINTS * size).round().max(1.0) as u64;
            self.points.extend((0..count).map(|point| {
                let hash = mix(name ^ mix(point));
                let slot = (hash % SLOTS as u64) as u16;
                Point { slot, hash: (hash >> 32) as u32, member: free as u16 }
            }));
        }
        // Stable, as what is sorted already then costs one merge only.
        self.points.sort();
    }

    fn remove(&mut self, sizes: &[(M, u64, f64)]) {
        let mut stays = vec![true; self.members.len()];
        for (stay, member) in stays.iter_mut().zip(&mut self.members) {
            if member.as_ref().is_some_and(|member| sizes.iter().any(|(changed, _, _)| changed == member)) {
                (*member, *stay) = (None, false);
            }
        }
        self.points.retain(|point| stays[usize::from(point.member)]);
    }

    /// The owner of slot h(key, attempt): that of the nearest point clockwise that takes the key. `takes` is
    /// given the member and the hash of its point; at most [`MAX_JUMPS`] points are asked.
    pub fn owner(&self, key: Key, attempt: u64, takes: impl Fn(&M, u32) -> bool) -> Option<&M> {
        self.clockwise(slot_of(key, attempt)).take(MAX_JUMPS as usize).find_map(|point| {
            self.members[usize::from(point.member)].as_ref().filter(|member| takes(member, point.hash))
        })
    }

    /// Distinct owners of h(key, 0), h(key, 1), ..., each once, in that order. After [`MAX_ATTEMPTS`]
    /// attempts, members that are left follow in slot order from h(key, 0) on, so that all come in the end.
    pub fn sequence(&self, key: Key) -> impl Iterator<Item = &M> {
        let mut seen = vec![false; self.members.len()];
        let owners =
            (0..MAX_ATTEMPTS).filter_map(move |attempt| self.clockwise(slot_of(key, attempt)).next());
        let indices = owners.chain(self.clockwise(slot_of(key, 0))).map(|point| usize::from(point.member));
        let distinct = indices.filter(move |&index| !std::mem::replace(&mut seen[index], true));
        distinct.take(self.len()).filter_map(|index| self.members[index].as_ref())
    }

    /// Members that have points.
    pub fn len(&self) -> usize {
        self.members.iter().flatten().count()
    }

    /// Whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All points, each once, clockwise from a slot on.
    fn clockwise(&self, slot: usize) -> impl Iterator<Item = &Point> {
        let (before, after) =
            self.points.split_at(self.points.partition_point(|p| usize::from(p.slot) < slot));
        after.iter().chain(before)
    }
}
