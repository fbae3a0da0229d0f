//! Model checking of the real code of duties ([`Duties`], [`DutyLeases`], [`LeaseState`]). The first candidate's
//! renewals and answers may be lost, delayed or reordered, its clock may run slow, and it may pause anywhere.
//! Leaders follow each other, and former leaders still answer; proposals are committed late or never.
//!
//! The second candidate is the worst case: it believes that it holds the duty, and acts, from the moment of
//! the grant. This covers whatever a slower candidate could do.

use std::collections::BTreeSet;
use std::time::Duration;

use shaletrail_registry::duties::{Duties, DutyCommand, DutyLeases, DutyRenewal};
use shaletrail_registry_client::fences::FenceTable;
use shaletrail_registry_client::lease::LeaseState;
use shaletrail_registry_protocol::duty::{Candidate, CandidateStatus, Fence, HandoverReason};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// A lease in ticks. The holder's clock loses up to one tick in a lease; the margin is one tick.
const LEASE: u64 = 5;
const NAME: &str = "d";
/// Renewals and answers in flight at once. More only make the check longer.
const MESSAGES: usize = 2;

fn ticks(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn who(n: usize) -> Candidate {
    Candidate { id: format!("c{n}"), incarnation: 0 }
}

/// The parts to check: the program as it is, or without one of its protections.
#[derive(Clone, Copy)]
struct Protections {
    margin: u64,
    /// The guarded resource rejects old fencing numbers.
    check_fence: bool,
    /// A renewal is answered only by a leader that a majority confirms.
    confirm_leader: bool,
    /// A candidate whose expiry was proposed gets no answer that would extend its belief.
    withhold_lapsing: bool,
    /// The number of ticks, and of leader changes among them.
    max_ticks: u64,
    leader_changes: usize,
}

const ALL: Protections = Protections {
    margin: 1,
    check_fence: true,
    confirm_leader: true,
    withhold_lapsing: true,
    max_ticks: 6,
    leader_changes: 1,
};

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Renewal { sent: u64, term: usize, joined: bool },
    Answer { sent: u64, fence: Option<u64> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    duties: Duties,
    /// The leases of each leader so far. The last one leads; the former ones may not know that.
    terms: Vec<DutyLeases>,
    /// An expiry that the last leader has proposed.
    proposed: Option<DutyCommand>,
    clock: u64,
    last_slip: Option<u64>,
    tenure: LeaseState,
    joined: bool,
    sent: bool,
    released: bool,
    messages: BTreeSet<Message>,
    /// A change by the first candidate: the fencing number that it read while it believed, until the change
    /// arrives; 0 afterwards.
    change: Option<u64>,
    book: FenceTable,
    accepted: u64,
    out_of_order: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time advances; the first candidate's clock advances only if set.
    Tick(bool),
    Send(usize),
    Deliver(Message),
    Lose(Message),
    CheckLeases,
    Commit,
    /// Another replica becomes the leader. A pending proposal is committed only if set.
    ChangeLeader(bool),
    StartChange,
    ChangeArrives,
    SecondChanges,
    Release,
}

impl World {
    fn begin(margin: u64) -> World {
        let mut duties = Duties::default();
        let second =
            DutyCommand::Acquire { name: NAME.into(), who: who(1), lease: ticks(100 * LEASE), at_ms: 0 };
        duties.apply(acquire(0));
        duties.apply(second);
        World {
            now: 0,
            duties,
            terms: vec![DutyLeases::new(ticks(0))],
            proposed: None,
            clock: 0,
            last_slip: None,
            tenure: LeaseState::with_margin(ticks(LEASE), ticks(margin)),
            joined: false,
            sent: false,
            released: false,
            messages: BTreeSet::new(),
            change: None,
            book: FenceTable::default(),
            accepted: 0,
            out_of_order: false,
        }
    }

    fn believes(&self) -> Option<u64> {
        self.tenure.holds(ticks(self.clock))
    }

    fn second_holds(&self) -> Option<u64> {
        self.duties.status(NAME, &who(1)).filter(|status| status.holds).map(|status| status.fence)
    }

    fn accept(&mut self, fence: u64, check_fence: bool) {
        let admitted = self.book.admit(&Fence { duty: NAME.into(), fence }).is_ok();
        if admitted || !check_fence {
            self.out_of_order |= fence < self.accepted;
            self.accepted = self.accepted.max(fence);
        }
    }

    fn check_leases(&mut self) -> Option<DutyCommand> {
        let now = ticks(self.now);
        let lapsed = self.terms.last_mut()?.take_expired(&self.duties, now);
        (!lapsed.is_empty()).then_some(DutyCommand::Lapse { lapsed, at_ms: 0 })
    }
}

fn acquire(n: usize) -> DutyCommand {
    DutyCommand::Acquire { name: NAME.into(), who: who(n), lease: ticks(LEASE), at_ms: 0 }
}

fn status(fence: u64) -> CandidateStatus {
    CandidateStatus {
        holds: true,
        fence,
        release_requested: false,
        candidates_ahead: 0,
        checkpoint_version: 0,
        direct: true,
    }
}

impl Protections {
    fn deliver(&self, world: &mut World, message: &Message) {
        match message {
            Message::Renewal { sent, term, joined } => {
                let leads = term + 1 == world.terms.len();
                if !joined {
                    // A request to join needs a majority, which a former leader does not have.
                    if !leads {
                        return;
                    }
                    // A pending proposal is ahead of this command in the log.
                    if let Some(command) = world.proposed.take() {
                        world.duties.apply(command);
                    }
                    world.duties.apply(acquire(0));
                }
                let renewal = world.terms[*term].renew(NAME, &who(0), &world.duties, ticks(world.now));
                if renewal == DutyRenewal::Lapsing && self.withhold_lapsing || !leads && self.confirm_leader {
                    return;
                }
                let status = world.duties.status(NAME, &who(0));
                let fence = status.filter(|status| status.holds).map(|status| status.fence);
                world.messages.insert(Message::Answer { sent: *sent, fence });
            }
            Message::Answer { sent, fence } => {
                world.joined = fence.is_some();
                let status = fence.map(status);
                world.tenure.answer_received(ticks(*sent), status.as_ref(), ticks(world.clock));
            }
        }
    }
}

impl Model for Protections {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World::begin(self.margin)]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        for message in &world.messages {
            steps.extend([Step::Deliver(message.clone()), Step::Lose(message.clone())]);
        }
        if !world.sent && !world.released && world.messages.len() < MESSAGES {
            // A former leader that does not answer is the same as a lost message.
            let first = if self.confirm_leader { world.terms.len() - 1 } else { 0 };
            steps.extend((first..world.terms.len()).map(Step::Send));
        }
        if world.proposed.is_some() {
            steps.push(Step::Commit);
        } else if world.clone().check_leases().is_some() {
            steps.push(Step::CheckLeases);
        }
        if world.terms.len() <= self.leader_changes {
            steps.push(Step::ChangeLeader(false));
            if world.proposed.is_some() {
                steps.push(Step::ChangeLeader(true));
            }
        }
        if world.believes().is_some() {
            if world.change.is_none() {
                steps.push(Step::StartChange);
            }
            steps.push(Step::Release);
        }
        if world.change.is_some_and(|fence| fence > 0) {
            steps.push(Step::ChangeArrives);
        }
        if world.second_holds().is_some_and(|fence| fence > world.accepted) {
            steps.push(Step::SecondChanges);
        }
        if world.now < self.max_ticks {
            steps.push(Step::Tick(true));
            if world.last_slip.is_none_or(|at| world.now >= at + LEASE) {
                steps.push(Step::Tick(false));
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick(clock_too) => {
                world.now += 1;
                world.sent = false;
                if clock_too {
                    world.clock += 1;
                } else {
                    world.last_slip = Some(world.now - 1);
                }
                // Messages this old can't extend a belief any more.
                let clock = world.clock;
                world.messages.retain(|message| match message {
                    Message::Renewal { sent, .. } | Message::Answer { sent, .. } => clock < sent + LEASE,
                });
            }
            Step::Send(term) => {
                world.sent = true;
                world.messages.insert(Message::Renewal { sent: world.clock, term, joined: world.joined });
            }
            Step::Lose(message) => _ = world.messages.remove(&message),
            Step::Deliver(message) => {
                world.messages.remove(&message);
                self.deliver(&mut world, &message);
            }
            Step::CheckLeases => world.proposed = world.check_leases(),
            Step::Commit => _ = world.duties.apply(world.proposed.take()?),
            Step::ChangeLeader(committed) => {
                if let Some(command) = world.proposed.take().filter(|_| committed) {
                    world.duties.apply(command);
                }
                world.terms.push(DutyLeases::new(ticks(world.now)));
            }
            Step::StartChange => world.change = world.believes(),
            Step::ChangeArrives => {
                let fence = world.change.replace(0)?;
                world.accept(fence, self.check_fence);
            }
            Step::SecondChanges => world.accept(world.second_holds()?, self.check_fence),
            Step::Release => {
                // The candidate has stopped. Its next candidacy is a new incarnation.
                world.released = true;
                world.tenure = LeaseState::with_margin(ticks(LEASE), ticks(self.margin));
                world.messages.retain(|message| matches!(message, Message::Renewal { .. }));
                world.duties.apply(DutyCommand::Release {
                    name: NAME.into(),
                    who: who(0),
                    why: HandoverReason::Released,
                    at_ms: 0,
                });
            }
        }
        if world.released {
            world.messages.retain(|message| matches!(message, Message::Renewal { .. }));
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ORDER, |_, world: &World| !world.out_of_order),
            Property::always(ONE, |_, world: &World| {
                world.believes().is_none() || world.second_holds().is_none()
            }),
            // These states must be reachable, so that the check covers both kinds of handover.
            Property::sometimes("handed over after an expired lease", |_, world: &World| {
                !world.released && world.second_holds().is_some()
            }),
            Property::sometimes("a former holder's change arrives late", |_, world: &World| {
                world.accepted > 1 && world.change.is_some_and(|fence| fence == 1)
            }),
        ]
    }
}

