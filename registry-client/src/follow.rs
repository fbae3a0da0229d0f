//! The pure core of following the list: which endpoint is asked for what and when, and which answer counts. Events
//! in, actions out; time is a value, chance comes from a seed. The driver is in [`crate::driver`].

use std::time::Duration;

/// A time on the driver's monotonic clock.
pub type Time = Duration;
/// Names a call of this follower.
pub type CallId = u64;

/// The first call of a watch is short, so that one that is not understood shows soon.
const FIRST_HOLD: Duration = Duration::from_secs(1);
/// Every later call may wait so long, by chance from the least to the longest: each costs the service work, and
/// watches that began together and fall silent together are not to be opened anew together, at a service that works
/// through new ones in turn.
const LEAST_HOLD: Duration = Duration::from_secs(4);
const MAX_HOLD: Duration = Duration::from_secs(20);
/// The answer to a call that opens a watch may have to wait for its turn, and is not waited for alone for longer.
const OPEN_SILENCE: Duration = Duration::from_millis(1900);
/// The same where a call should be answered at once and others were not, grown with each up to a half more.
const QUICK_SILENCE: Duration = Duration::from_millis(1200);
/// The same after the end of the wait of a call that goes on with a watch. It has had its turn: in plays these came
/// within 11 ms. Where one is only late, a call beside it does no harm.
const SILENCE: Duration = Duration::from_millis(500);

/// What a watch that has fallen silent misses counts as told so long after the end of its wait, ...
const TOLD_AFTER_WAIT: Duration = Duration::from_secs(2);
/// ... but no sooner than so long after it fell silent. The grace for drains comes on top, and is not counted on.
const TOLD_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// Within that time a new call has to be answered: it may fail at once and be made again, ...
const ONE_FAILURE: Duration = Duration::from_millis(400);
/// ... and wait for its turn behind the calls of other nodes.
const TURN: Duration = Duration::from_secs(1);

const _: () = {
    let silence_to_answer = SILENCE.as_millis() + ONE_FAILURE.as_millis() + TURN.as_millis();
    assert!(silence_to_answer <= TOLD_AFTER_WAIT.as_millis());
    let open_to_answer =
        FIRST_HOLD.as_millis() + OPEN_SILENCE.as_millis() + ONE_FAILURE.as_millis() + TURN.as_millis();
    assert!(open_to_answer <= TOLD_AFTER_SILENCE.as_millis());
};

/// A service that works through its calls in turn may still answer; beyond this it does not.
const PATIENCE: Duration = Duration::from_millis(3500);
/// No replica that answers is behind for so long.
const LATEST: Duration = Duration::from_secs(10);
/// Pause before the next call when one has ended early and empty. A watch lasts while gaps stay under 200 ms.
const PAUSE: Duration = Duration::from_millis(100);
/// Wait after all endpoints have failed: it doubles up to the longest, and half of it is left to chance, so that
/// many that lost their watch at once don't come back at once.
const WAIT: Duration = Duration::from_millis(300);
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// What a call asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    Whole,
    Changes { from: u64, hold: Duration },
}

impl Ask {
    fn hold(self) -> Duration {
        match self {
            Ask::Whole => Duration::ZERO,
            Ask::Changes { hold, .. } => hold,
        }
    }
}

/// What the core must know of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    pub version: u64,
    pub full: bool,
    /// No entries came.
    pub empty: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask this endpoint, by its place.
    Call { call: CallId, endpoint: usize, ask: Ask },
    /// Give the call up.
    Drop { call: CallId },
    /// The call's answer is the news.
    Tell { call: CallId },
    /// Nobody answers; the last list stands.
    Failed,
}

/// Who decides when to try again once all endpoints have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The follower, after a wait that grows.
    Own,
    /// The follower, within this time: what a service that pushes its list has counts as told, and it is near.
    Within(Duration),
    /// Its user, by [`Follower::start`].
    OnStart,
}

#[derive(Clone, Copy, Debug)]
struct Out {
    call: CallId,
    ask: Ask,
    began: Time,
    /// From then on another call is put beside it.
    silent: Time,
    /// From then on it is given up.
    over: Time,
}

