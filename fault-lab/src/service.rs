//! Replicas of the list service as processes, each link between two of them one that can fail.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use shaletrail_registry_client::clock::WALL_STEP;

use crate::link::{Link, Way};
use crate::observer::get;
use crate::process::{wait_for, Process, TempFolder};

/// An address that a process can have again and again: below the ports that the system gives to connections by
/// itself, so that none of those takes it between two of its processes, and given once.
///
/// # Panics
/// When no port is free.
pub fn free() -> SocketAddr {
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

/// The replicas' common configuration file.
const SETTINGS: &str = "service.toml";

/// One replica's place: its addresses and its data outlive its process.
pub struct Place {
    pub name: String,
    pub discovery: SocketAddr,
    pub ops: SocketAddr,
    pub replica: SocketAddr,
    pub data: PathBuf,
    pub process: Option<Process>,
}

/// A service of some replicas.
pub struct Service {
    program: PathBuf,
    pub folder: TempFolder,
    pub places: Vec<Place>,
    /// From one replica to another, by their places.
    pub links: BTreeMap<(usize, usize), Link>,
}

impl Service {
    /// Starts so many replicas and waits until all answer.
    pub fn start(program: &Path, name: &str, replicas: usize) -> Service {
        Service::start_with(program, name, replicas, "")
    }

    /// The same with settings of a configuration file.
    ///
    /// # Panics
    /// When the file can't be written.
    pub fn start_with(program: &Path, name: &str, replicas: usize, settings: &str) -> Service {
        let folder = TempFolder::new(name);
        std::fs::write(folder.0.join(SETTINGS), settings).expect("a configuration");
        let place = |n: usize| {
            let name = format!("r{}", n + 1);
            let data = folder.0.join(&name);
            Place { name, discovery: free(), ops: free(), replica: free(), data, process: None }
        };
        let places: Vec<Place> = (0..replicas).map(place).collect();
        let mut links = BTreeMap::new();
        for from in 0..replicas {
            for to in (0..replicas).filter(|to| *to != from) {
                links.insert((from, to), Link::to(places[to].replica));
            }
        }
        let mut service = Service { program: program.to_owned(), folder, places, links };
        for n in 0..replicas {
            service.launch(n);
        }
        for n in 0..replicas {
            service.ready(n);
        }
        service
    }

    /// The command that starts a replica.
    pub fn command(&self, n: usize) -> Command {
        let place = &self.places[n];
        let mut command = Command::new(&self.program);
        command.args(["registry", "--config"]).arg(self.folder.0.join(SETTINGS));
        command.args(["--name", &place.name, "--data"]).arg(&place.data);
        command.env(WALL_STEP, self.wall(n));
        command.args(["--discovery", &place.discovery.to_string(), "--ops", &place.ops.to_string()]);
        if self.places.len() > 1 {
            let peer = |to: usize| {
                let addr = self.links.get(&(n, to)).map_or(place.replica, |link| link.addr);
                format!("{}={addr}", self.places[to].name)
            };
            let peers: Vec<String> = (0..self.places.len()).map(peer).collect();
            command.args(["--replica", &place.replica.to_string(), "--peers", &peers.join(",")]);
        }
        command
    }

    /// Where a play steps the wall clock of this replica.
    pub fn wall(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("{}.wall", self.places[n].name))
    }

    pub fn log(&self, n: usize) -> PathBuf {
        self.folder.0.join(format!("{}.log", self.places[n].name))
    }

    pub fn launch(&mut self, n: usize) {
        let process = Process::start(&mut self.command(n), &self.log(n));
        self.places[n].process = Some(process);
    }

    pub fn process(&self, n: usize) -> &Process {
        self.places[n].process.as_ref().expect("a running replica")
    }

    pub fn ready(&self, n: usize) {
        self.process(n).wait_for_line("ready");
    }

    pub fn kill(&mut self, n: usize) {
        self.places[n].process = None;
    }

    pub fn ops(&self) -> Vec<SocketAddr> {
        self.places.iter().map(|place| place.ops).collect()
    }

    pub fn discovery(&self) -> Vec<SocketAddr> {
        self.places.iter().map(|place| place.discovery).collect()
    }

    /// Whoever says that it leads and is ready.
    pub fn leader(&self) -> Option<usize> {
        (0..self.places.len()).find(|n| {
            let status = self.places[*n].process.as_ref().and_then(|_| self.status(*n));
            status.is_some_and(|s| s["role"] == "leader" && s["not_ready"].is_null())
        })
    }

    pub fn status(&self, n: usize) -> Option<serde_json::Value> {
        get(self.places[n].ops, "/registry/status").ok()
    }

    pub fn wait_for_leader(&self) -> usize {
        wait_for("a leader", || self.leader())
    }

    /// Sets the ways from one replica to another and back, whoever of them connects.
    pub fn between(&self, a: usize, b: usize, there: Way, back: Way) {
        if let Some(link) = self.links.get(&(a, b)) {
            link.set(there, back);
        }
        if let Some(link) = self.links.get(&(b, a)) {
            link.set(back, there);
        }
    }

    /// Cuts one replica off from all others, one way or both.
    pub fn isolate(&self, n: usize, out: Way, back: Way) {
        for other in (0..self.places.len()).filter(|other| *other != n) {
            self.between(n, other, out, back);
        }
    }

    /// All links as good as new, and every replica running and ready.
    pub fn heal(&mut self) {
        for link in self.links.values() {
            link.heal();
        }
        for n in 0..self.places.len() {
            match &self.places[n].process {
                Some(process) => process.signal("CONT"),
                None => self.launch(n),
            }
        }
        for n in 0..self.places.len() {
            wait_for(&format!("{} is ready", self.places[n].name), || {
                let status = self.status(n)?;
                status["not_ready"].is_null().then_some(())
            });
        }
    }
}

/// Between two looks of a play at what happens.
pub fn pause(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}
