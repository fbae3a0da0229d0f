//! Decides how to follow the list: which endpoint is asked for what and when, and which answer is accepted.
//! Does no I/O: it takes events and returns actions, times are passed in, and random numbers come from a
//! seed. [`crate::driver`] carries the actions out.

use std::time::Duration;

/// A time on the driver's monotonic clock.
pub type Time = Duration;
/// Identifies a call of this follower.
pub type CallId = u64;

/// The first call of a watch waits only this long at the service, so that an endpoint that does not support
/// watches is noticed soon.
const FIRST_HOLD: Duration = Duration::from_secs(1);
/// Every later call waits for a random time between these two. It is long because each call costs the service
/// work. It is random because watches that were opened together and fall silent together should not be
/// reopened together at a service that handles new ones one after the other.
const MIN_HOLD: Duration = Duration::from_secs(4);
const MAX_HOLD: Duration = Duration::from_secs(20);
/// The answer to a call that opens a watch may be queued at the service. If it is later than this, a second
/// call is made beside it.
const OPEN_SILENCE_LIMIT: Duration = Duration::from_millis(1900);
/// The same limit for a call that should be answered at once, if earlier calls were not answered. It grows
/// with each of them, by about a half at most.
const QUICK_SILENCE_LIMIT: Duration = Duration::from_millis(1200);
/// The same limit for a call that continues a watch, counted from the end of its wait. The service has
/// already accepted the watch: in lab runs these answers came within 11 ms of the end. If an answer is only
/// late, the second call does no harm.
const WATCH_SILENCE_LIMIT: Duration = Duration::from_millis(500);

/// A change that a silent watch missed counts as known to the node this long after the end of the watch's
/// wait, ...
const KNOWN_AFTER_WAIT: Duration = Duration::from_secs(2);
/// ... but not earlier than this long after it fell silent. The grace period for drains comes in addition,
/// and this budget does not use it.
const KNOWN_AFTER_SILENCE: Duration = Duration::from_secs(6);
/// A new call must be answered within that time. The time must allow for one call that fails at once and is
/// repeated, ...
const FAILURE_ALLOWANCE: Duration = Duration::from_millis(400);
/// ... and for waiting behind the calls of other nodes at the service.
const QUEUE_ALLOWANCE: Duration = Duration::from_secs(1);

const _: () = {
    let silence_to_answer =
        WATCH_SILENCE_LIMIT.as_millis() + FAILURE_ALLOWANCE.as_millis() + QUEUE_ALLOWANCE.as_millis();
    assert!(silence_to_answer <= KNOWN_AFTER_WAIT.as_millis());
    let open_to_answer = FIRST_HOLD.as_millis()
        + OPEN_SILENCE_LIMIT.as_millis()
        + FAILURE_ALLOWANCE.as_millis()
        + QUEUE_ALLOWANCE.as_millis();
    assert!(open_to_answer <= KNOWN_AFTER_SILENCE.as_millis());
};

/// A call is cancelled this long after the end of its wait. Until then a service that handles its calls one
/// after the other may still answer it.
const CANCEL_AFTER_WAIT: Duration = Duration::from_millis(3500);
/// A replica that answers is never behind the others for this long.
const MAX_REPLICA_LAG: Duration = Duration::from_secs(10);
/// Pause before the next call if a call ended early without changes. A watch counts as unbroken while the gaps
/// between its calls stay under 200 ms.
const EARLY_ANSWER_PAUSE: Duration = Duration::from_millis(100);
/// Back-off after all endpoints have failed. It doubles up to the maximum, and half of it is random, so that
/// nodes that lost their watches together do not return together.
const MIN_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// What a call requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListRequest {
    /// The whole list.
    Whole,
    /// The changes after version `from`. The service may wait up to `hold` for one.
    Changes { from: u64, hold: Duration },
}

impl ListRequest {
    fn hold(self) -> Duration {
        match self {
            ListRequest::Whole => Duration::ZERO,
            ListRequest::Changes { hold, .. } => hold,
        }
    }
}

/// What the follower needs to know about an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListSummary {
    pub version: u64,
    /// Whether the answer is the whole list rather than changes.
    pub full: bool,
    /// Whether the answer contains no entries.
    pub empty: bool,
}

/// What the driver is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Call the endpoint with this index.
    Call { call: CallId, endpoint: usize, request: ListRequest },
    /// Cancel the call.
    Cancel { call: CallId },
    /// Report the call's answer to the user of the follower.
    Report { call: CallId },
    /// Report that all endpoints failed; the last list stays valid.
    Failed,
}

/// When to retry after all endpoints have failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// After an exponential back-off.
    Backoff,
    /// Within this time. For lists that the service pushes: a change counts as known to the node a short time
    /// after it was made.
    Within(Duration),
    /// When the user calls [`Follower::start`].
    OnStart,
}

#[derive(Clone, Copy, Debug)]
struct InFlight {
    call: CallId,
    request: ListRequest,
    started: Time,
    /// From this time on the call counts as silent, and another call is made beside it.
    silent_at: Time,
    /// At this time the call is cancelled.
    cancel_at: Time,
}