/// Follows one list through any of its endpoints. Invariants: at most two calls are out; no news is older than what
/// was told before, but for a service that has itself gone back, and that only once every endpoint said so.
pub struct Follower {
    endpoints: usize,
    at: usize,
    retry: Retry,
    on: bool,
    /// The newest version told.
    held: Option<u64>,
    /// The watch has broken since the last news: does the service still know that version?
    doubt: bool,
    /// Endpoints that failed in a row, and those of them that are behind what was told.
    failed: usize,
    behind: usize,
    /// Since when each that answered was behind.
    behind_since: Option<Time>,
    /// Rounds of all endpoints that failed in a row, and calls that stayed silent.
    rounds: u32,
    silences: u32,
    first: bool,
    main: Option<Out>,
    /// An older call that is silent but may yet be answered.
    late: Option<Out>,
    wake: Option<Time>,
    next_call: CallId,
    chance: u64,
}

impl Follower {
    /// `held`: the version of a list that is known already.
    pub fn new(endpoints: usize, held: Option<u64>, retry: Retry, seed: u64) -> Self {
        let mut follower = Follower {
            endpoints: endpoints.max(1),
            at: 0,
            retry,
            on: false,
            held,
            doubt: false,
            failed: 0,
            behind: 0,
            behind_since: None,
            rounds: 0,
            silences: 0,
            first: true,
            main: None,
            late: None,
            wake: None,
            next_call: 0,
            chance: seed,
        };
        // Nodes that start together spread over the endpoints.
        follower.at = (follower.random() * follower.endpoints as f64) as usize % follower.endpoints;
        follower
    }

    /// In 0 to 1, by splitmix64.
    fn random(&mut self) -> f64 {
        self.chance = self.chance.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.chance;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// When [`Follower::tick`] is due, if nothing happens before.
    pub fn wake(&self) -> Option<Time> {
        let calls =
            self.main.iter().map(|out| out.silent.min(out.over)).chain(self.late.iter().map(|out| out.over));
        calls.chain(self.wake).min()
    }

    /// Follow from now on. Where a call is out or planned already, it stands.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.on = true;
        if self.main.is_some() || self.wake.is_some() {
            return;
        }
        self.first = true;
        self.call(now, out);
    }

    /// The endpoints are others from now on: the list there is another one, of which nothing is known.
    pub fn moved(&mut self, endpoints: usize, now: Time, out: &mut Vec<Action>) {
        let dropped = self.main.take().into_iter().chain(self.late.take());
        out.extend(dropped.map(|gone| Action::Drop { call: gone.call }));
        let (on, retry, seed) = (self.on, self.retry, self.chance);
        *self = Follower { next_call: self.next_call, ..Follower::new(endpoints, None, retry, seed) };
        if on {
            self.start(now, out);
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            if self.on && self.main.is_none() {
                self.call(now, out);
            }
        }
        if let Some(late) = self.late.filter(|late| late.over <= now) {
            self.late = None;
            out.push(Action::Drop { call: late.call });
            // The other call goes on; whoever follows knows that the watch is gone.
            if self.endpoints == 1 {
                self.report(out);
            }
        }
        if let Some(main) = self.main.filter(|main| main.silent.min(main.over) <= now) {
            self.doubt = true;
            self.silences += 1;
            if let Some(older) = self.late.replace(main) {
                out.push(Action::Drop { call: older.call });
            }
            self.main = None;
            if self.endpoints == 1 {
                self.call(now, out);
            } else {
                self.endpoint_failed(now, out);
            }
        }
    }

    /// A call has ended: an answer, or `None` for whatever kept it from one.
    pub fn ended(&mut self, call: CallId, told: Option<Told>, now: Time, out: &mut Vec<Action>) {
        let main = self.main.filter(|main| main.call == call);
        let Some(ended) = main.or(self.late.filter(|late| late.call == call)) else { return };
        match main {
            Some(_) => self.main = None,
            None => self.late = None,
        }
        let Some(told) = told else {
            self.doubt = true;
            if main.is_some() {
                self.endpoint_failed(now, out);
            }
            return;
        };
        if !self.counts(ended.ask, told, now) {
            // Only the newest call says where to go on.
            if main.is_some() {
                self.behind += 1;
                self.behind_since.get_or_insert(now);
                self.endpoint_failed(now, out);
            }
            return;
        }
        out.push(Action::Tell { call });
        let other = self.main.take().into_iter().chain(self.late.take());
        out.extend(other.map(|other| Action::Drop { call: other.call }));
        let nothing_new = told.empty && self.held == Some(told.version);
        self.held = Some(told.version);
        (self.doubt, self.failed, self.behind, self.rounds, self.silences) = (false, 0, 0, 0, 0);
        self.behind_since = None;
        self.first = false;
        if nothing_new && now.saturating_sub(ended.began) < ended.ask.hold() / 2 {
            self.wake = Some(now + PAUSE);
        } else {
            self.call(now, out);
        }
    }

