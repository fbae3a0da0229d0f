//! A scenario: what fleet runs, under what load, what fails when, and what must hold. A TOML file.
//!
//! Times are in seconds from the start of the judged part unless a name says otherwise.

use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// Most requests that one run may hold; they are all kept until it is judged.
pub const MOST_REQUESTS: f64 = 1_000_000.0;
const MOST_SERVERS: usize = 400;
const MOST_NODES: usize = 60;
const LONGEST_S: f64 = 1_800.0;

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// One sentence on what it shows.
    pub about: String,
    #[serde(default = "one")]
    pub seed: u64,
    /// Length of the judged part.
    pub seconds: f64,
    /// Load before the judged part, in which caches fill; the origin is as quick as can be meanwhile.
    #[serde(default = "lead")]
    pub lead_s: f64,
    /// A run whose own lateness (planned against actual send, p99) is over this many milliseconds is void.
    #[serde(default = "lateness")]
    pub lateness_ms: f64,
    #[serde(default)]
    pub fleet: FleetSpec,
    #[serde(default)]
    pub servers: ServerSpec,
    #[serde(default)]
    pub origin: OriginSpec,
    #[serde(default)]
    pub load: Load,
    #[serde(default)]
    pub link: LinkSpec,
    #[serde(default = "classes", rename = "class")]
    pub classes: Vec<Class>,
    #[serde(default = "tenants", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub hold: Hold,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSpec {
    pub zones: Vec<String>,
    /// Nodes of the whole fleet, dealt out over the zones; servers likewise.
    pub nodes: usize,
    pub servers: usize,
    pub replicas: usize,
    /// Whether nodes may send each other messages.
    pub peers: bool,
    /// Lease of a server's entry in the list.
    pub lease_s: f64,
    /// Each server has an agent that is a process of its own, instead of the agent's library in the lab.
    pub agent_processes: bool,
    /// What a node may use.
    pub memory_mb: u32,
    pub sockets: u32,
}

impl Default for FleetSpec {
    fn default() -> Self {
        FleetSpec {
            zones: ["marousi", "halandri", "kallithea"].map(str::to_owned).to_vec(),
            nodes: 3,
            servers: 15,
            replicas: 1,
            peers: true,
            lease_s: 4.0,
            agent_processes: false,
            memory_mb: 192,
            sockets: 1024,
        }
    }
}

/// A cache server. Kinds differ in speed only.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerSpec {
    pub cores: f64,
    /// Speeds, dealt out in turn; a core of speed 1 does a second of work in a second.
    pub speeds: Vec<f64>,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests waiting beside those.
    pub waiting: usize,
    /// Connections that it holds; more are refused.
    pub connections: usize,
    /// Work of a new connection, which its first request bears.
    pub handshake_ms: f64,
    /// Work of telling that a key is not kept, and of a probe.
    pub miss_ms: f64,
    pub probe_ms: f64,
    /// Values kept; the one used longest ago goes.
    pub keeps: usize,
    /// Share of its capacity at its start, and how long until it is warm when it does nothing.
    pub cold_from: f64,
    pub cold_s: f64,
    /// Requests served that warm it whatever the time; 0: only time does.
    pub warm_by_requests: u64,
    /// Stands still for `pause_ms` every `pause_every_s` (0: never).
    pub pause_every_s: f64,
    pub pause_ms: f64,
    /// Share of reads answered with 500.
    pub errors: f64,
    /// How old its load report may be.
    pub report_ms: f64,
    /// How long it finishes what it has after it said goodbye.
    pub drain_s: f64,
}

