//! A registry that runs as one process per replica, with a fault-injecting relay in each link between two replicas.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use shaletrail_registry_client::clock::WALL_CLOCK_OFFSET_VAR;

use crate::link::{Link, LinkCondition};
use crate::observer::get;
use crate::process::{wait_for, Process, TempFolder};

/// A loopback address that successive processes can bind. Its port is below the kernel's ephemeral range, so that no
/// outgoing connection takes it between two of these processes. This process gets each address only once.
///
/// # Panics
/// No port is free.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let start = (std::process::id() % 1_000 * 1_009 % 20_000) as u16;
    for _ in 0..20_000 {
        let port = 10_000 + start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % 20_000;
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
    panic!("no port is free");
}

/// Name of the configuration file that all replicas share.
const CONFIG_FILE: &str = "service.toml";

/// One replica. Its addresses and its data outlive its process.
pub struct Replica {
    pub name: String,
    /// Where nodes read the list of servers.
    pub discovery: SocketAddr,
    /// Where changes and operators' requests go.
    pub ops: SocketAddr,
    /// Where other replicas connect.
    pub replica_addr: SocketAddr,
    pub data: PathBuf,
    /// `None` while it is not running.
    pub process: Option<Process>,
}

/// A registry of one or more replicas.
pub struct RegistryCluster {
    program: PathBuf,
    pub folder: TempFolder,
    pub replicas: Vec<Replica>,
    /// The link from one replica to another, by their indices.
    pub links: BTreeMap<(usize, usize), Link>,
}

impl RegistryCluster {
    /// Starts this many replicas and waits until all are ready.
    pub fn start(program: &Path, name: &str, count: usize) -> RegistryCluster {
        RegistryCluster::start_with(program, name, count, "")
    }

    /// Like [`RegistryCluster::start`], with the text of the configuration file.
    ///
    /// # Panics
    /// The file can't be written.
    pub fn start_with(program: &Path, name: &str, count: usize, settings: &str) -> RegistryCluster {
        let folder = TempFolder::new(name);
        std::fs::write(folder.0.join(CONFIG_FILE), settings).expect("the configuration file can be written");
        let new_replica = |n: usize| {
            let name = format!("r{}", n + 1);
            let data = folder.0.join(&name);
            Replica {
                name,
                discovery: free_addr(),
                ops: free_addr(),
                replica_addr: free_addr(),
                data,
                process: None,
            }
        };
        let replicas: Vec<Replica> = (0..count).map(new_replica).collect();
        let mut links = BTreeMap::new();
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                links.insert((from, to), Link::to(replicas[to].replica_addr));
            }
        }
        let mut cluster = RegistryCluster { program: program.to_owned(), folder, replicas, links };
        for n in 0..count {
            cluster.launch(n);
        }
        for n in 0..count {
            cluster.wait_until_ready(n);
        }
        cluster
    }

    /// The command that starts a replica.
    pub fn command(&self, n: usize) -> Command {
        let replica = &self.replicas[n];
        let mut command = Command::new(&self.program);
        command.args(["registry", "--config"]).arg(self.folder.0.join(CONFIG_FILE));
        command.args(["--name", &replica.name, "--data"]).arg(&replica.data);
        command.env(WALL_CLOCK_OFFSET_VAR, self.wall_clock_file(n));
        command.args(["--discovery", &replica.discovery.to_string(), "--ops", &replica.ops.to_string()]);
        if self.replicas.len() > 1 {
            let peer = |to: usize| {
                let addr = self.links.get(&(n, to)).map_or(replica.replica_addr, |link| link.addr);
                format!("{}={addr}", self.replicas[to].name)
            };
            let peers: Vec<String> = (0..self.replicas.len()).map(peer).collect();
            command.args(["--replica", &replica.replica_addr.to_string(), "--peers", &peers.join(",")]);
        }
        command
    }

    /// The file through which a test shifts the wall clock of this replica.
    pub fn wall_clock_file(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("{}.wall", self.replicas[n].name))
    }

    /// Path of the log file of replica `n`, which is kept across restarts.
    pub fn log(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("{}.log", self.replicas[n].name))
    }

    /// Starts the process of replica `n` without waiting until it is ready.
    pub fn launch(&mut self, n: usize) {
        let process = Process::start(&mut self.command(n), &self.log(n));
        self.replicas[n].process = Some(process);
    }

    /// The process of replica `n`.
    ///
    /// # Panics
    /// When the replica is not running.
    pub fn process(&self, n: usize) -> &Process {
        self.replicas[n].process.as_ref().expect("the replica is running")
    }

    /// Waits until the process of replica `n` reports that it is ready.
    ///
    /// # Panics
    /// When the replica is not running or does not become ready in time.
    pub fn wait_until_ready(&self, n: usize) {
        self.process(n).wait_for_line("ready");
    }

    /// Ends the process of replica `n` by dropping it; its data stays for the next launch.
    pub fn kill(&mut self, n: usize) {
        self.replicas[n].process = None;
    }

    /// Operations addresses of all replicas, running or not.
    pub fn ops(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|replica| replica.ops).collect()
    }

    /// Discovery addresses of all replicas, running or not.
    pub fn discovery(&self) -> Vec<SocketAddr> {
        self.replicas.iter().map(|replica| replica.discovery).collect()
    }

    /// The replica that reports to be the leader and ready.
    pub fn leader(&self) -> Option<usize> {
        (0..self.replicas.len()).find(|n| {
            let status = self.replicas[*n].process.as_ref().and_then(|_| self.status(*n));
            status.is_some_and(|s| s["role"] == "leader" && s["not_ready"].is_null())
        })
    }

    /// The status that replica `n` reports; `None` when it can't be read.
    pub fn status(&self, n: usize) -> Option<serde_json::Value> {
        get(self.replicas[n].ops, "/registry/status").ok()
    }

    /// Waits for a replica that is the leader and ready, and returns its index.
    ///
    /// # Panics
    /// When there is none in time.
    pub fn wait_for_leader(&self) -> usize {
        wait_for("the registry has a leader", || self.leader())
    }

    /// Sets the conditions from `a` to `b` and from `b` to `a`, on the connections that either of them opens.
    pub fn set_link(&self, a: usize, b: usize, a_to_b: LinkCondition, b_to_a: LinkCondition) {
        if let Some(link) = self.links.get(&(a, b)) {
            link.set(a_to_b, b_to_a);
        }
        if let Some(link) = self.links.get(&(b, a)) {
            link.set(b_to_a, a_to_b);
        }
    }

    /// Sets the conditions from one replica to all others, and from them back to it.
    pub fn isolate(&self, n: usize, outbound: LinkCondition, inbound: LinkCondition) {
        for other in (0..self.replicas.len()).filter(|other| *other != n) {
            self.set_link(n, other, outbound, inbound);
        }
    }

    /// Restores all links, starts or resumes every replica and waits until all are ready.
    pub fn heal(&mut self) {
        for link in self.links.values() {
            link.heal();
        }
        for n in 0..self.replicas.len() {
            match &self.replicas[n].process {
                Some(process) => process.signal("CONT"),
                None => self.launch(n),
            }
        }
        for n in 0..self.replicas.len() {
            wait_for(&format!("{} is ready", self.replicas[n].name), || {
                let status = self.status(n)?;
                status["not_ready"].is_null().then_some(())
            });
        }
    }
}

/// Blocks the thread for this many milliseconds.
pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
