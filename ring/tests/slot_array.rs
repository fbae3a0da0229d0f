//! Tests of owners and sequences of the slot array.

use std::collections::BTreeSet;

use shaletrail_ring::{hash_of_name, mix, slot_of, Key, SlotArray};

fn address(index: usize) -> String {
    format!("10.0.0.{index}:8080")
}

fn sized(members: &[(usize, f64)]) -> Vec<(String, u64, f64)> {
    let entry = |&(index, size): &(usize, f64)| (address(index), hash_of_name(&address(index)), size);
    members.iter().map(entry).collect()
}

fn ring(members: impl IntoIterator<Item = usize>) -> SlotArray<String> {
    let members: Vec<_> = members.into_iter().map(|index| (index, 1.0)).collect();
    let mut ring = SlotArray::default();
    ring.update(&sized(&members));
    ring
}

fn takes_all(_: &String, _: u32) -> bool {
    true
}

fn owners(ring: &SlotArray<String>, keys: std::ops::Range<u64>) -> Vec<Option<String>> {
    keys.map(|key| ring.owner(Key(key), 0, takes_all).cloned()).collect()
}

/// Reference implementation of the owner by a linear search.
fn reference_owner(members: &[usize], key: Key, attempt: u64) -> String {
    let mut points = Vec::new();
    for &index in members {
        let name = address(index);
        let name_hash = name.bytes().fold(0u64, |hash, byte| mix(hash ^ u64::from(byte)));
        points.extend((0..128).map(|number| {
            let hash = mix(name_hash ^ mix(number));
            (hash % 65536, (hash >> 32) as u32, name.clone())
        }));
    }
    points.sort();
    let slot = mix(mix(key.0) ^ attempt.wrapping_mul(0xd6e8_feb8_6659_fd93)) % 65536;
    points.iter().find(|point| point.0 >= slot).unwrap_or(&points[0]).2.clone()
}

#[test]
fn owners_are_the_pinned_ones() {
    let ring = ring(1..=5);
    let table: Vec<String> = (0..6)
        .map(|key| {
            let row: Vec<_> =
                (0..4).filter_map(|attempt| ring.owner(Key(key), attempt, takes_all)).cloned().collect();
            format!("{key}: {}", row.join(" "))
        })
        .collect();
    insta::assert_snapshot!(table.join("
"), @r"
    0: 10.0.0.1:8080 10.0.0.4:8080 10.0.0.2:8080 10.0.0.5:8080
    1: 10.0.0.2:8080 10.0.0.3:8080 10.0.0.3:8080 10.0.0.1:8080
    2: 10.0.0.3:8080 10.0.0.2:8080 10.0.0.4:8080 10.0.0.4:8080
    3: 10.0.0.3:8080 10.0.0.4:8080 10.0.0.4:8080 10.0.0.4:8080
    4: 10.0.0.4:8080 10.0.0.5:8080 10.0.0.4:8080 10.0.0.1:8080
    5: 10.0.0.3:8080 10.0.0.1:8080 10.0.0.5:8080 10.0.0.1:8080
    ");
}

#[test]
fn keys_are_the_pinned_ones_and_respect_boundaries() {
    let keys =
        [Key::of("m1"), Key::of_parts(&["m1", "a1"]), Key::of_parts(&["m", "1a1"]), Key::of_parts(&[])];
    insta::assert_snapshot!(format!("{keys:?}"), @"[Key(6991348797402220350), Key(2734906982435464236), Key(49754880635289226), Key(0)]");
    assert_eq!(keys.iter().collect::<BTreeSet<_>>().len(), keys.len());
    assert_eq!((slot_of(Key(7), 0), slot_of(Key(7), 1)), (52805, 17172));
}

#[test]
fn nearest_point_clockwise_owns_a_slot() {
    let members: Vec<usize> = (1..=9).collect();
    let ring = ring(members.clone());
    for key in 0..200 {
        for attempt in 0..3 {
            let expected = reference_owner(&members, Key(key), attempt);
            assert_eq!(ring.owner(Key(key), attempt, takes_all), Some(&expected));
        }
    }
}

#[test]
fn owners_do_not_depend_on_the_order_of_updates() {
    let together = ring(1..=20);
    let mut apart = SlotArray::default();
    for index in (1..=20).rev() {
        apart.update(&sized(&[(index, 1.0)]));
    }
    assert_eq!(owners(&together, 0..2000), owners(&apart, 0..2000));
}

#[test]
fn only_keys_of_a_removed_member_move() {
    let mut ring = ring(1..=10);
    let before = owners(&ring, 0..2000);
    let removed = address(4);
    ring.update(&sized(&[(4, 0.0)]));
    for (old, new) in before.iter().zip(owners(&ring, 0..2000)) {
        assert_ne!(new.as_ref(), Some(&removed));
        assert!(*old == new || old.as_ref() == Some(&removed));
    }
    ring.update(&sized(&[(4, 1.0)]));
    assert_eq!(owners(&ring, 0..2000), before);
}

#[test]
fn member_of_double_size_owns_twice_as_many_keys() {
    let mut ring = SlotArray::default();
    ring.update(&sized(&[(1, 1.0), (2, 2.0), (3, 1.0)]));
    let owned = owners(&ring, 0..10_000).into_iter().flatten().filter(|owner| *owner == address(2)).count();
    assert!((4000..6000).contains(&owned), "{owned} of 10000");
}

#[test]
fn lookup_skips_members_that_do_not_take_the_key() {
    let ring = ring(1..=5);
    for key in 0..200 {
        let first = ring.owner(Key(key), 0, takes_all).cloned();
        let second = ring.owner(Key(key), 0, |member, _| Some(member) != first.as_ref());
        assert!(second.is_some() && second != first.as_ref());
    }
    assert_eq!(ring.owner(Key(1), 0, |_, _| false), None);
}

#[test]
fn sequence_begins_with_the_owners_and_holds_each_member_once() {
    let ring = ring(1..=90);
    for key in (0..50).map(Key) {
        let sequence: Vec<_> = ring.sequence(key).collect();
        let distinct: BTreeSet<_> = sequence.iter().collect();
        assert_eq!((sequence.len(), distinct.len()), (90, 90));
        let mut expected = Vec::new();
        for attempt in 0..8 {
            let owner = ring.owner(key, attempt, takes_all).unwrap();
            if !expected.contains(&owner) {
                expected.push(owner);
            }
        }
        assert_eq!(sequence[..expected.len()], expected);
    }
}

#[test]
fn removing_the_second_member_keeps_the_first() {
    let ring = ring(1..=12);
    for key in (0..50).map(Key) {
        let before: Vec<String> = ring.sequence(key).take(2).cloned().collect();
        let mut smaller = ring.clone();
        smaller.update(&[(before[1].clone(), hash_of_name(&before[1]), 0.0)]);
        let after: Vec<String> = smaller.sequence(key).cloned().collect();
        assert_eq!((after.len(), &after[0]), (11, &before[0]));
        assert!(!after.contains(&before[1]));
    }
}

#[test]
fn empty_array_has_no_owner() {
    let mut ring: SlotArray<String> = SlotArray::default();
    assert_eq!(ring.owner(Key(1), 0, takes_all), None);
    assert_eq!(ring.sequence(Key(1)).next(), None);
    ring.update(&sized(&[(1, 0.0)]));
    assert!(ring.is_empty());
}
