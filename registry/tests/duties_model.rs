//! The model checker on the pure cores of duties, as they run: a holder whose signs and answers are lost, late or overtaken,
//! whose clock loses time and who may pause anywhere; leaders that follow each other, the old ones still answering;
//! proposals that come to something late or never. The second candidate is the worst that there can be: it believes and
//! acts from the moment of the grant on, so that whatever a slower one could do is covered.

use std::collections::BTreeSet;
use std::time::Duration;

use shaletrail_registry::duties::{Duties, DutyCommand, Sign, Signs};
use shaletrail_registry_client::fences::FenceTable;
use shaletrail_registry_client::lease::LeaseState;
use shaletrail_registry_protocol::duty::{Candidate, Fence, Standing, Why};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// A lease in ticks. The holder's clock loses up to one tick in a lease; the margin is one tick.
const LEASE: u64 = 5;
const NAME: &str = "d";
/// Signs and answers under way at once. More change nothing but how long the check takes.
const MESSAGES: usize = 2;

fn ticks(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn who(n: usize) -> Candidate {
    Candidate { id: format!("c{n}"), life: 0 }
}

/// What is checked: the program as it is, or without one of its parts.
#[derive(Clone, Copy)]
struct Cores {
    margin: u64,
    /// The guarded thing refuses old fencing numbers.
    guard: bool,
    /// Signs are answered only by whom a majority takes for the leader.
    confirm: bool,
    /// Whom a lapse was proposed for is told nothing that prolongs its belief.
    lapsing: bool,
    /// Ticks played, and changes of the leader among them.
    length: u64,
    successions: usize,
}

const WHOLE: Cores =
    Cores { margin: 1, guard: true, confirm: true, lapsing: true, length: 6, successions: 1 };

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Sign { sent: u64, term: usize, joined: bool },
    Answer { sent: u64, fence: Option<u64> },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    duties: Duties,
    /// Of each leader so far; the last one leads, the others may not know.
    terms: Vec<Signs>,
    /// A lapse that is proposed by the last one.
    proposed: Option<DutyCommand>,
    clock: u64,
    slipped: Option<u64>,
    tenure: LeaseState,
    joined: bool,
    sent: bool,
    released: bool,
    messages: BTreeSet<Message>,
    /// The holder's change, looked up at its clock and then under way.
    change: Option<u64>,
    book: FenceTable,
    accepted: u64,
    out_of_order: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time goes on; the holder's clock too, or not.
    Tick(bool),
    Send(usize),
    Deliver(Message),
    Lose(Message),
    Look,
    Agree,
    /// Another replica leads; what was proposed came to something, or not.
    Succeed(bool),
    Act,
    ChangeComes,
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
            terms: vec![Signs::begin(ticks(0))],
            proposed: None,
            clock: 0,
            slipped: None,
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

    fn second(&self) -> Option<u64> {
        self.duties.standing(NAME, &who(1)).filter(|standing| standing.holds).map(|standing| standing.fence)
    }

    fn accept(&mut self, fence: u64, guard: bool) {
        let admitted = self.book.admit(&Fence { duty: NAME.into(), fence }).is_ok();
        if admitted || !guard {
            self.out_of_order |= fence < self.accepted;
            self.accepted = self.accepted.max(fence);
        }
    }

    fn look(&mut self) -> Option<DutyCommand> {
        let now = ticks(self.now);
        let gone = self.terms.last_mut()?.look(&self.duties, now);
        (!gone.is_empty()).then_some(DutyCommand::Lapse { gone, at_ms: 0 })
    }
}

fn acquire(n: usize) -> DutyCommand {
    DutyCommand::Acquire { name: NAME.into(), who: who(n), lease: ticks(LEASE), at_ms: 0 }
}

fn standing(fence: u64) -> Standing {
    Standing { holds: true, fence, give_way: false, before: 0, checkpoint_version: 0, direct: true }
}

impl Cores {
    fn deliver(&self, world: &mut World, message: &Message) {
        match message {
            Message::Sign { sent, term, joined } => {
                let leads = term + 1 == world.terms.len();
                if !joined {
                    // Agreed on by a majority, or not done.
                    if !leads {
                        return;
                    }
                    // What was proposed before stands before it in the log.
                    if let Some(command) = world.proposed.take() {
                        world.duties.apply(command);
                    }
                    world.duties.apply(acquire(0));
                }
                let sign = world.terms[*term].sign(NAME, &who(0), &world.duties, ticks(world.now));
                if sign == Sign::Lapsing && self.lapsing || !leads && self.confirm {
                    return;
                }
                let standing = world.duties.standing(NAME, &who(0));
                let fence = standing.filter(|standing| standing.holds).map(|standing| standing.fence);
                world.messages.insert(Message::Answer { sent: *sent, fence });
            }
            Message::Answer { sent, fence } => {
                world.joined = fence.is_some();
                let standing = fence.map(standing);
                world.tenure.answer_received(ticks(*sent), standing.as_ref(), ticks(world.clock));
            }
        }
    }
}

