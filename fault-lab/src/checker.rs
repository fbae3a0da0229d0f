//! Checks the consistency of the registry's server list from client histories alone; the service's internal state is
//! not inspected.

use std::collections::{BTreeMap, HashMap};

use shaletrail_registry_protocol::{List, State};

/// A change that the registry acknowledged: from list version `version` on, the entry `id` must show at least
/// `number`, which is stored as its weight.
#[derive(Clone, Debug, PartialEq)]
pub struct Acknowledged {
    pub id: String,
    pub number: u64,
    pub version: u64,
}

/// Every list update that one client received, in order.
#[derive(Clone, Debug, Default)]
pub struct ClientHistory {
    /// Name of the client, for messages.
    pub name: String,
    pub lists: Vec<List>,
}

/// A client's view of the list: for each id, its number and whether the server is leaving.
type ListView = BTreeMap<String, (u64, bool)>;

/// Checks that no client's version decreased, that clients with the same version have the same list (no missed or
/// reordered change), and that no acknowledged change was lost. Returns a description of each violation.
pub fn check(seen: &[ClientHistory], acknowledged: &[Acknowledged]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut views: HashMap<u64, (String, ListView)> = HashMap::new();
    let mut by_version: Vec<&Acknowledged> = acknowledged.iter().collect();
    by_version.sort_by_key(|change| change.version);
    for client in seen {
        let name = &client.name;
        let mut view = ListView::new();
        let mut version = 0;
        let mut expected: HashMap<&str, u64> = HashMap::new();
        let mut next = by_version.iter().peekable();
        for list in &client.lists {
            if list.version < version {
                violations.push(format!("{name}: version {} after {version}", list.version));
            }
            version = list.version;
            if list.full {
                view.clear();
            }
            for entry in &list.servers {
                if entry.state == State::Left {
                    view.remove(&entry.id);
                } else {
                    let leaving = entry.state == State::Leaving;
                    view.insert(entry.id.clone(), (entry.weight as u64, leaving));
                }
            }
            while let Some(change) = next.next_if(|change| change.version <= version) {
                let number = expected.entry(&change.id).or_default();
                *number = change.number.max(*number);
            }
            for (id, number) in &expected {
                let shown = view.get(*id).map_or(0, |(shown, _)| *shown);
                if shown < *number {
                    violations
                        .push(format!("{name}: at version {version} {id} shows {shown}, but {number} held"));
                }
            }
            // Clients at the same version must have the same list, whichever updates they received on the way.
            match views.get(&version) {
                Some((other, other_view)) if *other_view != view => {
                    violations.push(format!("{name} and {other} see different lists at version {version}"));
                }
                Some(_) => {}
                None => {
                    views.insert(version, (name.clone(), view.clone()));
                }
            }
        }
    }
    violations
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

    fn seen(name: &str, lists: Vec<List>) -> ClientHistory {
        ClientHistory { name: name.into(), lists }
    }

    fn acknowledged(id: &str, number: u64, version: u64) -> Acknowledged {
        Acknowledged { id: id.into(), number, version }
    }

    #[test]
    fn each_injected_violation_is_reported_and_a_valid_history_is_not() {
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