/// Follows one list through any of its endpoints. Invariants: at most two calls are in flight. No reported
/// list is older than one reported before, unless the service itself has lost versions; that is accepted only
/// when no endpoint has returned the newer version.
pub struct Follower {
    endpoints: usize,
    current: usize,
    retry: Retry,
    active: bool,
    /// The newest version reported.
    held: Option<u64>,
    /// The watch has broken since the last report, so it is uncertain whether the service still has that
    /// version.
    version_uncertain: bool,
    /// Failed calls in a row, and how many of them returned a list older than `held`.
    failed: usize,
    behind: usize,
    /// Since when every answer was older than `held`.
    behind_since: Option<Time>,
    /// Rounds in a row in which all endpoints failed, and calls in a row that stayed silent.
    rounds: u32,
    silences: u32,
    /// Whether the next call opens a watch.
    first: bool,
    /// The newest call.
    main: Option<InFlight>,
    /// An older call that is silent but may still be answered.
    silent_call: Option<InFlight>,
    wake: Option<Time>,
    next_call: CallId,
    random_state: u64,
}

impl Follower {
    /// `held` is the version of a list that is already known.
    pub fn new(endpoints: usize, held: Option<u64>, retry: Retry, seed: u64) -> Self {
        let mut follower = Follower {
            endpoints: endpoints.max(1),
            current: 0,
            retry,
            active: false,
            held,
            version_uncertain: false,
            failed: 0,
            behind: 0,
            behind_since: None,
            rounds: 0,
            silences: 0,
            first: true,
            main: None,
            silent_call: None,
            wake: None,
            next_call: 0,
            random_state: seed,
        };
        // Spreads nodes that start together over the endpoints.
        follower.current = (follower.random() * follower.endpoints as f64) as usize % follower.endpoints;
        follower
    }

    /// A random number in [0, 1) by splitmix64.
    fn random(&mut self) -> f64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// When [`Follower::tick`] must be called if no event comes before.
    pub fn wake(&self) -> Option<Time> {
        let calls = self
            .main
            .iter()
            .map(|call| call.silent_at.min(call.cancel_at))
            .chain(self.silent_call.iter().map(|call| call.cancel_at));
        calls.chain(self.wake).min()
    }

