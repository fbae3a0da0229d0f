//! One server as the planner sees it: what it may hold, the order that is under way, and what is in doubt.

use std::collections::BTreeSet;

use shaletrail_protocol::external::Operation;
use shaletrail_protocol::internal::Presence;
use shaletrail_protocol::{Millis, ServerId};

use crate::doubt::{Doubt, REPORT_LAG};
use crate::holding::{Dropped, Holding, Listed, Source};
use crate::in_flight::InFlight;
use crate::model::{Item, ModelId, ModelTable};
use crate::needs::Urgency;
use crate::order_count::OrderCount;

/// When a report shows the end of an order that takes no time, in milliseconds after its answer.
const REPORT_SOON: Millis = 250;
/// An adapter is there within this time after the order was taken, in milliseconds.
const ADAPTER_SETTLES: Millis = 50;
/// An order without any outcome after this time counts as unanswered, in milliseconds.
const OUTCOME_WITHIN: Millis = 5_000;
/// First and longest wait between two reports of one server, in milliseconds.
const ASK_AGAIN: Millis = 250;
const ASK_AGAIN_MOST: Millis = 2_400;

/// A place kept for a model that is to be loaded once there is room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservation {
    /// The model.
    pub model: ModelId,
    /// Whether it will come from the weight store.
    pub from_origin: bool,
    /// Why it is wanted there.
    pub urgency: Urgency,
}

/// A server of the service, from one of its starts to its end.
#[derive(Clone, Debug)]
pub struct Server {
    /// Its name.
    pub id: ServerId,
    /// Where it is reached; its place in the ring.
    pub address: String,
    /// Requests it works on at once.
    pub slots: u32,
    /// How the directory sees it.
    pub presence: Presence,
    /// What it may hold.
    pub holding: Holding,
    /// The order that is under way.
    pub in_flight: Option<InFlight>,
    /// The model that it is being emptied for.
    pub reserved: Option<Reservation>,
    /// How many orders it has taken. What it may hold is known for that count.
    pub count: OrderCount,
    /// What is not known.
    pub doubt: Option<Doubt>,
    held_before: BTreeSet<ModelId>,
    heartbeat: Option<u64>,
    blocked_until: Millis,
    /// Whether an order waits for the count.
    awaits_count: bool,
    asked: Millis,
    ask_again: Millis,
}

impl Server {
    /// A server that was not known. `doubt` covers what a former holder may have ordered; if it has ordered anything,
    /// the server refuses the first order, and a report tells.
    pub fn new(id: ServerId, doubt: Doubt) -> Self {
        Server {
            id,
            address: String::new(),
            slots: 0,
            presence: Presence::TimedOut,
            holding: Holding::default(),
            in_flight: None,
            reserved: None,
            count: OrderCount::UNTOUCHED,
            doubt: Some(doubt),
            held_before: BTreeSet::new(),
            heartbeat: None,
            blocked_until: 0,
            awaits_count: false,
            asked: 0,
            ask_again: ASK_AGAIN,
        }
    }

    /// Forgets what this planner itself had under way there, for the beginning of a turn. Without `doubt` nobody has
    /// ordered anything before.
    pub fn start_over(&mut self, doubt: Option<Doubt>) {
        (self.in_flight, self.reserved, self.awaits_count) = (None, None, false);
        (self.doubt, self.blocked_until, self.asked, self.ask_again) = (doubt, 0, 0, ASK_AGAIN);
        match doubt {
            Some(_) => self.count.forget(),
            None => self.count = OrderCount::UNTOUCHED,
        }
    }

    /// Whether requests may go there.
    pub fn is_ready(&self) -> bool {
        self.presence == Presence::Ready
    }

    /// Whether an order may be sent now.
    pub fn takes_orders(&self, now: Millis) -> bool {
        self.is_ready()
            && self.heartbeat.is_some()
            && self.in_flight.is_none()
            && self.doubt.is_none()
            && now >= self.blocked_until
    }

    /// Whether it holds something that is not about to go.
    pub fn serves(&self, item: Item) -> bool {
        self.holding.has(item) && !self.in_flight.as_ref().is_some_and(|order| order.evicts(item))
    }

    /// Whether something is on its way there.
    pub fn expects(&self, item: Item) -> bool {
        let comes = |order: &InFlight| order.operation == Operation::Load && order.item == item;
        let kept = |place: &Reservation| item == Item { model: place.model, adapter: None };
        self.in_flight.as_ref().is_some_and(comes) || self.reserved.as_ref().is_some_and(kept)
    }

    /// Whether a load of the model would surely come from the server's own disk.
    pub fn held_before(&self, model: ModelId) -> bool {
        self.held_before.contains(&model)
    }

    /// Room that may be taken, what is under way included, in MB.
    pub fn used_mb(&self, models: &ModelTable) -> f64 {
        let coming = self.in_flight.as_ref().filter(|order| order.operation == Operation::Load);
        let coming_mb = coming
            .filter(|order| !self.holding.has(order.item))
            .map_or(0.0, |order| models.size_mb(order.item));
        self.holding.used_mb(models) + coming_mb
    }

    /// Takes over a heartbeat's list. Heartbeats that come late are passed over; returns whether this one counts.
    pub fn heartbeat(&mut self, now: Millis, sequence: u64, listed: Option<&[Listed]>) -> bool {
        if self.heartbeat.is_some_and(|newest| sequence <= newest) {
            return false;
        }
        // A server that does not say what it holds cannot be ordered anything.
        let Some(listed) = listed else { return true };
        self.heartbeat = Some(sequence);
        self.note_disk(listed);
        let dropped = self.holding.absorb(now, listed, Source::Heartbeat);
        if !self.is_evicting_all(&dropped) {
            // It may be older than the orders that it contradicts.
            self.count.forget();
        }
        self.end_order_by_contents();
        if self.doubt.is_some_and(|doubt| doubt.ends_by_heartbeat(now)) {
            self.doubt = None;
        }
        true
    }

