//! Scenario files (TOML): the fleet, its load, the faults to inject and the conditions for a pass.
//!
//! Times are in seconds from the start of the measured period, which follows the warm-up, unless a name says otherwise.

use std::fmt;
use std::path::Path;

use serde::{Deserialize, Serialize};

/// Maximum number of requests of one run. All of them are kept in memory until the run is judged.
pub const MAX_REQUESTS: f64 = 1_000_000.0;
const MAX_SERVERS: usize = 400;
const MAX_NODES: usize = 60;
const MAX_MEASURED_S: f64 = 1_800.0;

/// A parsed scenario file. Unknown fields are an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    pub name: String,
    /// One sentence about what the scenario tests.
    pub about: String,
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of the measured period.
    pub seconds: f64,
    /// Length of the warm-up before the measured period, in which the caches fill. The origin answers at once
    /// during it.
    #[serde(default = "default_lead_s")]
    pub lead_s: f64,
    /// The run is void if its clients sent later than planned by more than this many milliseconds (p99).
    #[serde(default = "default_lateness_ms")]
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
    #[serde(default = "default_classes", rename = "class")]
    pub classes: Vec<Class>,
    #[serde(default = "default_tenants", rename = "tenant")]
    pub tenants: Vec<Tenant>,
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub hold: PassConditions,
}

/// Size of the fleet and settings of its processes.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSpec {
    pub zones: Vec<String>,
    /// Nodes of the whole fleet, spread evenly over the zones.
    pub nodes: usize,
    /// Cache servers of the whole fleet, spread evenly over the zones.
    pub servers: usize,
    /// Replicas of the registry.
    pub replicas: usize,
    /// Whether the nodes may send messages to one another.
    pub peers: bool,
    /// Lease of a server's registration.
    pub lease_s: f64,
    /// Whether each server's registration agent is a separate process. Otherwise it runs inside the test bench.
    pub agent_processes: bool,
    /// Memory limit of each node.
    pub memory_mb: u32,
    /// Maximum number of open sockets of each node.
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

/// The cache servers. They differ only in speed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ServerSpec {
    pub cores: f64,
    /// Speeds, assigned to the servers in rotation. A core of speed 1 does one second of work in a second.
    pub speeds: Vec<f64>,
    /// Maximum number of requests that run at once.
    pub slots: usize,
    /// Maximum number of requests that wait in the queue.
    pub waiting: usize,
    /// Maximum number of open connections; further ones are closed.
    pub connections: usize,
    /// Work of opening a connection, added to the first request on it.
    pub handshake_ms: f64,
    /// Work of a request for a key that is not cached, of a write and of an error response.
    pub miss_ms: f64,
    /// Time to answer a health probe.
    pub probe_ms: f64,
    /// Cache size in values, with LRU eviction.
    pub keeps: usize,
    /// Share of its capacity right after a start.
    pub cold_from: f64,
    /// Time until it is warm when it serves no requests.
    pub cold_s: f64,
    /// Number of served requests that also makes it warm. 0: only time does.
    pub warm_by_requests: u64,
    /// Mean time between pauses; the actual time varies from half of it to one and a half times. 0: no pauses.
    pub pause_every_s: f64,
    /// Length of a pause.
    pub pause_ms: f64,
    /// Share of reads answered with 500.
    pub errors: f64,
    /// Longest age of its load report.
    pub report_ms: f64,
    /// How long it goes on serving after it has announced that it leaves.
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

/// Capacity, latency and crash behavior of the emulated origin.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OriginSpec {
    /// Fetches per second that it can do.
    pub per_s: f64,
    /// Mean time of one fetch without queueing.
    pub takes_ms: f64,
    /// Variation of that time beyond the request's own work: coefficient of variation of a log-normal factor. 0: none.
    pub takes_cv: f64,
    /// Queue limit, in seconds of its capacity.
    pub queue_s: f64,
    /// It crashes for `down_s` when it is sent more than this multiple of its capacity over `fall_s`. 0: never.
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

