//! What must hold in every state, by what was seen on the way there.

use std::collections::{BTreeMap, BTreeSet};

use shaletrail_consensus::{Index, Term};
use shaletrail_coordinator::core::orders::ORDER_SEND_TIMEOUT;
use shaletrail_protocol::{Millis, NodeId};

use crate::machine::{Fact, ORDER_LEASE};
use crate::scenes::change;

/// An entry that some replica has applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Committed {
    term: Term,
    payload: u64,
    /// The state after it.
    state: u64,
}

/// A turn that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SeenTurn {
    node: NodeId,
    allowed_from: Millis,
    /// Until when orders may have been written; 0 before any.
    until: Millis,
}

/// Remembers what was seen, and finds what contradicts it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Judge {
    committed: BTreeMap<Index, Committed>,
    leaders: BTreeMap<Term, NodeId>,
    /// The newest index that an operator was told of, by an acknowledgement or a read.
    told: Index,
    /// Reads that are out, with `told` as it was when they were asked for.
    reads: BTreeMap<u64, Index>,
    /// Changes in force at some time, with the entry that brought them.
    taken: BTreeMap<usize, Index>,
    acknowledged: BTreeSet<usize>,
    /// Changes that an operator was told are not taken, with the entry that was judged.
    refused: BTreeMap<usize, Index>,
    turns: BTreeMap<u64, SeenTurn>,
}

/// What is broken, in words.
pub(crate) type Broken = String;

impl Judge {
    /// A read is asked for.
    pub(crate) fn asks(&mut self, token: u64) {
        self.reads.insert(token, self.told);
    }

    /// Something is seen of a node.
    pub(crate) fn sees(&mut self, node: NodeId, fact: &Fact) -> Result<(), Broken> {
        match fact {
            Fact::Elected { term, covered, log } => {
                let leader = *self.leaders.entry(*term).or_insert(node);
                holds(leader == node, || format!("two leaders in term {term}: {leader} and {node}"))?;
                let has = |index: Index, term: Term| {
                    index <= *covered || log.iter().any(|held| (held.index, held.term) == (index, term))
                };
                let lost = self.committed.iter().find(|(index, entry)| !has(**index, entry.term));
                holds(lost.is_none(), || {
                    format!("{node} leads term {term} without the committed entry {lost:?}")
                })
            }
            Fact::Applied { position, payload, state } => {
                let seen = Committed { term: position.term, payload: *payload, state: *state };
                let known = *self.committed.entry(position.index).or_insert(seen);
                let index = position.index;
                holds(known == seen, || format!("{node} applies {seen:?} at {index}, others {known:?}"))
            }
            Fact::Installed { index, state } => {
                let known = self.committed.get(index).map(|entry| entry.state);
                holds(known == Some(*state), || format!("{node} takes over another state at {index}"))
            }
            Fact::Judged { index, change, taken, refused } => self.judged(*index, *change, *taken, *refused),
            Fact::Answered { index, change, acknowledged } => self.answered(*index, *change, *acknowledged),
            Fact::Read { token, index } => {
                let least = self.reads.remove(token).unwrap_or_default();
                self.told = self.told.max(*index);
                holds(*index >= least, || format!("{node} answers a read at {index}, {least} was told"))
            }
            Fact::Turn { fence, allowed_from } => {
                let turn = SeenTurn { node, allowed_from: *allowed_from, until: 0 };
                self.turns.insert(*fence, turn);
                self.check_turns()
            }
            Fact::Orders { fence, until } => {
                if let Some(turn) = self.turns.get_mut(fence) {
                    turn.until = turn.until.max(*until);
                }
                self.check_turns()
            }
            Fact::Stopped { fence, at } => {
                if let Some(turn) = self.turns.get_mut(fence) {
                    turn.until = turn.until.min(*at);
                }
                Ok(())
            }
        }
    }

    fn judged(&mut self, index: Index, number: usize, taken: bool, refused: bool) -> Result<(), Broken> {
        let before = self.taken.get(&number).is_some_and(|taken| *taken < index);
        holds(!(refused && before), || format!("change {number}, in force, is refused at {index}"))?;
        if !taken {
            return Ok(());
        }
        let change = change(number);
        for other in self.taken.keys().filter(|other| **other != number) {
            let other_change = crate::scenes::change(*other);
            let apart = other_change.version() != change.version()
                && other_change.base_version() != change.base_version();
            holds(apart, || format!("changes {other} and {number} are both taken under one number"))?;
        }
        self.taken.insert(number, index);
        self.check_refused(number)
    }

    fn answered(&mut self, index: Index, number: usize, acknowledged: bool) -> Result<(), Broken> {
        if acknowledged {
            self.told = self.told.max(index);
            self.acknowledged.insert(number);
            return holds(self.taken.contains_key(&number), || {
                format!("change {number} is acknowledged and not taken")
            });
        }
        self.refused.insert(number, index);
        self.check_refused(number)
    }

    /// What was refused is not in force, and what is built on the first version never will be.
    fn check_refused(&self, number: usize) -> Result<(), Broken> {
        let (Some(refused), Some(taken)) = (self.refused.get(&number), self.taken.get(&number)) else {
            return Ok(());
        };
        holds(taken > refused && change(number).base_version() > 0, || {
            format!("change {number} was refused and is in force")
        })
    }

    /// Orders of different holders lie a lease apart, even where one leaves its sender as late as it may.
    fn check_turns(&self) -> Result<(), Broken> {
        for (fence, turn) in &self.turns {
            for (later_fence, later) in self.turns.range(fence + 1..) {
                let apart = turn.node == later.node
                    || turn.until + ORDER_SEND_TIMEOUT + ORDER_LEASE <= later.allowed_from;
                holds(apart || turn.until == 0, || {
                    format!(
                        "{} may order until {} by fence {fence}, {} from {} on by {later_fence}",
                        turn.node, turn.until, later.node, later.allowed_from
                    )
                })?;
            }
        }
        Ok(())
    }
}

pub(crate) fn holds(condition: bool, message: impl Fn() -> String) -> Result<(), Broken> {
    if condition {
        Ok(())
    } else {
        Err(message())
    }
}
