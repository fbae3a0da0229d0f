//! What the decisions go by.

use shaletrail_protocol::settings::Bounds;
use shaletrail_protocol::Millis;

/// Constants of the decisions. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// ε of the cap ⌈(1 + ε)·n/k⌉ on the requests that this edge has open at one server.
    pub epsilon: f64,
    /// The cap is never below this.
    pub cap_floor: u32,
    /// Repeats allowed for each request of a service, over all edges.
    pub retry_ratio: f64,
    /// Repeats allowed beyond the ratio in a window, over all edges.
    pub retry_slack: f64,
    /// The window over which repeats are counted.
    pub retry_window_ms: Millis,
    /// From when on the slack counts. A process that ran here before may have spent it within the same window; the
    /// clock that events carry must then begin with the process.
    pub slack_from_ms: Millis,
    /// The share of the edge's part of the budget that is used.
    pub budget_share: f64,
    /// Edges assumed to be at work while their number is not known.
    pub assumed_edges: u32,
    /// Requests open at once, held ones included.
    pub max_open: usize,
    /// Requests held at once.
    pub max_held: usize,
    /// The share of the time it has that a request is held for a model to come up.
    pub hold_share: f64,
    /// The share of the silence after which clients give a stream up that it is held for a model to come up.
    pub silence_share: f64,
    /// The share of its latency objective that a request is held while every server is full.
    pub full_hold_share: f64,
    /// Sendings of one request that may find nobody.
    pub max_sendings: u32,
    /// Taken off the deadline handed to a server, for the way back.
    pub way_back_ms: Millis,
    /// How long an attempt under way may outlast the deadline, so that the server's own end of it is seen.
    pub deadline_grace_ms: Millis,
    /// The shortest time for which `Server-Load` counts; otherwise as long as an attempt usually takes.
    pub load_min_ms: Millis,
    /// The longest such time.
    pub load_max_ms: Millis,
    /// Requests that may wait at a server while no other has a free slot, as a part of its slots.
    pub queue_share: f64,
    /// The shortest time for which a server that turned a request away counts as full.
    pub full_min_ms: Millis,
    /// The longest such time.
    pub full_max_ms: Millis,
    /// The pause before a server that turned a request away is asked again with the same one.
    pub again_ms: Millis,
    /// How long a server that said so counts as lacking a model.
    pub lacks_ms: Millis,
    /// Failures in a row that make a server suspect.
    pub suspect_after: u32,
    /// How long a suspect is skipped at first.
    pub backoff_first_ms: Millis,
    /// How long a suspect is skipped at most.
    pub backoff_longest_ms: Millis,
    /// The shortest silence after which a request that may run twice is taken elsewhere.
    pub silence_ms: Millis,
    /// Prompt tokens that may wait to be read at a server before a request goes to another one.
    pub prefill_ease: u64,
    /// Prompt tokens to be read from which a request goes where the fewest streams are: reading them holds up the others
    /// for longer than pauses between events may last.
    pub long_prompt: u32,
    /// How long a server may show no sign of life to a request before others avoid it.
    pub silent_ms: Millis,
    /// How long a server that the directory no longer lists is kept for want of others.
    pub unlisted_ms: Millis,
    /// The shortest `Retry-After`.
    pub retry_after_min_ms: Millis,
    /// The longest `Retry-After`.
    pub retry_after_max_ms: Millis,
    /// Servers known at most.
    pub max_servers: usize,
    /// Models and adapters of which demand is kept at most.
    pub max_demand: usize,
    /// For the driver: how long a connection may take to come up before it reports `Unreachable`.
    pub connect_ms: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            epsilon: 0.3,
            cap_floor: 4,
            retry_ratio: 0.1,
            retry_slack: 20.0,
            retry_window_ms: 10_000,
            slack_from_ms: 0,
            budget_share: 0.8,
            assumed_edges: 64,
            max_open: 4096,
            max_held: 512,
            hold_share: 0.45,
            silence_share: 0.6,
            full_hold_share: 0.25,
            max_sendings: 16,
            way_back_ms: 5,
            deadline_grace_ms: 50,
            load_min_ms: 50,
            load_max_ms: 1000,
            queue_share: 0.25,
            full_min_ms: 100,
            full_max_ms: 300,
            again_ms: 50,
            lacks_ms: 200,
            suspect_after: 2,
            backoff_first_ms: 500,
            backoff_longest_ms: 5000,
            silence_ms: 1000,
            prefill_ease: 1_500,
            long_prompt: 6_000,
            silent_ms: 400,
            unlisted_ms: 10_000,
            retry_after_min_ms: 50,
            retry_after_max_ms: 2000,
            max_servers: 8192,
            max_demand: 4096,
            connect_ms: 300,
        }
    }
}

impl Options {
    /// The defaults, with the budget of the operators' rules.
    pub fn within(bounds: &Bounds) -> Self {
        Options {
            retry_ratio: bounds.retry_ratio,
            retry_slack: bounds.retry_slack,
            retry_window_ms: bounds.retry_window.as_millis() as Millis,
            slack_from_ms: bounds.retry_window.as_millis() as Millis,
            ..Options::default()
        }
    }
}