/// The load that the clients generate: request rate, key popularity and retries.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// Requests per second of the whole fleet, without retries. If absent, `of_capacity` sets the rate.
    pub per_s: Option<f64>,
    /// Load as a share of the cores' capacity if every read were a cache hit.
    pub of_capacity: f64,
    pub keys: usize,
    /// Zipf exponent of the key popularity.
    pub zipf: f64,
    /// Ranks per second by which the popularity shifts over the keys.
    pub drift: f64,
    /// Coefficient of variation of a request's work around its class's mean.
    pub work_cv: f64,
    /// Maximum number of retries of a request.
    pub retries: u32,
    /// Wait before the first retry.
    pub backoff_ms: f64,
    /// Whether the wait doubles with each retry.
    pub backoff_grows: bool,
    /// Share of retries that honour `Retry-After`.
    pub honour: f64,
    /// Time-out of a try, as a share of the class's `give_up_ms`.
    pub try_share: f64,
    /// How long a zone's connection balancer takes to notice that a node has died.
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

/// Normal network conditions within and between zones; delays are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LinkSpec {
    /// One-way delay within a zone.
    pub same_ms: f64,
    /// One-way delay between two zones.
    pub cross_ms: f64,
    /// Largest random addition to the delay between two zones.
    pub jitter_ms: f64,
    /// Share of the messages between nodes that is lost.
    pub peer_loss: f64,
}

impl Default for LinkSpec {
    fn default() -> Self {
        LinkSpec { same_ms: 0.0, cross_ms: 1.0, jitter_ms: 0.3, peer_loss: 0.01 }
    }
}

/// What a request of a class changes, and so when a client may retry it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// A read: may be retried at any time.
    Free,
    /// A write with an idempotency key: may be retried while duplicates are dropped.
    Guarded,
    /// A write without one: may be retried only if it can't have run.
    SingleShot,
}

/// A class of requests, with its cost, latency limits and worth.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    pub name: String,
    /// Weight of the class among all requests; the weights need not add up to 1.
    pub share: f64,
    /// Mean work of a request on a core of speed 1.
    pub work_ms: f64,
    /// Latency target: a response within it earns the full `worth`.
    pub wanted_ms: f64,
    /// Deadline of the request over all its tries.
    pub give_up_ms: f64,
    /// Value of a served request per unit of work, relative to the other classes.
    pub worth: f64,
    /// Share of `worth` that a response between target and deadline earns.
    pub late_worth: f64,
    pub effect: Effect,
    /// For a guarded class: how long duplicates of a write are dropped.
    #[serde(default = "default_key_ttl_s")]
    pub key_ttl_s: f64,
}

/// A tenant, with its share of the load and of the quotas.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    pub name: String,
    /// Share of all requests, and of the capacity that the quotas divide.
    pub share: f64,
}

/// The targets of a fault: `all`, `zone:NAME`, `share:0.5` (chosen at random by the seed), `count:3` (the first three)
/// or a name (`cache-4`, `n0`, `r1`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum Target {
    All,
    Zone(String),
    Share(f64),
    Count(usize),
    Name(String),
}

impl TryFrom<String> for Target {
    type Error = String;
    fn try_from(text: String) -> Result<Self, String> {
        let number = |text: &str| text.parse::<f64>().ok().filter(|n| (0.0..=1.0).contains(n));
        Ok(match text.split_once(':') {
            None if text == "all" => Target::All,
            None if !text.is_empty() => Target::Name(text),
            Some(("zone", zone)) => Target::Zone(zone.to_owned()),
            Some(("share", share)) => {
                Target::Share(number(share).ok_or_else(|| format!("{share}: a share from 0 to 1 expected"))?)
            }
            Some(("count", n)) => {
                Target::Count(n.parse().map_err(|_| format!("{n}: a whole number expected"))?)
            }
            _ => return Err(format!("`{text}`: all, zone:NAME, share:PART, count:N or a name expected")),
        })
    }
}

impl From<Target> for String {
    fn from(whom: Target) -> String {
        match whom {
            Target::All => "all".to_owned(),
            Target::Zone(zone) => format!("zone:{zone}"),
            Target::Share(share) => format!("share:{share}"),
            Target::Count(n) => format!("count:{n}"),
            Target::Name(name) => name,
        }
    }
}