const ORDER: &str = "changes are accepted in order";
const ONE: &str = "at most one candidate believes that it holds the duty";

fn check(protections: Protections, until: HasDiscoveries) -> impl Checker<Protections> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = protections.checker().threads(threads).finish_when(until).spawn_dfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker
}

#[test]
fn at_most_one_candidate_believes_and_changes_stay_in_order_under_message_faults() {
    check(ALL, HasDiscoveries::AnyFailures).assert_properties();
}

/// The same with one more tick and a second leader change; takes some minutes and 8 GB.
#[test]
#[ignore = "takes minutes"]
fn the_same_holds_in_longer_runs() {
    check(Protections { max_ticks: 7, leader_changes: 2, ..ALL }, HasDiscoveries::AnyFailures)
        .assert_properties();
}

/// Without any one of the protections, the checker finds a violation.
#[test]
fn each_protection_is_needed() {
    let without = [
        ("margin", Protections { margin: 0, ..ALL }, ONE),
        ("fence", Protections { check_fence: false, ..ALL }, ORDER),
        ("confirmation", Protections { confirm_leader: false, ..ALL }, ONE),
        ("lapsing", Protections { withhold_lapsing: false, ..ALL }, ONE),
    ];
    for (protection, protections, broken) in without {
        let found = check(protections, HasDiscoveries::AnyFailures);
        assert!(found.discovery(broken).is_some(), "without the {protection} `{broken}` still holds");
    }
}

