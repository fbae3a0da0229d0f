//! Injection and repair of faults of processes, machines, disks and links.

use shaletrail_coordinator::core::shutdown::SHUTDOWN_GRACE;
use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use super::{Fleet, Machine, Process};
use crate::coordinator::CrashPoint;
use crate::disk::MachineDisk;
use crate::fixtures;
use crate::world::ScheduledEvent;

/// Interval of the check whether a coordinator that shuts down may exit, in milliseconds; as in the driver.
const SHUTDOWN_CHECK_INTERVAL: Millis = 20;
/// Time from an edge's SIGTERM to its exit, in milliseconds. All requests of the tests complete within it.
const EDGE_SHUTDOWN_TIME: Millis = 2_000;

impl Fleet {
    /// Kills a coordinator's or an edge's process while its machine stays up: connections are reset, files stay.
    pub fn kill(&mut self, node: NodeId) {
        let Some(process) = self.take_process(node) else { return };
        match (process, self.disks.get(&node)) {
            (Process::Coordinator(coordinator), Some(disk)) => coordinator.kill(&mut self.world, disk),
            (Process::Edge(edge), _) => edge.kill(&mut self.world),
            _ => {}
        }
        self.world.contact.set_running(self.world.now, node, false);
    }

    /// Begins a graceful shutdown (SIGTERM) of a coordinator's or an edge's process, which exits later.
    pub fn terminate(&mut self, node: NodeId) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let shutdown_time = match (&mut machine.process, self.disks.get(&node)) {
            (Some(Process::Coordinator(coordinator)), Some(disk)) => {
                coordinator.stop(&mut self.world, disk);
                SHUTDOWN_GRACE
            }
            (Some(Process::Edge(edge)), _) => {
                edge.stop(&mut self.world);
                EDGE_SHUTDOWN_TIME
            }
            _ => return,
        };
        self.world.contact.record_fault(self.world.now, node);
        let incarnation = self.world.incarnation_of(node);
        self.world.schedule_at(
            self.world.now + shutdown_time,
            ScheduledEvent::ShutdownCompleted { node, incarnation },
        );
    }

    /// Ends a process that shuts down. A coordinator that may not exit yet is checked again later.
    pub(super) fn complete_shutdown(&mut self, node: NodeId, incarnation: u64) {
        let process = self.machines.get(&node).and_then(|machine| machine.process.as_ref());
        let must_continue =
            matches!(process, Some(Process::Coordinator(coordinator)) if !coordinator.may_exit(&self.world));
        if must_continue {
            let at = self.world.now + SHUTDOWN_CHECK_INTERVAL;
            self.world.schedule_at(at, ScheduledEvent::ShutdownCompleted { node, incarnation });
        } else {
            self.kill(node);
        }
    }

    /// Cuts the power of a coordinator's or an edge's machine: its peers are not notified, and unsynced data may be lost.
    pub fn lose_power(&mut self, node: NodeId) {
        let Some(process) = self.take_process(node) else { return };
        if let (Process::Coordinator(coordinator), Some(disk)) = (process, self.disks.get(&node)) {
            coordinator.lose_power(&mut self.world, disk);
        }
        self.world.network.set_power(node, false);
        self.world.contact.set_running(self.world.now, node, false);
    }

    fn take_process(&mut self, node: NodeId) -> Option<Process> {
        let machine = self.machines.get_mut(&node)?;
        let process = machine.process.take()?;
        *machine = Machine::default();
        // Timers of this incarnation must not reach the next one.
        self.world.begin_incarnation(node);
        Some(process)
    }

    /// Sets the point at which a coordinator's process crashes.
    pub fn set_crash_point(&mut self, node: NodeId, point: CrashPoint) {
        if let Some(Machine { process: Some(Process::Coordinator(coordinator)), .. }) =
            self.machines.get_mut(&node)
        {
            coordinator.set_crash_point(point);
        }
    }

    /// Kills a coordinator's or an edge's process and restarts it immediately.
    pub fn restart(&mut self, node: NodeId) {
        self.kill(node);
        self.start(node);
    }

    /// Erases the disk of a coordinator's machine that runs no process.
    ///
    /// # Panics
    /// A process runs on the machine, or it has no disk.
    pub fn lose_disk(&mut self, node: NodeId) {
        assert!(!self.is_running(node), "the disk of {node} is in use");
        self.disks[&node].erase();
    }

    /// Freezes a process: it handles no events, while its clock keeps running.
    pub fn freeze(&mut self, node: NodeId) {
        self.begin_freeze(node);
        self.world.contact.record_fault(self.world.now, node);
    }

    /// Thaws a frozen process, which then handles all deferred events.
    pub fn thaw(&mut self, node: NodeId) {
        if self.is_frozen(node) {
            self.world.contact.record_fault(self.world.now, node);
            self.world.observer.connectivity_restored(self.world.now, node);
            self.end_freeze(node);
        }
    }

    /// Removes a coordinator permanently: its machine loses power without notice.
    pub fn remove_coordinator(&mut self, node: NodeId) {
        self.lose_power(node);
        self.world.network.set_power(node, false);
        self.world.contact.set_coordinator(node, false);
        let remaining = self.coordinators().into_iter().filter(|other| *other != node).collect();
        self.set_coordinators(remaining);
    }

    /// Adds and starts a coordinator with an empty disk. Its seeds are three of the current coordinators.
    pub fn join_coordinator(&mut self, node: NodeId) {
        let seeds = self.coordinators().into_iter().take(3).collect();
        self.join_coordinator_with_seeds(node, seeds);
    }

    /// Adds and starts a coordinator with an empty disk and these seeds.
    pub fn join_coordinator_with_seeds(&mut self, node: NodeId, seeds: Vec<NodeId>) {
        self.add_coordinator(node);
        let mut serving = self.coordinators();
        self.seeds.insert(node, seeds);
        serving.push(node);
        self.set_coordinators(serving);
        self.start(node);
    }

    /// Ends a model server's process without notice. Its disk keeps the models.
    pub fn crash_server(&mut self, node: NodeId) {
        if let Some(Process::Server(server)) = self.take_process(node) {
            let disk = server.kill(&mut self.world);
            self.model_disks.insert(node, disk);
        }
    }

    /// Makes a model server drain. It exits after `remaining` milliseconds if given, otherwise after its regular shutdown.
    pub fn drain_server(&mut self, node: NodeId, remaining: Option<Millis>) {
        if let Some(Machine { process: Some(Process::Server(server)), .. }) = self.machines.get_mut(&node) {
            server.drain(&mut self.world, remaining);
        }
    }

    // ---- Links -----------------------------------------------------------------------------------------

    /// Partitions or heals one direction of the link between two machines.
    pub fn partition_one_way(&mut self, from: NodeId, to: NodeId, partitioned: bool) {
        if !self.world.network.set_partitioned((from, to), partitioned) {
            return;
        }
        let now = self.world.now;
        self.world.contact.record_link_fault(now, from, to);
        if !partitioned {
            self.world.observer.connectivity_restored(now, from);
            self.world.observer.connectivity_restored(now, to);
        }
    }

    /// Partitions or heals both directions of the link between two machines.
    pub fn partition(&mut self, one: NodeId, other: NodeId, partitioned: bool) {
        self.partition_one_way(one, other, partitioned);
        self.partition_one_way(other, one, partitioned);
    }

    /// Partitions or heals all links between two groups of machines.
    pub fn partition_groups(&mut self, some: &[NodeId], others: &[NodeId], partitioned: bool) {
        for one in some {
            for other in others.iter().filter(|other| *other != one) {
                self.partition(*one, *other, partitioned);
            }
        }
    }

    /// Resets the connections of a link: messages in flight in this direction are lost.
    pub fn reset_link(&mut self, from: NodeId, to: NodeId) {
        self.world.network.reset((from, to));
    }

    /// Heals all partitions.
    pub fn heal_partitions(&mut self) {
        for (from, to) in self.world.network.partitions() {
            self.partition_one_way(from, to, false);
        }
    }

    // ---- Disks -----------------------------------------------------------------------------------------

    /// Sets which operations of a disk fail.
    pub fn set_disk_faults(&mut self, node: NodeId, faults: Faults) {
        self.change_disk(node, faults != Faults::default(), |disk| disk.set_faults(faults));
    }

    /// Stalls a disk, or ends the stall.
    pub fn set_disk_stalled(&mut self, node: NodeId, stalled: bool) {
        self.change_disk(node, stalled, |disk| disk.stalled = stalled);
    }

    /// Sets the latency of a write and its sync, in milliseconds.
    pub fn set_disk_latency(&mut self, node: NodeId, latency: std::ops::RangeInclusive<Millis>) {
        let slow = latency.end() > self.options.disk_latency.end();
        self.change_disk(node, slow, |disk| disk.latency = latency);
    }

    fn change_disk(&mut self, node: NodeId, slow: bool, change: impl FnOnce(&mut MachineDisk)) {
        if let Some(disk) = self.disks.get_mut(&node) {
            change(disk);
            self.world.contact.set_slow(self.world.now, node, slow);
        }
    }

    // ---- All machines ----------------------------------------------------------------------------------

    /// Stops all coordinators and edges, by a loss of power or a kill.
    pub fn stop_all(&mut self, power_loss: bool) {
        let nodes: Vec<NodeId> = self.coordinators().into_iter().chain(self.edges()).collect();
        for node in nodes {
            if power_loss {
                self.lose_power(node);
            } else {
                self.kill(node);
            }
        }
    }

    /// Starts all coordinators and edges that are not running, at random times within 300 ms.
    pub fn start_stopped(&mut self) {
        let mut nodes: Vec<NodeId> = self.coordinators().into_iter().chain(self.edges()).collect();
        nodes.retain(|node| !self.is_running(*node));
        for node in nodes {
            let at = self.world.now + self.world.random_range(0..=300);
            self.world.schedule_at(at, ScheduledEvent::Start(node));
        }
    }

    /// Repairs all faults of links and disks, thaws all processes and starts those that are not running.
    pub fn repair_all(&mut self) {
        self.heal_partitions();
        self.world.network.clear_link_conditions();
        for node in self.coordinators() {
            self.set_disk_faults(node, Faults::default());
            self.set_disk_stalled(node, false);
            self.set_disk_latency(node, self.options.disk_latency.clone());
            self.thaw(node);
        }
        for node in self.edges() {
            self.thaw(node);
        }
        self.start_stopped();
    }

    /// The address of the model server's machine with this number.
    pub fn server_at(&self, number: u8) -> NodeId {
        fixtures::server(number)
    }
}
