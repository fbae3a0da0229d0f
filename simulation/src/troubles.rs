//! What goes wrong with machines, disks and links.

use shaletrail_protocol::{Millis, NodeId};
use shaletrail_storage::fault_injection::Faults;

use crate::coordinator::CrashPoint;
use crate::disk::MachineDisk;
use crate::fleet::{Fleet, Machine, Process};
use crate::site;
use crate::world::Happening;

/// How long a coordinator that is told to end goes on, as in the driver.
const COORDINATOR_FAREWELL: Millis = 400;
/// How long an edge that is told to end goes on; enough for the requests of the tests.
const EDGE_FAREWELL: Millis = 2_000;

impl Fleet {
    /// Kills a coordinator's or an edge's process. Its machine goes on: connections are reset, files stay.
    pub fn kill(&mut self, node: NodeId) {
        let Some(process) = self.take_process(node) else { return };
        match (process, self.disks.get(&node)) {
            (Process::Coordinator(coordinator), Some(disk)) => coordinator.kill(&mut self.world, disk),
            (Process::Edge(edge), _) => edge.kill(&mut self.world),
            _ => {}
        }
        self.world.touch.set_running(self.world.now, node, false);
    }

    /// Tells a coordinator's or an edge's process to end (SIGTERM); it ends a little later.
    pub fn terminate(&mut self, node: NodeId) {
        let Some(machine) = self.machines.get_mut(&node) else { return };
        let farewell = match (&mut machine.process, self.disks.get(&node)) {
            (Some(Process::Coordinator(coordinator)), Some(disk)) => {
                coordinator.stop(&mut self.world, disk);
                COORDINATOR_FAREWELL
            }
            (Some(Process::Edge(edge)), _) => {
                edge.stop(&mut self.world);
                EDGE_FAREWELL
            }
            _ => return,
        };
        self.world.touch.disturb(self.world.now, node);
        let start = self.world.start_of(node);
        self.world.at(self.world.now + farewell, Happening::End { node, start });
    }

    /// A coordinator's or an edge's machine loses power: nobody is told, and what was not synced may be gone.
    pub fn lose_power(&mut self, node: NodeId) {
        let Some(process) = self.take_process(node) else { return };
        if let (Process::Coordinator(coordinator), Some(disk)) = (process, self.disks.get(&node)) {
            coordinator.lose_power(&mut self.world, disk);
        }
        self.world.network.set_power(node, false);
        self.world.touch.set_running(self.world.now, node, false);
    }

    fn take_process(&mut self, node: NodeId) -> Option<Process> {
        let machine = self.machines.get_mut(&node)?;
        let process = machine.process.take()?;
        *machine = Machine::default();
        // What it was to be woken for concerns nobody any more.
        self.world.begin_start(node);
        Some(process)
    }

    /// Has a coordinator's process end in the middle of its work.
    pub fn crash_at(&mut self, node: NodeId, point: CrashPoint) {
        if let Some(Machine { process: Some(Process::Coordinator(coordinator)), .. }) =
            self.machines.get_mut(&node)
        {
            coordinator.crash_at(point);
        }
    }

    /// Kills a coordinator's or an edge's process and starts it again at once.
    pub fn restart(&mut self, node: NodeId) {
        self.kill(node);
        self.start(node);
    }

    /// A machine's disk loses all that it holds. Only while no process runs there.
    ///
    /// # Panics
    /// A process runs there, or there is no such machine.
    pub fn wipe(&mut self, node: NodeId) {
        assert!(!self.is_running(node), "the disk of {node} is in use");
        self.disks[&node].wipe();
    }

    /// Freezes a process: nothing reaches it, and its clock goes on.
    pub fn freeze(&mut self, node: NodeId) {
        self.set_frozen(node);
        self.world.touch.disturb(self.world.now, node);
    }

    /// Thaws a process.
    pub fn thaw(&mut self, node: NodeId) {
        if self.is_frozen(node) {
            self.world.touch.disturb(self.world.now, node);
            self.world.witness.heals(self.world.now, node);
            self.set_thawed(node);
        }
    }

    /// A coordinator is removed for good, and loses its power without a word.
    pub fn remove_coordinator(&mut self, node: NodeId) {
        self.lose_power(node);
        self.world.network.set_power(node, false);
        self.world.touch.set_core(node, false);
        let rest = self.coordinators().into_iter().filter(|other| *other != node).collect();
        self.set_coordinators(rest);
    }

    /// A coordinator joins, at a new address and with an empty disk. Its seeds are those that serve now.
    pub fn join_coordinator(&mut self, node: NodeId) {
        let seeds = self.coordinators().into_iter().take(3).collect();
        self.join_coordinator_by(node, seeds);
    }