    /// Starts following. Does nothing if a call is already in flight or scheduled.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.active = true;
        if self.main.is_some() || self.wake.is_some() {
            return;
        }
        self.first = true;
        self.call(now, actions);
    }

    /// Replaces the endpoints. The new ones serve another list, of which no version is known.
    pub fn replace_endpoints(&mut self, endpoints: usize, now: Time, actions: &mut Vec<Action>) {
        let dropped = self.main.take().into_iter().chain(self.silent_call.take());
        actions.extend(dropped.map(|gone| Action::Cancel { call: gone.call }));
        let (active, retry, seed) = (self.active, self.retry, self.random_state);
        *self = Follower { next_call: self.next_call, ..Follower::new(endpoints, None, retry, seed) };
        if active {
            self.start(now, actions);
        }
    }

    /// Handles the passing of time.
    pub fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.wake.is_some_and(|at| at <= now) {
            self.wake = None;
            if self.active && self.main.is_none() {
                self.call(now, actions);
            }
        }
        if let Some(silent_call) = self.silent_call.filter(|silent| silent.cancel_at <= now) {
            self.silent_call = None;
            actions.push(Action::Cancel { call: silent_call.call });
            // The other call continues, but the user must learn that the watch is lost.
            if self.endpoints == 1 {
                self.report_failure(actions);
            }
        }
        if let Some(main) = self.main.filter(|main| main.silent_at.min(main.cancel_at) <= now) {
            self.version_uncertain = true;
            self.silences += 1;
            if let Some(older) = self.silent_call.replace(main) {
                actions.push(Action::Cancel { call: older.call });
            }
            self.main = None;
            if self.endpoints == 1 {
                self.call(now, actions);
            } else {
                self.endpoint_failed(now, actions);
            }
        }
    }

    /// Handles the end of a call. `summary` is `None` if the call failed.
    pub fn call_ended(
        &mut self,
        call: CallId,
        summary: Option<ListSummary>,
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        let main = self.main.filter(|main| main.call == call);
        let Some(ended) = main.or(self.silent_call.filter(|silent| silent.call == call)) else { return };
        match main {
            Some(_) => self.main = None,
            None => self.silent_call = None,
        }
        let Some(summary) = summary else {
            self.version_uncertain = true;
            if main.is_some() {
                self.endpoint_failed(now, actions);
            }
            return;
        };
        if !self.is_accepted(ended.request, summary, now) {
            // Only the newest call decides which endpoint is next.
            if main.is_some() {
                self.behind += 1;
                self.behind_since.get_or_insert(now);
                self.endpoint_failed(now, actions);
            }
            return;
        }
        actions.push(Action::Report { call });
        let other = self.main.take().into_iter().chain(self.silent_call.take());
        actions.extend(other.map(|other| Action::Cancel { call: other.call }));
        let nothing_new = summary.empty && self.held == Some(summary.version);
        self.held = Some(summary.version);
        (self.version_uncertain, self.failed, self.behind, self.rounds, self.silences) = (false, 0, 0, 0, 0);
        self.behind_since = None;
        self.first = false;
        if nothing_new && now.saturating_sub(ended.started) < ended.request.hold() / 2 {
            self.wake = Some(now + EARLY_ANSWER_PAUSE);
        } else {
            self.call(now, actions);
        }
    }

    /// Handles a call that found its kept connection closed. This does not mean that the service failed, so
    /// the same endpoint is called again at once; but its process may have been restarted.
    pub fn connection_closed(&mut self, call: CallId, now: Time, actions: &mut Vec<Action>) {
        if self.main.is_some_and(|main| main.call == call) {
            self.main = None;
            self.version_uncertain = true;
            self.call(now, actions);
        } else if self.silent_call.is_some_and(|silent| silent.call == call) {
            self.silent_call = None;
        }
    }

    /// Whether an answer is accepted: it must not be older than the list that is known.
    fn is_accepted(&self, request: ListRequest, summary: ListSummary, now: Time) -> bool {
        let Some(held) = self.held else { return true };
        if summary.full {
            // An older list is accepted only if the service itself has lost versions.
            return summary.version >= held || self.service_lost_versions(now);
        }
        let ListRequest::Changes { from, .. } = request else { return false };
        // If the service has version `held`, the changes after an older version are not empty.
        summary.version >= held && !(from < held && summary.empty)
    }

    /// Whether the service itself has lost versions, rather than an endpoint being behind the others: there
    /// is only one endpoint, or all have been behind for longer than a replica can be.
    fn service_lost_versions(&self, now: Time) -> bool {
        let beyond_lag = self.behind_since.is_some_and(|since| now.saturating_sub(since) >= MAX_REPLICA_LAG);
        self.failed >= self.endpoints && self.behind > 0 && (self.endpoints == 1 || beyond_lag)
    }

    fn endpoint_failed(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.failed += 1;
        self.current = (self.current + 1) % self.endpoints;
        if self.failed < self.endpoints {
            return self.call(now, actions);
        }
        if self.service_lost_versions(now) && self.failed < 2 * self.endpoints {
            // No endpoint has the version that was reported, so each is asked once for the whole list.
            return self.call(now, actions);
        }
        self.failed = 0;
        self.behind = 0;
        self.report_failure(actions);
        let wait = match self.retry {
            Retry::Backoff => (MIN_BACKOFF * (1 << self.rounds.min(6))).min(MAX_BACKOFF),
            Retry::Within(longest) => longest,
            Retry::OnStart => return,
        };
        self.wake = Some(now + wait.mul_f64(0.5 + self.random() / 2.0));
    }

    fn report_failure(&mut self, actions: &mut Vec<Action>) {
        self.rounds += 1;
        actions.push(Action::Failed);
    }

    fn call(&mut self, now: Time, actions: &mut Vec<Action>) {
        let request = match self.held {
            Some(_) if self.service_lost_versions(now) => ListRequest::Whole,
            None => ListRequest::Whole,
            // Asks from one version earlier: if the service has version `held`, it answers at once.
            Some(held) if self.version_uncertain && held > 0 => {
                // One of several replicas may be behind by a heartbeat, so it may wait for the version.
                let hold = if self.endpoints == 1 { Duration::ZERO } else { FIRST_HOLD };
                ListRequest::Changes { from: held - 1, hold }
            }
            Some(from) if self.first => ListRequest::Changes { from, hold: FIRST_HOLD },
            Some(from) => {
                let more = (MAX_HOLD - MIN_HOLD).mul_f64(self.random());
                ListRequest::Changes {
                    from,
                    hold: Duration::from_millis((MIN_HOLD + more).as_millis() as u64),
                }
            }
        };
        let silence = match request.hold() {
            hold if self.endpoints > 1 && hold <= FIRST_HOLD => {
                // Another endpoint can be tried.
                hold + QUICK_SILENCE_LIMIT.mul_f64(0.9 + 0.1 * self.random())
            }
            Duration::ZERO if self.silences > 0 => {
                let grown = QUICK_SILENCE_LIMIT.mul_f64(1.25_f64.powi(self.silences.min(3) as i32 - 1));
                // The random factor separates nodes whose watches fell silent together.
                grown.mul_f64(0.9 + 0.1 * self.random())
            }
            hold if hold > FIRST_HOLD => hold + WATCH_SILENCE_LIMIT,
            hold => hold + OPEN_SILENCE_LIMIT,
        };
        let call = self.next_call;
        self.next_call += 1;
        let cancel_at = now + request.hold() + CANCEL_AFTER_WAIT;
        self.main = Some(InFlight { call, request, started: now, silent_at: now + silence, cancel_at });
        actions.push(Action::Call { call, endpoint: self.current, request });
    }
}
