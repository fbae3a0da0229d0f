//! The slot array of RJ-CH (Chen, Coleman, Shrivastava, "Revisiting Consistent Hashing with Bounded Loads"):
//! members are hashed to points in an array of [`SLOTS`] slots, each slot belongs to the nearest point
//! clockwise, and a key tries the owners of h(key, 0), h(key, 1) and so on.
//!
//! Points depend on the members' names and sizes alone, not on any order, seed or platform, so that all nodes
//! compute the same owners.

/// Length m of the slot array: many times the points of a large fleet, so that few points collide.
pub const SLOTS: usize = 1 << 16;
/// Points of a member of size 1; the shares that members own vary by about 1/sqrt(128), 9 %.
pub const POINTS: f64 = 128.0;
/// Points examined at most in the search for one that takes a key.
pub const MAX_JUMPS: u64 = 32;
/// Attempts evaluated by [`SlotArray::sequence`]; members that own none of their slots follow in slot order.
pub const MAX_ATTEMPTS: u64 = 64;

/// The splitmix64 finaliser, written out so that every port computes the same owners.
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

/// Slot h(key, attempt) of the paper.
pub fn slot_of(key: Key, attempt: u64) -> usize {
    (mix(mix(key.0) ^ attempt.wrapping_mul(0xd6e8_feb8_6659_fd93)) % SLOTS as u64) as usize
}

/// A hashed key, as it is looked up in a [`SlotArray`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u64);

impl Key {
    /// The key of a single name.
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

/// The points of all members. Members are compared by `Eq`; their points follow from their names' hashes.
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
    /// Gives members points in proportion to their sizes, none at size 0; points of other members stay. Each
    /// entry is a member, the hash of its name ([`hash_of_name`]) and its size (usually 1.0).
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
        // The stable sort takes one merge where most points are sorted already.
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

    /// The owner of slot h(key, attempt): the member of the nearest point clockwise that takes the key.
    /// `takes` gets the member and the hash of its point; at most [`MAX_JUMPS`] points are examined.
    pub fn owner(&self, key: Key, attempt: u64, takes: impl Fn(&M, u32) -> bool) -> Option<&M> {
        self.clockwise(slot_of(key, attempt)).take(MAX_JUMPS as usize).find_map(|point| {
            self.members[usize::from(point.member)].as_ref().filter(|member| takes(member, point.hash))
        })
    }

    /// Distinct owners of h(key, 0), h(key, 1), ... in that order. After [`MAX_ATTEMPTS`] attempts, the other
    /// members follow in slot order from h(key, 0) on, so that each member occurs once.
    pub fn sequence(&self, key: Key) -> impl Iterator<Item = &M> {
        let mut seen = vec![false; self.members.len()];
        let owners =
            (0..MAX_ATTEMPTS).filter_map(move |attempt| self.clockwise(slot_of(key, attempt)).next());
        let indices = owners.chain(self.clockwise(slot_of(key, 0))).map(|point| usize::from(point.member));
        let distinct = indices.filter(move |&index| !std::mem::replace(&mut seen[index], true));
        distinct.take(self.len()).filter_map(|index| self.members[index].as_ref())
    }

    /// Number of members that have points.
    pub fn len(&self) -> usize {
        self.members.iter().flatten().count()
    }

    /// Whether no member has points.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// All points, each once, clockwise from a slot.
    fn clockwise(&self, slot: usize) -> impl Iterator<Item = &Point> {
        let (before, after) =
            self.points.split_at(self.points.partition_point(|p| usize::from(p.slot) < slot));
        after.iter().chain(before)
    }
}