/// A fault injected at `at_s` and, if `for_s` is set, reverted after that time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fault {
    pub at_s: f64,
    /// Duration after which the fault is reverted: processes restart (servers cold) or resume, and links are restored.
    /// If absent, it lasts until the end.
    #[serde(default)]
    pub for_s: Option<f64>,
    #[serde(flatten)]
    pub kind: FaultKind,
}

fn all_targets() -> Target {
    Target::All
}

/// The kind of a fault, or an operator's action.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "do", rename_all = "snake_case", deny_unknown_fields)]
pub enum FaultKind {
    /// The processes of cache servers die, and their agents with them.
    KillServers {
        whom: Target,
    },
    /// The machines of cache servers become unreachable: they answer nothing and reset no connection.
    SilenceServers {
        whom: Target,
    },
    /// Cache servers pause, and later continue where they stopped.
    PauseServers {
        whom: Target,
    },
    SlowServers {
        whom: Target,
        times: f64,
    },
    /// Cache servers answer this share of reads with 500.
    ServerErrors {
        whom: Target,
        share: f64,
        /// Only reads of this class; all classes if absent.
        #[serde(default)]
        class: Option<String>,
    },
    /// Cache servers restart immediately, empty and cold.
    ColdServers {
        whom: Target,
    },
    /// Cache servers drain and leave the registry, and return when the fault ends.
    DrainServers {
        whom: Target,
    },
    /// Calls `disable` for cache servers on every node's operations port, and `enable` when the fault ends.
    DisableServers {
        whom: Target,
    },
    /// A share of the cache servers is replaced by new, cold ones over `for_s`, in batches of this size.
    Replace {
        share: f64,
        batch: usize,
    },
    SlowOrigin {
        times: f64,
    },
    StopOrigin {},
    KillNodes {
        whom: Target,
    },
    StopNodes {
        whom: Target,
    },
    /// Upgrades the nodes one after another: a new process starts on the same socket, then the old one gets SIGTERM.
    UpgradeNodes {},
    KillReplicas {
        #[serde(default = "all_targets")]
        whom: Target,
    },
    StopReplicas {
        #[serde(default = "all_targets")]
        whom: Target,
    },
    /// The discovery addresses change. The nodes learn the new ones from their configuration file after a SIGHUP.
    MoveDiscovery {},
    /// A zone fails: its cache servers become unreachable and, with `nodes`, its nodes die.
    LoseZone {
        zone: String,
        #[serde(default)]
        nodes: bool,
    },
    /// Cuts all links between this zone and the others, or with `one_way` only the outbound direction.
    CutZone {
        zone: String,
        #[serde(default)]
        one_way: bool,
    },
    /// Adds delay, jitter, loss with retransmission and a bandwidth limit in both directions between this zone and the
    /// others.
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
    /// Connections between this zone and the others are reset repeatedly.
    ResetZone {
        zone: String,
    },
    /// Multiplies the load by this factor.
    Surge {
        times: f64,
    },
    /// This share of all reads goes to one key that was not requested before.
    FlashCrowd {
        share: f64,
    },
    /// Clients retry this often, without back-off and ignoring `Retry-After`.
    RetryStorm {
        retries: u32,
    },
}

/// The conditions for a pass.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PassConditions {
    /// Maximum number of violations of all rules together; 0 by default.
    pub breaches: u64,
    /// Minimum share of the worth that must be served.
    pub served_worth: Option<f64>,
    /// Longest time from the end of a fault until the served share has recovered.
    pub recovery_s: Option<f64>,
    /// Maximum number of attempts at servers per request.
    pub attempts_per_request: Option<f64>,
    /// Maximum number of fetches from the origin per request.
    pub origin_fetches_per_request: Option<f64>,
    /// Minimum served share of the worst class.
    pub worst_class: Option<f64>,
}

fn default_seed() -> u64 {
    1
}

fn default_lead_s() -> f64 {
    6.0
}

fn default_lateness_ms() -> f64 {
    5.0
}

fn default_key_ttl_s() -> f64 {
    2.0
}