    /// A coordinator joins, at a new address and with an empty disk, by seeds of its own.
    pub fn join_coordinator_by(&mut self, node: NodeId, seeds: Vec<NodeId>) {
        self.add_coordinator(node);
        let mut serving = self.coordinators();
        self.seeds.insert(node, seeds);
        serving.push(node);
        self.set_coordinators(serving);
        self.start(node);
    }

    /// A model server's process ends without a word. Its disk stays.
    pub fn crash_server(&mut self, node: NodeId) {
        if let Some(Process::Server(server)) = self.take_process(node) {
            let disk = server.kill(&mut self.world);
            self.model_disks.insert(node, disk);
        }
    }

    /// A model server leaves as planned, or at short notice.
    pub fn drain_server(&mut self, node: NodeId, remaining: Option<Millis>) {
        if let Some(Machine { process: Some(Process::Server(server)), .. }) = self.machines.get_mut(&node) {
            server.leave(&mut self.world, remaining);
        }
    }

    // ---- Links -----------------------------------------------------------------------------------------

    /// Cuts or joins one direction between two machines.
    pub fn cut_one_way(&mut self, from: NodeId, to: NodeId, cut: bool) {
        if !self.world.network.set_cut((from, to), cut) {
            return;
        }
        let now = self.world.now;
        self.world.touch.disturb_link(now, from, to);
        if !cut {
            self.world.witness.heals(now, from);
            self.world.witness.heals(now, to);
        }
    }

    /// Cuts or joins two machines, both ways.
    pub fn cut(&mut self, one: NodeId, other: NodeId, cut: bool) {
        self.cut_one_way(one, other, cut);
        self.cut_one_way(other, one, cut);
    }

    /// Cuts two groups of machines from each other, or joins them.
    pub fn split(&mut self, some: &[NodeId], others: &[NodeId], cut: bool) {
        for one in some {
            for other in others.iter().filter(|other| *other != one) {
                self.cut(*one, *other, cut);
            }
        }
    }

    /// The connections of a link are reset: what is on its way from one machine to the other is lost.
    pub fn reset_link(&mut self, from: NodeId, to: NodeId) {
        self.world.network.reset((from, to));
    }

    /// Joins all links.
    pub fn join_all(&mut self) {
        for (from, to) in self.world.network.cuts() {
            self.cut_one_way(from, to, false);
        }
    }

    // ---- Disks -----------------------------------------------------------------------------------------

    /// Sets what a disk refuses.
    pub fn set_disk_faults(&mut self, node: NodeId, faults: Faults) {
        self.trouble_disk(node, faults != Faults::default(), |disk| disk.set_faults(faults));
    }

    /// Has a disk hang, or go on.
    pub fn set_disk_stalled(&mut self, node: NodeId, stalled: bool) {
        self.trouble_disk(node, stalled, |disk| disk.stalled = stalled);
    }

    /// Sets the time that a write with its sync takes.
    pub fn set_disk_speed(&mut self, node: NodeId, takes: std::ops::RangeInclusive<Millis>) {
        let slow = takes.end() > self.options.disk.end();
        self.trouble_disk(node, slow, |disk| disk.takes = takes);
    }

    fn trouble_disk(&mut self, node: NodeId, slow: bool, change: impl FnOnce(&mut MachineDisk)) {
        if let Some(disk) = self.disks.get_mut(&node) {
            change(disk);
            self.world.touch.set_slow(self.world.now, node, slow);
        }
    }

    // ---- All at once -----------------------------------------------------------------------------------

    /// All coordinators and edges lose power, or are killed.
    pub fn lose_all(&mut self, power: bool) {
        let nodes: Vec<NodeId> = self.coordinators().into_iter().chain(self.edges()).collect();
        for node in nodes {
            if power {
                self.lose_power(node);
            } else {
                self.kill(node);
            }
        }
    }

    /// Starts all coordinators and edges that don't run, within 300 ms.
    pub fn start_missing(&mut self) {
        let mut nodes: Vec<NodeId> = self.coordinators().into_iter().chain(self.edges()).collect();
        nodes.retain(|node| !self.is_running(*node));
        for node in nodes {
            let at = self.world.now + self.world.between(0..=300);
            self.world.at(at, Happening::Start(node));
        }
    }

    /// The trouble ends everywhere: links, disks, freezes, processes.
    pub fn heal_all(&mut self) {
        self.join_all();
        self.world.network.clear_special();
        for node in self.coordinators() {
            self.set_disk_faults(node, Faults::default());
            self.set_disk_stalled(node, false);
            self.set_disk_speed(node, self.options.disk.clone());
            self.thaw(node);
        }
        for node in self.edges() {
            self.thaw(node);
        }
        self.start_missing();
    }

    /// The model server's machine of a number, for short.
    pub fn server_at(&self, number: u8) -> NodeId {
        site::server(number)
    }
}