/// After the holder dies and leaders change, without further failures, the waiting candidate obtains the
/// duty.
#[test]
fn a_waiting_candidate_obtains_the_duty_in_the_end() {
    for dies_at in 0..LEASE {
        for leader_changes in
            [vec![], vec![dies_at + 1], vec![0, dies_at + 2], vec![dies_at + LEASE - 1, dies_at + LEASE]]
        {
            let mut world = World::begin(1);
            let mut second = LeaseState::with_margin(ticks(LEASE), ticks(1));
            // Here the second candidate is an ordinary one, which learns of the grant by an answer.
            world.duties = Duties::default();
            world.duties.apply(acquire(0));
            world.duties.apply(acquire(1));
            let end = dies_at + 3 * LEASE + 1;
            for now in 0..=end {
                world.now = now;
                if leader_changes.contains(&now) {
                    world.terms.push(DutyLeases::new(ticks(now)));
                }
                let alive = if now < dies_at { 0..2 } else { 1..2 };
                for n in alive {
                    let leases = world.terms.last_mut().expect("a leader");
                    let renewal = leases.renew(NAME, &who(n), &world.duties, ticks(now));
                    let status =
                        world.duties.status(NAME, &who(n)).filter(|_| renewal == DutyRenewal::Recorded);
                    if n == 1 {
                        second.answer_received(ticks(now), status.as_ref(), ticks(now));
                    }
                }
                if let Some(command) = world.check_leases() {
                    world.duties.apply(command);
                }
            }
            assert!(
                second.holds(ticks(end)).is_some(),
                "dies at {dies_at}, leader changes at {leader_changes:?}"
            );
        }
    }
}