impl Model for Cores {
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
            // An old leader's silence is the same as a loss.
            let first = if self.confirm { world.terms.len() - 1 } else { 0 };
            steps.extend((first..world.terms.len()).map(Step::Send));
        }
        if world.proposed.is_some() {
            steps.push(Step::Agree);
        } else if world.clone().look().is_some() {
            steps.push(Step::Look);
        }
        if world.terms.len() <= self.successions {
            steps.push(Step::Succeed(false));
            if world.proposed.is_some() {
                steps.push(Step::Succeed(true));
            }
        }
        if world.believes().is_some() {
            if world.change.is_none() {
                steps.push(Step::Act);
            }
            steps.push(Step::Release);
        }
        if world.change.is_some_and(|fence| fence > 0) {
            steps.push(Step::ChangeComes);
        }
        if world.second().is_some_and(|fence| fence > world.accepted) {
            steps.push(Step::SecondChanges);
        }
        if world.now < self.length {
            steps.push(Step::Tick(true));
            if world.slipped.is_none_or(|at| world.now >= at + LEASE) {
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
                    world.slipped = Some(world.now - 1);
                }
                // What is so old prolongs nothing any more.
                let clock = world.clock;
                world.messages.retain(|message| match message {
                    Message::Sign { sent, .. } | Message::Answer { sent, .. } => clock < sent + LEASE,
                });
            }
            Step::Send(term) => {
                world.sent = true;
                world.messages.insert(Message::Sign { sent: world.clock, term, joined: world.joined });
            }
            Step::Lose(message) => _ = world.messages.remove(&message),
            Step::Deliver(message) => {
                world.messages.remove(&message);
                self.deliver(&mut world, &message);
            }
            Step::Look => world.proposed = world.look(),
            Step::Agree => _ = world.duties.apply(world.proposed.take()?),
            Step::Succeed(came) => {
                if let Some(command) = world.proposed.take().filter(|_| came) {
                    world.duties.apply(command);
                }
                world.terms.push(Signs::begin(ticks(world.now)));
            }
            Step::Act => world.change = world.believes(),
            Step::ChangeComes => {
                let fence = world.change.replace(0)?;
                world.accept(fence, self.guard);
            }
            Step::SecondChanges => world.accept(world.second()?, self.guard),
            Step::Release => {
                // It has stopped; its next candidacy is another life.
                world.released = true;
                world.tenure = LeaseState::with_margin(ticks(LEASE), ticks(self.margin));
                world.messages.retain(|message| matches!(message, Message::Sign { .. }));
                world.duties.apply(DutyCommand::Release {
                    name: NAME.into(),
                    who: who(0),
                    why: Why::Released,
                    at_ms: 0,
                });
            }
        }
        if world.released {
            world.messages.retain(|message| matches!(message, Message::Sign { .. }));
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(ORDER, |_, world: &World| !world.out_of_order),
            Property::always(ONE, |_, world: &World| world.believes().is_none() || world.second().is_none()),
            // The check sees hand-overs of each kind at all.
            Property::sometimes("passed on after silence", |_, world: &World| {
                !world.released && world.second().is_some()
            }),
            Property::sometimes("an old change comes late", |_, world: &World| {
                world.accepted > 1 && world.change.is_some_and(|fence| fence == 1)
            }),
        ]
    }
}

const ORDER: &str = "changes are accepted in order";
const ONE: &str = "one believes";

fn check(cores: Cores, until: HasDiscoveries) -> impl Checker<Cores> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let checker = cores.checker().threads(threads).finish_when(until).spawn_dfs().join();
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    checker
}

#[test]
fn one_believes_and_changes_are_accepted_in_order_whatever_is_lost_or_late() {
    check(WHOLE, HasDiscoveries::AnyFailures).assert_properties();
}

/// The same for longer, with a second change of the leader: some minutes, and 8 GB.
#[test]
#[ignore = "takes minutes"]
fn and_in_longer_plays() {
    check(Cores { length: 7, successions: 2, ..WHOLE }, HasDiscoveries::AnyFailures).assert_properties();
}

/// Without one of the parts the check finds how it goes wrong.
#[test]
fn each_part_is_needed() {
    let without = [
        ("margin", Cores { margin: 0, ..WHOLE }, ONE),
        ("fence", Cores { guard: false, ..WHOLE }, ORDER),
        ("confirmation", Cores { confirm: false, ..WHOLE }, ONE),
        ("lapsing", Cores { lapsing: false, ..WHOLE }, ONE),
    ];
    for (part, cores, broken) in without {
        let found = check(cores, HasDiscoveries::AnyFailures);
        assert!(found.discovery(broken).is_some(), "without the {part} `{broken}` still holds");
    }
}

/// The holder dies, leaders follow each other, and then nothing fails any more: the waiter obtains it.
#[test]
fn a_waiter_obtains_it_in_the_end() {
    for dies in 0..LEASE {
        for successions in [vec![], vec![dies + 1], vec![0, dies + 2], vec![dies + LEASE - 1, dies + LEASE]] {
            let mut world = World::begin(1);
            let mut second = LeaseState::with_margin(ticks(LEASE), ticks(1));
            // An ordinary waiter here, which is told of its standing.
            world.duties = Duties::default();
            world.duties.apply(acquire(0));
            world.duties.apply(acquire(1));
            let end = dies + 3 * LEASE + 1;
            for now in 0..=end {
                world.now = now;
                if successions.contains(&now) {
                    world.terms.push(Signs::begin(ticks(now)));
                }
                let alive = if now < dies { 0..2 } else { 1..2 };
                for n in alive {
                    let signs = world.terms.last_mut().expect("a leader");
                    let sign = signs.sign(NAME, &who(n), &world.duties, ticks(now));
                    let told = world.duties.standing(NAME, &who(n)).filter(|_| sign == Sign::Noted);
                    if n == 1 {
                        second.answer_received(ticks(now), told.as_ref(), ticks(now));
                    }
                }
                if let Some(command) = world.look() {
                    world.duties.apply(command);
                }
            }
            assert!(second.holds(ticks(end)).is_some(), "dies at {dies}, successions at {successions:?}");
        }
    }
}
