//! Passes events to the coordinator's state machine and executes the actions that it returns.

mod calls;
pub mod log;
mod pending_calls;

use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use shaletrail_protocol::settings::Settings;
use shaletrail_protocol::{Millis, ServerId};
use shaletrail_storage::WriterEvent;
use slog::Logger;
use tokio::sync::mpsc::UnboundedReceiver;

use super::journal::{self, JournalQueue, OpenedJournal};
use super::order_client::{fetch_report, send_order, OutgoingOrder};
use super::peers::PeerConnections;
use crate::core::Coordinator;
use crate::interface::{Action, CoordinatorOptions, Event, OrderId};
use pending_calls::PendingCalls;

/// The time at which the clock of events starts, in milliseconds. It is not 0, so that subtracting a timeout from a
/// time never underflows.
const CLOCK_START: Millis = 1_000_000;

/// Owns a coordinator's state machine and everything that executes its actions. Used on a single thread only.
pub struct CoordinatorDriver {
    state: RefCell<State>,
    started_at: Instant,
    /// A weak reference to this `CoordinatorDriver`, from which methods get the `Rc` that they move into a spawned
    /// task.
    weak_self: Weak<CoordinatorDriver>,
    log: Logger,
}

struct State {
    coordinator: Coordinator,
    peers: PeerConnections,
    journal: JournalQueue,
    calls: PendingCalls,
}

impl CoordinatorDriver {
    /// Starts a coordinator from the records of its journal. Must be called within a `LocalSet`.
    pub fn start(
        options: CoordinatorOptions,
        settings: &Settings,
        opened: OpenedJournal,
        log: Logger,
    ) -> Rc<CoordinatorDriver> {
        let peers = PeerConnections::new(options.node, options.incarnation, settings.internal_port());
        let coordinator = Coordinator::new(options, opened.stored, CLOCK_START);
        let wants_checkpoint = opened.journal.wants_checkpoint();
        let (journal, reports) = JournalQueue::start(opened.journal);
        let state = State { coordinator, peers, journal, calls: PendingCalls::default() };
        let driver = Rc::new_cyclic(|weak_self| CoordinatorDriver {
            state: RefCell::new(state),
            started_at: Instant::now(),
            weak_self: weak_self.clone(),
            log,
        });
        tokio::task::spawn_local(Rc::clone(&driver).receive_journal_reports(reports));
        driver.handle(Event::Persisted { ticket: 0, wants_checkpoint });
        driver
    }

    /// The current time of the clock of events, in milliseconds.
    pub fn now(&self) -> Millis {
        CLOCK_START + self.started_at.elapsed().as_millis() as Millis
    }

    /// Passes an event to the state machine and executes the resulting actions.
    pub fn handle(&self, event: Event) {
        let now = self.now();
        let mut actions = Vec::new();
        let mut state = self.state.borrow_mut();
        // Must be checked before pending appends are submitted: appends that are still pending show that the disk is
        // degraded.
        let is_degraded = matches!(event, Event::Tick) && state.journal.is_disk_degraded();
        state.journal.submit_pending();
        state.coordinator.handle(now, event, &mut actions);
        if is_degraded {
            state.coordinator.handle(now, Event::DiskDegraded { wants_checkpoint: false }, &mut actions);
        }
        for action in actions {
            self.execute(&mut state, action);
        }
    }

    fn execute(&self, state: &mut State, action: Action) {
        match action {
            Action::Send { to, message } => state.peers.send(to, &message),
            Action::Persist { ticket, records } => state.journal.append(ticket, records),
            Action::Checkpoint { live } => state.journal.checkpoint(live),
            Action::RespondToServer { call, accepted } => state.calls.respond_to_server(call, accepted),
            Action::RespondToOperator { call, response } => state.calls.respond_to_operator(call, response),
            Action::RespondToPoll { call, response } => state.calls.respond_to_poll(call, response),
            Action::SendOrder { order, server, address, body } => {
                self.send_order(order, OutgoingOrder { server, address, body });
            }
            Action::FetchReport { server, address } => self.fetch_report(server, address),
            Action::LogStateChange(change) => log::log_state_change(&self.log, &change),
        }
    }

    fn send_order(&self, order: OrderId, outgoing: OutgoingOrder) {
        let Some(driver) = self.weak_self.upgrade() else { return };
        let guard = Rc::clone(&driver);
        tokio::task::spawn_local(async move {
            let outcome = send_order(&outgoing, move || guard.may_write(order)).await;
            log::log_order(&driver.log, &outgoing, outcome);
            driver.handle(Event::OrderCompleted { order, outcome });
        });
    }

    /// Whether an order may be written to its server now.
    fn may_write(&self, order: OrderId) -> bool {
        self.state.borrow().coordinator.may_write(self.now(), order)
    }

    fn fetch_report(&self, server: ServerId, address: String) {
        let Some(driver) = self.weak_self.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let report = fetch_report(&server, &address).await;
            if let Some(report) = &report {
                log::log_server_report(&driver.log, &server, report);
            }
            driver.handle(Event::ReportReceived { server, report });
        });
    }

    /// Handles the reports of the journal's thread until it stops.
    async fn receive_journal_reports(self: Rc<Self>, mut reports: UnboundedReceiver<WriterEvent>) {
        while let Some(report) = reports.recv().await {
            log::log_journal_failure(&self.log, &report);
            match &report {
                WriterEvent::Checkpointed { .. } | WriterEvent::CheckpointFailed { .. } => {
                    self.checkpoint_ended();
                }
                WriterEvent::Synced { .. } | WriterEvent::SyncFailed { .. } => {}
                WriterEvent::Stopped => return,
            }
            if let Some(event) = journal::event_for_report(&report) {
                self.handle(event);
            }
        }
    }

    /// Submits the appends that the journal's thread did not accept while it was writing a checkpoint.
    fn checkpoint_ended(&self) {
        let mut state = self.state.borrow_mut();
        state.journal.checkpoint_ended();
        state.journal.submit_pending();
    }

    /// Begins a graceful shutdown: transfers leaderships, and cancels pending calls, which are answered as
    /// unavailable.
    pub fn shut_down(&self) {
        self.handle(Event::ShutdownRequested);
        self.state.borrow_mut().calls.cancel_all();
    }

    /// Whether the process may exit, when `elapsed` has passed since the shutdown was requested.
    pub fn may_exit(&self, elapsed: Duration) -> bool {
        self.state.borrow().coordinator.may_exit(elapsed.as_millis() as Millis)
    }
}
