//! Brings events to the coordinator's decisions and carries out the actions that they return.

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

/// Where the clock of events begins, in milliseconds: late enough that subtracting any timeout stays above 0.
const CLOCK_START: Millis = 1_000_000;

/// Owns a coordinator's decisions and everything that carries out its actions. Lives on one thread.
pub struct Host {
    state: RefCell<State>,
    started_at: Instant,
    /// For the tasks that outlast the call that starts them.
    weak_self: Weak<Host>,
    log: Logger,
}

struct State {
    coordinator: Coordinator,
    peers: PeerConnections,
    journal: JournalQueue,
    calls: PendingCalls,
}

impl Host {
    /// Starts a coordinator with the records of its journal. Needs a `LocalSet`.
    pub fn start(
        options: CoordinatorOptions,
        settings: &Settings,
        opened: OpenedJournal,
        log: Logger,
    ) -> Rc<Host> {
        let peers = PeerConnections::new(options.node, options.incarnation, settings.internal_port());
        let coordinator = Coordinator::new(options, opened.stored, CLOCK_START);
        let wants_checkpoint = opened.journal.wants_checkpoint();
        let (journal, reports) = JournalQueue::start(opened.journal);
        let state = State { coordinator, peers, journal, calls: PendingCalls::default() };
        let host = Rc::new_cyclic(|weak_self| Host {
            state: RefCell::new(state),
            started_at: Instant::now(),
            weak_self: weak_self.clone(),
            log,
        });
        tokio::task::spawn_local(Rc::clone(&host).receive_journal_reports(reports));
        host.handle(Event::Persisted { ticket: 0, wants_checkpoint });
        host
    }

    /// The time that events carry, in milliseconds.
    pub fn now(&self) -> Millis {
        CLOCK_START + self.started_at.elapsed().as_millis() as Millis
    }

    /// Handles an event and carries out the actions that follow from it.
    pub fn handle(&self, event: Event) {
        let now = self.now();
        let mut actions = Vec::new();
        let mut state = self.state.borrow_mut();
        // Asked before pending appends are submitted: their wait is what tells that the disk is degraded.
        let is_degraded = matches!(event, Event::Tick) && state.journal.is_late();
        state.journal.submit_pending();
        state.coordinator.handle(now, event, &mut actions);
        if is_degraded {
            state.coordinator.handle(now, Event::DiskDegraded { wants_checkpoint: false }, &mut actions);
        }
        for action in actions {
            self.carry_out(&mut state, action);
        }
    }

    fn carry_out(&self, state: &mut State, action: Action) {
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
        let Some(host) = self.weak_self.upgrade() else { return };
        let guard = Rc::clone(&host);
        tokio::task::spawn_local(async move {
            let outcome = send_order(&outgoing, move || guard.may_write(order)).await;
            log::log_order(&host.log, &outgoing, outcome);
            host.handle(Event::OrderCompleted { order, outcome });
        });
    }

    /// Whether an order may be written to its server at this moment.
    fn may_write(&self, order: OrderId) -> bool {
        self.state.borrow().coordinator.may_write(self.now(), order)
    }

    fn fetch_report(&self, server: ServerId, address: String) {
        let Some(host) = self.weak_self.upgrade() else { return };
        tokio::task::spawn_local(async move {
            let report = fetch_report(&server, &address).await;
            if let Some(report) = &report {
                log::log_server_report(&host.log, &server, report);
            }
            host.handle(Event::ReportReceived { server, report });
        });
    }

    /// Handles the reports of the journal's thread until it ends.
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
            if let Some(event) = journal::event_of(&report) {
                self.handle(event);
            }
        }
    }

    /// Submits the appends that the journal's thread did not accept during a checkpoint.
    fn checkpoint_ended(&self) {
        let mut state = self.state.borrow_mut();
        state.journal.checkpoint_ended();
        state.journal.submit_pending();
    }

    /// Begins a graceful shutdown: leaderships are transferred, and pending calls end as unavailable.
    pub fn shut_down(&self) {
        self.handle(Event::ShutdownRequested);
        self.state.borrow_mut().calls.cancel_all();
    }

    /// Whether the process may end, so long after it was told to.
    pub fn may_end(&self, elapsed: Duration) -> bool {
        self.state.borrow().coordinator.may_exit(elapsed.as_millis() as Millis)
    }
}