impl Default for ServerSpec {
    fn default() -> Self {
        ServerSpec {
            cores: 2.0,
            speeds: vec![1.6, 1.0, 1.0, 0.6],
            slots: 2,
            waiting: 5,
            connections: 1_200,
            handshake_ms: 3.0,
            miss_ms: 2.0,
            probe_ms: 0.04,
            keeps: 400,
            cold_from: 0.15,
            cold_s: 18.0,
            warm_by_requests: 400,
            pause_every_s: 0.0,
            pause_ms: 0.0,
            errors: 0.0,
            report_ms: 500.0,
            drain_s: 3.0,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginSpec {
    /// Fetches that it can do.
    pub per_s: f64,
    /// Mean time of one fetch when it has room.
    pub takes_ms: f64,
    /// Spread of that time beyond the request's own work (coefficient of variation, log-normal). 0: none.
    pub takes_cv: f64,
    /// Requests waiting, counted in seconds of its capacity.
    pub queue_s: f64,
    /// Sent more than this multiple of its capacity for `fall_s`, it stops for `down_s`. 0: never.
    pub fall_multiple: f64,
    pub fall_s: f64,
    pub down_s: f64,
}

impl Default for OriginSpec {
    fn default() -> Self {
        let (fall_multiple, fall_s, down_s) = (2.5, 3.0, 5.0);
        let (per_s, takes_ms, takes_cv, queue_s) = (80.0, 75.0, 0.8, 1.0);
        OriginSpec { per_s, takes_ms, takes_cv, queue_s, fall_multiple, fall_s, down_s }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// First tries a second, of the whole fleet; without it `of_capacity` decides.
    pub per_s: Option<f64>,
    /// Share of the cores' capacity if every read were a hit.
    pub of_capacity: f64,
    pub keys: usize,
    /// Zipf exponent of the keys' popularity.
    pub zipf: f64,
    /// Ranks by which popularity moves on each second.
    pub drift: f64,
    /// Spread of a request's work about its class's mean (coefficient of variation).
    pub work_cv: f64,
    /// Retries of a client, at most; share of those that honour `Retry-After`.
    pub retries: u32,
    pub backoff_ms: f64,
    /// Each wait is twice the last.
    pub backoff_grows: bool,
    pub honour: f64,
    /// A try is given up after this share of the class's give-up time.
    pub try_share: f64,
    /// How late a zone's front notices that a node has died.
    pub notice_s: f64,
}

impl Default for Load {
    fn default() -> Self {
        Load {
            per_s: None,
            of_capacity: 0.45,
            keys: 1_500,
            zipf: 0.9,
            drift: 0.2,
            work_cv: 0.4,
            retries: 2,
            backoff_ms: 50.0,
            backoff_grows: true,
            honour: 0.6,
            try_share: 0.8,
            notice_s: 1.8,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSpec {
    /// One way, within a zone and between two, and how much more at random.
    pub same_ms: f64,
    pub cross_ms: f64,
    pub jitter_ms: f64,
    /// Share of messages between nodes that are lost.
    pub peer_loss: f64,
}

impl Default for LinkSpec {
    fn default() -> Self {
        LinkSpec { same_ms: 0.0, cross_ms: 1.0, jitter_ms: 0.3, peer_loss: 0.01 }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Of all requests, counted against the other classes' shares.
    pub share: f64,
    pub work_ms: f64,
    pub wanted_ms: f64,
    pub give_up_ms: f64,
    pub worth: f64,
    pub late_worth: f64,
    pub effect: Effect,
    /// A guarded class: how long repeats are dropped.
    #[serde(default = "window")]
    pub key_ttl_s: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    pub share: f64,
}

/// Whom a fault strikes: `all`, `zone:NAME`, `share:0.5` (drawn from the seed), `count:3` (the first three) or a
/// name (`cache-4`, `n0`, `r1`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Whom {
    All,
    Zone(String),
    Share(f64),
    Count(usize),
    Name(String),
}

impl TryFrom<String> for Whom {
    type Error = String;
    fn try_from(text: String) -> Result<Self, String> {
        let number = |text: &str| text.parse::<f64>().ok().filter(|n| (0.0..=1.0).contains(n));
        Ok(match text.split_once(':') {
            None if text == "all" => Whom::All,
            None if !text.is_empty() => Whom::Name(text),
            Some(("zone", zone)) => Whom::Zone(zone.to_owned()),
            Some(("share", share)) => {
                Whom::Share(number(share).ok_or_else(|| format!("{share}: a share from 0 to 1 expected"))?)
            }
            Some(("count", n)) => {
                Whom::Count(n.parse().map_err(|_| format!("{n}: a whole number expected"))?)
            }
            _ => return Err(format!("`{text}`: all, zone:NAME, share:PART, count:N or a name expected")),
        })
    }
}

impl From<Whom> for String {
    fn from(whom: Whom) -> String {
        match whom {
            Whom::All => "all".to_owned(),
            Whom::Zone(zone) => format!("zone:{zone}"),
            Whom::Share(share) => format!("share:{share}"),
            Whom::Count(n) => format!("count:{n}"),
            Whom::Name(name) => name,
        }
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    pub at_s: f64,
    /// After so long it is taken back: restarted (servers cold), continued, healed. Without it, never.
    #[serde(default)]
    pub for_s: Option<f64>,
    #[serde(flatten)]
    pub what: What,
}

fn everyone() -> Whom {
    Whom::All
}

/// What fails, or what an operator does.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// Processes of cache servers die; their agents die with them.
    KillServers {
        whom: Whom,
    },
    /// Their machines vanish: nothing is reset, nothing answers.
    SilenceServers {
        whom: Whom,
    },
    /// They stand still and go on where they were.
    PauseServers {
        whom: Whom,
    },
    SlowServers {
        whom: Whom,
        times: f64,
    },
    /// They answer this share of reads with 500.
    ServerErrors {
        whom: Whom,
        share: f64,
        /// Of this class only.
        #[serde(default)]
        class: Option<String>,
    },
    /// They restart at once, empty and cold.
    ColdServers {
        whom: Whom,
    },
    /// They say goodbye and come back when it ends.
    DrainServers {
        whom: Whom,
    },
    /// `disable` at every node's door, `enable` when it ends.
    DisableServers {
        whom: Whom,
    },
    /// A share of the servers is replaced by new, cold ones over `for_s`, so many at a time.
    Replace {
        share: f64,
        batch: usize,
    },
    SlowOrigin {
        times: f64,
    },
    StopOrigin {},
    KillNodes {
        whom: Whom,
    },
    StopNodes {
        whom: Whom,
    },
    /// One after the other: a new process on the same socket, then SIGTERM to the old.
    UpgradeNodes {},
    KillReplicas {
        #[serde(default = "everyone")]
        whom: Whom,
    },
    StopReplicas {
        #[serde(default = "everyone")]
        whom: Whom,
    },
    /// Nodes read discovery at other addresses, told by file and SIGHUP.
    MoveDiscovery {},
    /// A whole zone: its servers, and its nodes with `nodes`.
    LoseZone {
        zone: String,
        #[serde(default)]
        nodes: bool,
    },
    /// All ways between this zone and the others, or only those out of it.
    CutZone {
        zone: String,
        #[serde(default)]
        one_way: bool,
    },
    /// So much later each way between this zone and the others, and this share of pieces lost and sent again.
    SlowZone {
        zone: String,
        #[serde(default)]
        delay_ms: f64,
        #[serde(default)]
        jitter_ms: f64,
        #[serde(default)]
        loss: f64,
        #[serde(default)]
        kb_per_s: Option<f64>,
    },
    /// Connections between this zone and the others break again and again.
    ResetZone {
        zone: String,
    },
    /// Load times this.
    Surge {
        times: f64,
    },
    /// This share of all reads is about one key that nobody asked for before.
    FlashCrowd {
        share: f64,
    },
    /// Clients retry so often, at once and without waiting as told.
    RetryStorm {
        retries: u32,
    },
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Hold {
    /// Breaches of all rules together, at most; 0 unless said.
    pub breaches: u64,
    pub served_worth: Option<f64>,
    /// From the end of a fault until the served share is back for good.
    pub recovery_s: Option<f64>,
    pub attempts_per_request: Option<f64>,
    pub origin_fetches_per_request: Option<f64>,
    /// Served share of the worst class.
    pub worst_class: Option<f64>,
}

fn one() -> u64 {
    1
}

fn lead() -> f64 {
    6.0
}

fn lateness() -> f64 {
    5.0
}

fn window() -> f64 {
    2.0
}

/// Athens' classes.
fn classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, wanted_ms, give_up_ms, worth, late_worth, effect| {
        let key_ttl_s = if effect == Effect::Guarded { 2.0 } else { 5.0 };
        let name = name.to_owned();
        Class { name, share, work_ms, wanted_ms, give_up_ms, worth, late_worth, effect, key_ttl_s }
    };
    vec![
        class("settings-read", 63.0, 70.0, 500.0, 2_000.0, 3.0, 0.5, Effect::Free),
        class("datasheet-read", 34.0, 90.0, 500.0, 1_000.0, 1.0, 0.5, Effect::Free),
        class("install-filing", 1.8, 100.0, 500.0, 1_000.0, 10.0, 0.3, Effect::Guarded),
        class("approval-number", 1.6, 45.0, 300.0, 600.0, 10.0, 0.25, Effect::SingleShot),
    ]
}

fn tenants() -> Vec<Tenant> {
    [("kyma-energy", 0.48), ("aktis-power", 0.28), ("thalos-solar", 0.16), ("fotis-install", 0.08)]
        .map(|(name, share)| Tenant { name: name.to_owned(), share })
        .to_vec()
}

/// Why a file is no scenario: where, what, and what was expected.
#[derive(Debug)]
pub struct ScenarioError(String);

impl ScenarioError {
    pub(crate) fn new(what: String) -> Self {
        ScenarioError(what)
    }
}

impl fmt::Display for ScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl std::error::Error for ScenarioError {}

/// The scenarios that come with the program.
pub const CATALOGUE: &[&str] = &[
    include_str!("../scenarios/calm.toml"),
    include_str!("../scenarios/overload.toml"),
    include_str!("../scenarios/flash-crowd.toml"),
    include_str!("../scenarios/hot-key.toml"),
    include_str!("../scenarios/rolling-replacement.toml"),
    include_str!("../scenarios/drain.toml"),
    include_str!("../scenarios/zone-lost.toml"),
    include_str!("../scenarios/zone-slow.toml"),
    include_str!("../scenarios/zone-cut.toml"),
    include_str!("../scenarios/origin-slow.toml"),
    include_str!("../scenarios/origin-fallen.toml"),
    include_str!("../scenarios/registry-lost.toml"),
    include_str!("../scenarios/nodes-halved.toml"),
    include_str!("../scenarios/retry-storm.toml"),
    include_str!("../scenarios/bad-servers.toml"),
    include_str!("../scenarios/bad-server.toml"),
    include_str!("../scenarios/class-fails.toml"),
    include_str!("../scenarios/reads-fail.toml"),
    include_str!("../scenarios/mass-restart.toml"),
    include_str!("../scenarios/cold-rush.toml"),
    include_str!("../scenarios/cold-deep.toml"),
    include_str!("../scenarios/silent-deep.toml"),
    include_str!("../scenarios/scale.toml"),
];

impl Scenario {
    /// A scenario of the catalogue by its name, else a file.
    ///
    /// # Errors
    /// Says file and line, or the setting, and what was expected.
    pub fn load(name: &str) -> Result<Scenario, ScenarioError> {
        for text in CATALOGUE {
            let scenario = Scenario::parse("catalogue", text)?;
            if scenario.name == name {
                return Ok(scenario);
            }
        }
        let text = std::fs::read_to_string(Path::new(name)).map_err(|e| {
            ScenarioError(format!(
                "{name}: {e}; a scenario's name (shaletrail-fleet lab list) or a file expected"
            ))
        })?;
        Scenario::parse(name, &text)
    }

    /// # Errors
    /// As [`Scenario::load`].
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)
            .map_err(|e| ScenarioError(format!("{file}: {}", e.to_string().trim_end())))?;
        scenario.check().map_err(|what| ScenarioError(format!("{file}: {what}")))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let within = |name: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                return Ok(());
            }
            Err(format!("{name}: {least} to {most} expected, got {value}"))
        };
        within("seconds", self.seconds, 1.0, LONGEST_S)?;
        within("lead_s", self.lead_s, 0.0, 120.0)?;
        within("lateness_ms", self.lateness_ms, 0.1, 1_000.0)?;
        let fleet = &self.fleet;
        within("fleet.zones", fleet.zones.len() as f64, 1.0, 8.0)?;
        within("fleet.nodes", fleet.nodes as f64, 1.0, MOST_NODES as f64)?;
        within("fleet.servers", fleet.servers as f64, 1.0, MOST_SERVERS as f64)?;
        within("fleet.replicas", fleet.replicas as f64, 1.0, 7.0)?;
        within("fleet.lease_s", fleet.lease_s, 1.0, 600.0)?;
        let server = &self.servers;
        within("servers.cores", server.cores, 0.1, 256.0)?;
        within("servers.speeds", server.speeds.len() as f64, 1.0, 64.0)?;
        for speed in &server.speeds {
            within("servers.speeds", *speed, 0.01, 100.0)?;
        }
        within("servers.slots", server.slots as f64, 1.0, 10_000.0)?;
        within("servers.cold_from", server.cold_from, 0.01, 1.0)?;
        within("servers.keeps", server.keeps as f64, 1.0, 1e6)?;
        within("servers.errors", server.errors, 0.0, 1.0)?;
        within("servers.cold_s", server.cold_s, 0.01, 3_600.0)?;
        within("origin.per_s", self.origin.per_s, 0.1, 1e6)?;
        within("origin.takes_ms", self.origin.takes_ms, 0.1, 60_000.0)?;
        within("origin.takes_cv", self.origin.takes_cv, 0.0, 3.0)?;
        let load = &self.load;
        within("load.of_capacity", load.of_capacity, 0.0, 20.0)?;
        within("load.keys", load.keys as f64, 1.0, 1e6)?;
        within("load.zipf", load.zipf, 0.0, 4.0)?;
        within("load.work_cv", load.work_cv, 0.0, 3.0)?;
        within("load.retries", f64::from(load.retries), 0.0, 20.0)?;
        within("load.honour", load.honour, 0.0, 1.0)?;
        within("load.try_share", load.try_share, 0.05, 1.0)?;
        within("classes", self.classes.len() as f64, 1.0, 32.0)?;
        for class in &self.classes {
            within(&format!("class {}: work_ms", class.name), class.work_ms, 0.01, 60_000.0)?;
            within(&format!("class {}: share", class.name), class.share, 0.0, 1e6)?;
            within(&format!("class {}: give_up_ms", class.name), class.give_up_ms, 10.0, 60_000.0)?;
            within(&format!("class {}: wanted_ms", class.name), class.wanted_ms, 1.0, class.give_up_ms)?;
        }
        within("shares of all classes", self.classes.iter().map(|c| c.share).sum(), 1e-6, 1e9)?;
        within("tenants", self.tenants.len() as f64, 1.0, 1_000.0)?;
        within("shares of all tenants", self.tenants.iter().map(|t| t.share).sum(), 0.5, 1.5)?;
        let surge = self.faults.iter().map(|f| if let What::Surge { times } = f.what { times } else { 1.0 });
        let most = self.per_s() * (self.seconds + self.lead_s) * surge.fold(1.0, f64::max);
        within("requests of the whole run", most, 1.0, MOST_REQUESTS)?;
        for (n, fault) in self.faults.iter().enumerate() {
            let place = |what: &str| format!("fault {}: {what}", n + 1);
            within(&place("at_s"), fault.at_s, 0.0, self.seconds)?;
            within(&place("for_s"), fault.for_s.unwrap_or(0.0), 0.0, self.seconds - fault.at_s)?;
            self.check_names(&fault.what).map_err(|what| place(&what))?;
        }
        Ok(())
    }

    fn check_names(&self, what: &What) -> Result<(), String> {
        let zone = |name: &str| {
            if self.fleet.zones.iter().any(|zone| zone == name) {
                return Ok(());
            }
            Err(format!("zone `{name}`: one of {} expected", self.fleet.zones.join(", ")))
        };
        let whom = |whom: &Whom, prefix: &str, count: usize, first: usize| match whom {
            Whom::Zone(name) => zone(name),
            Whom::Name(name) => {
                let number = name.strip_prefix(prefix).and_then(|n| n.parse::<usize>().ok());
                if number.is_some_and(|n| (first..first + count).contains(&n)) {
                    return Ok(());
                }
                Err(format!("`{name}`: {prefix}{first} to {prefix}{} expected", first + count - 1))
            }
            Whom::All | Whom::Share(_) | Whom::Count(_) => Ok(()),
        };
        match what {
            What::ServerErrors { class: Some(name), .. }
                if !self.classes.iter().any(|class| class.name == *name) =>
            {
                let names: Vec<&str> = self.classes.iter().map(|class| class.name.as_str()).collect();
                Err(format!("class `{name}`: one of {} expected", names.join(", ")))
            }
            What::KillServers { whom: w }
            | What::SilenceServers { whom: w }
            | What::PauseServers { whom: w }
            | What::SlowServers { whom: w, .. }
            | What::ServerErrors { whom: w, .. }
            | What::ColdServers { whom: w }
            | What::DrainServers { whom: w }
            | What::DisableServers { whom: w } => whom(w, "cache-", self.fleet.servers, 0),
            What::KillNodes { whom: w } | What::StopNodes { whom: w } => whom(w, "n", self.fleet.nodes, 0),
            What::KillReplicas { whom: w } | What::StopReplicas { whom: w } => {
                whom(w, "r", self.fleet.replicas, 1)
            }
            What::LoseZone { zone: z, .. }
            | What::CutZone { zone: z, .. }
            | What::SlowZone { zone: z, .. }
            | What::ResetZone { zone: z } => zone(z),
            What::Replace { share, batch } if *share > 1.0 || *batch == 0 => {
                Err("share up to 1 and a batch of 1 or more expected".to_owned())
            }
            _ => Ok(()),
        }
    }

    /// Speed of the server with this number.
    pub fn speed(&self, server: usize) -> f64 {
        self.servers.speeds[server % self.servers.speeds.len()]
    }

    /// Requests a second that the cores could do if all reads were hits.
    pub fn capacity(&self) -> f64 {
        let cores: f64 = (0..self.fleet.servers).map(|n| self.servers.cores * self.speed(n)).sum();
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 = self.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / shares / 1e3;
        cores / work
    }

    /// First tries a second.
    pub fn per_s(&self) -> f64 {
        self.load.per_s.unwrap_or(self.load.of_capacity * self.capacity())
    }
}
