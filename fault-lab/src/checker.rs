//! Judges a list service by what its clients saw, and by nothing else.

use std::collections::{BTreeMap, HashMap};

use shaletrail_registry_protocol::{List, State};

/// A change that was acknowledged: from this version on the id shows at least this number (its weight).
#[derive(Clone, Debug, PartialEq)]
pub struct Acknowledged {
    pub id: String,
    pub number: u64,
    pub version: u64,
}

/// All that one client was told, in order.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub who: String,
    pub lists: Vec<List>,
}

/// What the list was for a client: number and state by id.
type Picture = BTreeMap<String, (u64, bool)>;

/// Each breach in words; none where all held: no client's version went back, nobody missed a change, all saw one
/// order of changes, and no acknowledged change was lost.
pub fn check(seen: &[Seen], acknowledged: &[Acknowledged]) -> Vec<String> {
    let mut breaches = Vec::new();
    let mut pictures: HashMap<u64, (String, Picture)> = HashMap::new();
    let mut by_version: Vec<&Acknowledged> = acknowledged.iter().collect();
    by_version.sort_by_key(|change| change.version);
    for client in seen {
        let who = &client.who;
        let mut picture = Picture::new();
        let mut version = 0;
        let mut due: HashMap<&str, u64> = HashMap::new();
        let mut next = by_version.iter().peekable();
        for list in &client.lists {
            if list.version < version {
                breaches.push(format!("{who}: version {} after {version}", list.version));
            }
            version = list.version;
            if list.full {
                picture.clear();
            }
            for entry in &list.servers {
                if entry.state == State::Left {
                    picture.remove(&entry.id);
                } else {
                    let leaving = entry.state == State::Leaving;
                    picture.insert(entry.id.clone(), (entry.weight as u64, leaving));
                }
            }
            while let Some(change) = next.next_if(|change| change.version <= version) {
                let number = due.entry(&change.id).or_default();
                *number = change.number.max(*number);
            }
            for (id, number) in &due {
                let shown = picture.get(*id).map_or(0, |(shown, _)| *shown);
                if shown < *number {
                    breaches
                        .push(format!("{who}: at version {version} {id} shows {shown}, but {number} held"));
                }
            }
            // Who sees the same version sees the same list, by whatever changes it got there.
            match pictures.get(&version) {
                Some((other, pictured)) if *pictured != picture => {
                    breaches.push(format!("{who} and {other} see different lists at version {version}"));
                }
                Some(_) => {}
                None => {
                    pictures.insert(version, (who.clone(), picture.clone()));
                }
            }
        }
    }
    breaches
}

#[cfg(test)]
mod tests {
    use super::*;
    use shaletrail_registry_protocol::Entry;

    fn list(version: u64, full: bool, entries: &[(&str, u64)]) -> List {
        let entry = |(id, number): &(&str, u64)| Entry {
            id: (*id).into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            zone: String::new(),
            kind: String::new(),
            cell: 0,
            state: State::Active,
            weight: *number as f64,
            started_ms: 0,
        };
        List { version, full, servers: entries.iter().map(entry).collect() }
    }

    fn seen(who: &str, lists: Vec<List>) -> Seen {
        Seen { who: who.into(), lists }
    }

    fn acknowledged(id: &str, number: u64, version: u64) -> Acknowledged {
        Acknowledged { id: id.into(), number, version }
    }

    #[test]
    fn each_planted_breach_is_caught_and_a_clean_history_is_not() {
        let full = list(1, true, &[("a", 1)]);
        let clean = [
            seen("x", vec![full.clone(), list(2, false, &[("b", 1)]), list(3, false, &[("a", 2)])]),
            seen("y", vec![full.clone(), list(3, false, &[("a", 2), ("b", 1)])]),
        ];
        let acks = [acknowledged("a", 1, 1), acknowledged("b", 1, 2), acknowledged("a", 2, 3)];
        assert_eq!(check(&clean, &acks), Vec::<String>::new());
        let back = [seen("x", vec![list(2, true, &[("a", 1)]), list(1, true, &[("a", 1)])])];
        assert!(check(&back, &[])[0].contains("version 1 after 2"));
        let missed = [clean[0].clone(), seen("y", vec![full.clone(), list(3, false, &[("a", 2)])])];
        assert!(check(&missed, &[])[0].contains("different lists"));
        let lost = [seen("x", vec![full, list(3, false, &[])])];
        assert!(check(&lost, &acks).iter().any(|breach| breach.contains("a shows 1, but 2 held")));
        let order = [
            seen("x", vec![list(5, true, &[("a", 1), ("b", 2)])]),
            seen("y", vec![list(5, true, &[("a", 2), ("b", 1)])]),
        ];
        assert!(check(&order, &[])[0].contains("different lists"));
    }
}