    /// Whether all of this goes by the eviction that is under way. The next order is refused until that has ended, so
    /// that it does no harm if the heartbeat is older than it seems.
    fn is_evicting_all(&self, dropped: &Dropped) -> bool {
        let eviction = self.in_flight.as_ref().filter(|order| order.accepted.is_some());
        let goes = |item: &Item| eviction.is_some_and(|order| order.evicts(*item));
        !dropped.nameless && dropped.items.iter().all(goes)
    }

    /// Ends an accepted order whose effect is there.
    fn end_order_by_contents(&mut self) {
        let holding = &self.holding;
        let done = |order: &mut InFlight| {
            order.accepted.is_some() && holding.has(order.item) == (order.operation == Operation::Load)
        };
        self.in_flight.take_if(done);
    }

    /// Takes over a report: what the server held once it had taken so many orders, and whether the last of them is
    /// still under way.
    pub fn report(&mut self, now: Millis, count: u64, busy: bool, listed: &[Listed]) {
        self.note_disk(listed);
        let unanswered = self.in_flight.as_ref().is_some_and(|order| order.accepted.is_none());
        let tells = |doubt: Doubt| doubt.ends_by_report(now, count);
        if unanswered || busy || self.count.is_beyond(count) || !self.doubt.is_none_or(tells) {
            return;
        }
        self.holding.absorb(now, listed, Source::Report);
        self.count.tell(count);
        // Carried out or failed: either way the list tells.
        (self.doubt, self.in_flight, self.awaits_count) = (None, None, false);
    }

    /// Only what a message lists has surely been there: an unanswered load may never have begun.
    fn note_disk(&mut self, listed: &[Listed]) {
        self.held_before.extend(listed.iter().filter_map(|entry| entry.model));
    }

    /// Notes an order that is sent.
    pub fn order(&mut self, order: InFlight) {
        self.ask_again = ASK_AGAIN;
        self.asked = order.sent;
        self.in_flight = Some(order);
    }

    /// The order was taken.
    pub fn accepted(&mut self, now: Millis) {
        if let Some(order) = &mut self.in_flight {
            order.accepted = Some(now);
            self.count.taken(order.named);
        }
    }

    /// The server says that there is nothing to do: what was known of it was wrong.
    pub fn already(&mut self, now: Millis) {
        let Some(order) = self.in_flight.take() else { return };
        match order.operation {
            Operation::Load => {
                self.holding.add(now, order.item);
                self.count.forget();
            }
            Operation::Evict => self.doubt_now(now, REPORT_LAG),
        }
    }

    /// The order was surely not taken; the next waits `pause` milliseconds.
    pub fn not_taken(&mut self, now: Millis, pause: Millis) {
        self.in_flight = None;
        self.blocked_until = now.saturating_add(pause);
    }

    /// Another order is under way, or the count of orders is another one: something was not known.
    pub fn busy(&mut self, now: Millis) {
        self.in_flight = None;
        self.doubt_now(now, REPORT_LAG);
    }

    /// The order may have been taken, or may still be.
    pub fn unanswered(&mut self, now: Millis) {
        let Some(order) = self.in_flight.take() else { return };
        if order.operation == Operation::Load {
            self.holding.add(now, order.item);
        }
        self.count.forget();
        self.doubt = Some(Doubt::of_unanswered(now, &order));
    }

    fn doubt_now(&mut self, now: Millis, report_after: Millis) {
        self.count.forget();
        self.doubt = Some(Doubt::of_unknown_order(now, report_after));
    }

    /// Ends what time alone ends.
    pub fn settle(&mut self, now: Millis) {
        let Some(order) = &self.in_flight else { return };
        let Some(accepted) = order.accepted else {
            if now.saturating_sub(order.sent) >= OUTCOME_WITHIN {
                self.unanswered(now);
            }
            return;
        };
        let item = order.item;
        if order.operation == Operation::Load && item.adapter.is_some() {
            if now.saturating_sub(accepted) >= ADAPTER_SETTLES {
                self.holding.add(now, item);
                self.in_flight = None;
            }
        } else if order.is_overdue(now) {
            self.in_flight = None;
            self.doubt_now(now, 0);
        }
    }

    /// Notes that an order waits for the count, which a report has to tell.
    pub fn await_count(&mut self) {
        if !self.awaits_count {
            (self.awaits_count, self.asked, self.ask_again) = (true, 0, ASK_AGAIN);
        }
    }

    /// It does not answer when it is asked for a report: an order that waits for the count goes elsewhere.
    pub fn unreported(&mut self, now: Millis, pause: Millis) {
        if self.awaits_count {
            (self.awaits_count, self.reserved) = (false, None);
            self.blocked_until = now.saturating_add(pause);
        }
    }

    /// Whether a report would tell something that is waited for. `wanted` says that the server could be used.
    /// Asking again takes longer each time.
    pub fn wants_report(&mut self, now: Millis, wanted: bool) -> bool {
        let due = match (&self.in_flight, self.doubt) {
            (Some(order), _) => order.accepted.map(|accepted| accepted + order.takes + REPORT_SOON),
            (None, Some(doubt)) if wanted || self.awaits_count => Some(doubt.report_from),
            (None, None) if self.awaits_count => Some(now),
            (None, _) => None,
        };
        let due = self.is_ready() && due.is_some_and(|due| now >= due);
        if !due || (self.asked != 0 && now < self.asked.saturating_add(self.ask_again)) {
            return false;
        }
        self.asked = now;
        self.ask_again = (self.ask_again * 2).min(ASK_AGAIN_MOST);
        true
    }
}