/// The request classes of the Athens deployment.
fn default_classes() -> Vec<Class> {
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

fn default_tenants() -> Vec<Tenant> {
    [("kyma-energy", 0.48), ("aktis-power", 0.28), ("thalos-solar", 0.16), ("fotis-install", 0.08)]
        .map(|(name, share)| Tenant { name: name.to_owned(), share })
        .to_vec()
}

/// A scenario could not be read. The message names the place, the value and what was expected.
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

/// The texts of the built-in scenarios.
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
    /// Loads a built-in scenario by its name, or else a file.
    ///
    /// # Errors
    /// The file can't be read, or a setting is invalid. The message names the file and line, or the setting, and what
    /// was expected.
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

    /// Parses and checks a scenario. `file` only names the text in errors.
    ///
    /// # Errors
    /// The same as [`Scenario::load`].
    pub fn parse(file: &str, text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text)
            .map_err(|e| ScenarioError(format!("{file}: {}", e.to_string().trim_end())))?;
        scenario.check().map_err(|what| ScenarioError(format!("{file}: {what}")))?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), String> {
        let check_range = |name: &str, value: f64, min: f64, max: f64| {
            if (min..=max).contains(&value) {
                return Ok(());
            }
            Err(format!("{name}: {min} to {max} expected, got {value}"))
        };
        check_range("seconds", self.seconds, 1.0, MAX_MEASURED_S)?;
        check_range("lead_s", self.lead_s, 0.0, 120.0)?;
        check_range("lateness_ms", self.lateness_ms, 0.1, 1_000.0)?;
        let fleet = &self.fleet;
        check_range("fleet.zones", fleet.zones.len() as f64, 1.0, 8.0)?;
        check_range("fleet.nodes", fleet.nodes as f64, 1.0, MAX_NODES as f64)?;
        check_range("fleet.servers", fleet.servers as f64, 1.0, MAX_SERVERS as f64)?;
        check_range("fleet.replicas", fleet.replicas as f64, 1.0, 7.0)?;
        check_range("fleet.lease_s", fleet.lease_s, 1.0, 600.0)?;
        let server = &self.servers;
        check_range("servers.cores", server.cores, 0.1, 256.0)?;
        check_range("servers.speeds", server.speeds.len() as f64, 1.0, 64.0)?;
        for speed in &server.speeds {
            check_range("servers.speeds", *speed, 0.01, 100.0)?;
        }
        check_range("servers.slots", server.slots as f64, 1.0, 10_000.0)?;
        check_range("servers.cold_from", server.cold_from, 0.01, 1.0)?;
        check_range("servers.keeps", server.keeps as f64, 1.0, 1e6)?;
        check_range("servers.errors", server.errors, 0.0, 1.0)?;
        check_range("servers.cold_s", server.cold_s, 0.01, 3_600.0)?;
        check_range("origin.per_s", self.origin.per_s, 0.1, 1e6)?;
        check_range("origin.takes_ms", self.origin.takes_ms, 0.1, 60_000.0)?;
        check_range("origin.takes_cv", self.origin.takes_cv, 0.0, 3.0)?;
        let load = &self.load;
        check_range("load.of_capacity", load.of_capacity, 0.0, 20.0)?;
        check_range("load.keys", load.keys as f64, 1.0, 1e6)?;
        check_range("load.zipf", load.zipf, 0.0, 4.0)?;
        check_range("load.work_cv", load.work_cv, 0.0, 3.0)?;
        check_range("load.retries", f64::from(load.retries), 0.0, 20.0)?;
        check_range("load.honour", load.honour, 0.0, 1.0)?;
        check_range("load.try_share", load.try_share, 0.05, 1.0)?;
        check_range("classes", self.classes.len() as f64, 1.0, 32.0)?;
        for class in &self.classes {
            check_range(&format!("class {}: work_ms", class.name), class.work_ms, 0.01, 60_000.0)?;
            check_range(&format!("class {}: share", class.name), class.share, 0.0, 1e6)?;
            check_range(&format!("class {}: give_up_ms", class.name), class.give_up_ms, 10.0, 60_000.0)?;
            check_range(&format!("class {}: wanted_ms", class.name), class.wanted_ms, 1.0, class.give_up_ms)?;
        }
        check_range("shares of all classes", self.classes.iter().map(|c| c.share).sum(), 1e-6, 1e9)?;
        check_range("tenants", self.tenants.len() as f64, 1.0, 1_000.0)?;
        check_range("shares of all tenants", self.tenants.iter().map(|t| t.share).sum(), 0.5, 1.5)?;
        let surge =
            self.faults.iter().map(|f| if let FaultKind::Surge { times } = f.kind { times } else { 1.0 });
        let requests = self.per_s() * (self.seconds + self.lead_s) * surge.fold(1.0, f64::max);
        check_range("requests of the whole run", requests, 1.0, MAX_REQUESTS)?;
        for (n, fault) in self.faults.iter().enumerate() {
            let in_fault = |what: &str| format!("fault {}: {what}", n + 1);
            check_range(&in_fault("at_s"), fault.at_s, 0.0, self.seconds)?;
            check_range(&in_fault("for_s"), fault.for_s.unwrap_or(0.0), 0.0, self.seconds - fault.at_s)?;
            self.check_names(&fault.kind).map_err(|what| in_fault(&what))?;
        }
        Ok(())
    }

    fn check_names(&self, kind: &FaultKind) -> Result<(), String> {
        let zone = |name: &str| {
            if self.fleet.zones.iter().any(|zone| zone == name) {
                return Ok(());
            }
            Err(format!("zone `{name}`: one of {} expected", self.fleet.zones.join(", ")))
        };
        let whom = |whom: &Target, prefix: &str, count: usize, first: usize| match whom {
            Target::Zone(name) => zone(name),
            Target::Name(name) => {
                let number = name.strip_prefix(prefix).and_then(|n| n.parse::<usize>().ok());
                if number.is_some_and(|n| (first..first + count).contains(&n)) {
                    return Ok(());
                }
                Err(format!("`{name}`: {prefix}{first} to {prefix}{} expected", first + count - 1))
            }
            Target::All | Target::Share(_) | Target::Count(_) => Ok(()),
        };
        match kind {
            FaultKind::ServerErrors { class: Some(name), .. }
                if !self.classes.iter().any(|class| class.name == *name) =>
            {
                let names: Vec<&str> = self.classes.iter().map(|class| class.name.as_str()).collect();
                Err(format!("class `{name}`: one of {} expected", names.join(", ")))
            }
            FaultKind::KillServers { whom: w }
            | FaultKind::SilenceServers { whom: w }
            | FaultKind::PauseServers { whom: w }
            | FaultKind::SlowServers { whom: w, .. }
            | FaultKind::ServerErrors { whom: w, .. }
            | FaultKind::ColdServers { whom: w }
            | FaultKind::DrainServers { whom: w }
            | FaultKind::DisableServers { whom: w } => whom(w, "cache-", self.fleet.servers, 0),
            FaultKind::KillNodes { whom: w } | FaultKind::StopNodes { whom: w } => {
                whom(w, "n", self.fleet.nodes, 0)
            }
            FaultKind::KillReplicas { whom: w } | FaultKind::StopReplicas { whom: w } => {
                whom(w, "r", self.fleet.replicas, 1)
            }
            FaultKind::LoseZone { zone: z, .. }
            | FaultKind::CutZone { zone: z, .. }
            | FaultKind::SlowZone { zone: z, .. }
            | FaultKind::ResetZone { zone: z } => zone(z),
            FaultKind::Replace { share, batch } if *share > 1.0 || *batch == 0 => {
                Err("share up to 1 and a batch of 1 or more expected".to_owned())
            }
            _ => Ok(()),
        }
    }

    /// Speed of this cache server.
    pub fn speed(&self, server: usize) -> f64 {
        self.servers.speeds[server % self.servers.speeds.len()]
    }

    /// Requests per second that all cores could serve if every read were a cache hit.
    pub fn capacity(&self) -> f64 {
        let cores: f64 = (0..self.fleet.servers).map(|n| self.servers.cores * self.speed(n)).sum();
        let shares: f64 = self.classes.iter().map(|c| c.share).sum();
        let work: f64 = self.classes.iter().map(|c| c.share * c.work_ms).sum::<f64>() / shares / 1e3;
        cores / work
    }

    /// Requests per second, without retries and surges.
    pub fn per_s(&self) -> f64 {
        self.load.per_s.unwrap_or(self.load.of_capacity * self.capacity())
    }
}