    /// A call met a connection that had been closed. That says little of the service, so the endpoint is asked again
    /// at once; but its process may be another now.
    pub fn stale(&mut self, call: CallId, now: Time, out: &mut Vec<Action>) {
        if self.main.is_some_and(|main| main.call == call) {
            self.main = None;
            self.doubt = true;
            self.call(now, out);
        } else if self.late.is_some_and(|late| late.call == call) {
            self.late = None;
        }
    }

    /// Whether an answer is news, or at least no older than what is known.
    fn counts(&self, ask: Ask, told: Told, now: Time) -> bool {
        let Some(held) = self.held else { return true };
        if told.full {
            // A service that has gone back: believed where there is nobody else to ask.
            return told.version >= held || self.went_back(now);
        }
        let Ask::Changes { from, .. } = ask else { return false };
        // Changes since just before the version held hold at least that one's, where the service knows it.
        told.version >= held && !(from < held && told.empty)
    }

    /// The service itself has gone back, and no endpoint is only late: there is one, or all have been behind for
    /// longer than a replica can be.
    fn went_back(&self, now: Time) -> bool {
        let long = self.behind_since.is_some_and(|since| now.saturating_sub(since) >= LATEST);
        self.failed >= self.endpoints && self.behind > 0 && (self.endpoints == 1 || long)
    }

    fn endpoint_failed(&mut self, now: Time, out: &mut Vec<Action>) {
        self.failed += 1;
        self.at = (self.at + 1) % self.endpoints;
        if self.failed < self.endpoints {
            return self.call(now, out);
        }
        if self.went_back(now) && self.failed < 2 * self.endpoints {
            // Nobody knows what was told before: then the whole list is asked for, once at each.
            return self.call(now, out);
        }
        self.failed = 0;
        self.behind = 0;
        self.report(out);
        let wait = match self.retry {
            Retry::Own => (WAIT * (1 << self.rounds.min(6))).min(LONGEST_WAIT),
            Retry::Within(longest) => longest,
            Retry::OnStart => return,
        };
        self.wake = Some(now + wait.mul_f64(0.5 + self.random() / 2.0));
    }

    fn report(&mut self, out: &mut Vec<Action>) {
        self.rounds += 1;
        out.push(Action::Failed);
    }

    fn call(&mut self, now: Time, out: &mut Vec<Action>) {
        let ask = match self.held {
            Some(_) if self.went_back(now) => Ask::Whole,
            None => Ask::Whole,
            // One entry more than was told, and the answer comes at once, if the service knows the version at all.
            Some(held) if self.doubt && held > 0 => {
                // One of several may be late by a heartbeat, and waits.
                let hold = if self.endpoints == 1 { Duration::ZERO } else { FIRST_HOLD };
                Ask::Changes { from: held - 1, hold }
            }
            Some(from) if self.first => Ask::Changes { from, hold: FIRST_HOLD },
            Some(from) => {
                let more = (MAX_HOLD - LEAST_HOLD).mul_f64(self.random());
                Ask::Changes { from, hold: Duration::from_millis((LEAST_HOLD + more).as_millis() as u64) }
            }
        };
        let silence = match ask.hold() {
            hold if self.endpoints > 1 && hold <= FIRST_HOLD => {
                // Another can be asked.
                hold + QUICK_SILENCE.mul_f64(0.9 + 0.1 * self.random())
            }
            Duration::ZERO if self.silences > 0 => {
                let grown = QUICK_SILENCE.mul_f64(1.25_f64.powi(self.silences.min(3) as i32 - 1));
                // Never in step with others that were silenced together.
                grown.mul_f64(0.9 + 0.1 * self.random())
            }
            hold if hold > FIRST_HOLD => hold + SILENCE,
            hold => hold + OPEN_SILENCE,
        };
        let call = self.next_call;
        self.next_call += 1;
        let over = now + ask.hold() + PATIENCE;
        self.main = Some(Out { call, ask, began: now, silent: now + silence, over });
        out.push(Action::Call { call, endpoint: self.at, ask });
    }
}
