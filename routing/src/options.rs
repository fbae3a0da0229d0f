//! What the decisions go by.

use shaletrail_protocol::settings::Bounds;
use shaletrail_protocol::Millis;

/// Constants of the decisions. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// ε of the cap ⌈(1 + ε)·n/k⌉ on the requests that this edge has open at one server.
    pub epsilon: f64,
    /// The cap is never below this.
    pub min_cap: u32,
    /// Repeats allowed for each request of a service, over all edges.
    pub retry_ratio: f64,
    /// Repeats allowed beyond the ratio in a window, over all edges.
    pub retry_slack: f64,
    /// The window over which repeats are counted.
    pub retry_window_ms: Millis,
    /// From when on the slack counts. A process that ran here before may have spent it within the same window; the
    /// clock that events carry must then begin with the process.
    pub slack_available_from_ms: Millis,
    /// The share of the edge's part of the budget that is used.
    pub budget_fraction: f64,
    /// Edges assumed to be at work while their number is not known.
    pub assumed_edges: u32,
    /// Requests open at once, held ones included.
    pub max_open: usize,
    /// Requests held at once.
    pub max_queued: usize,
    /// The share of the time it has that a request is held for a model to come up.
    pub model_wait_fraction: f64,
    /// The share of the silence after which clients give a stream up that it is held for a model to come up.
    pub patience_fraction: f64,
    /// The share of its latency objective that a request is held while every server is full.
    pub capacity_wait_fraction: f64,
    /// Sendings of one request that may find nobody.
    pub max_attempts_per_request: u32,
    /// Taken off the deadline handed to a server, for the way back.
    pub response_margin_ms: Millis,
    /// How long an attempt under way may outlast the deadline, so that the server's own end of it is seen.
    pub deadline_grace_ms: Millis,
    /// The shortest time for which `Server-Load` counts; otherwise as long as an attempt usually takes.
    pub min_load_ttl_ms: Millis,
    /// The longest such time.
    pub max_load_ttl_ms: Millis,
    /// Requests that may wait at a server while no other has a free slot, as a part of its slots.
    pub server_queue_fraction: f64,
    /// The shortest time for which a server that turned a request away counts as full.
    pub min_full_ttl_ms: Millis,
    /// The longest such time.
    pub max_full_ttl_ms: Millis,
    /// The pause before a server that turned a request away is asked again with the same one.
    pub same_server_retry_delay_ms: Millis,
    /// How long a server that said so counts as lacking a model.
    pub missing_model_ttl_ms: Millis,
    /// Failures in a row that make a server suspect.
    pub eject_after_failures: u32,
    /// How long a suspect is skipped at first.
    pub initial_backoff_ms: Millis,
    /// How long a suspect is skipped at most.
    pub max_backoff_ms: Millis,
    /// The shortest silence after which a request that may run twice is taken elsewhere.
    pub min_response_timeout_ms: Millis,
    /// Prompt tokens that may wait to be read at a server before a request goes to another one.
    pub max_pending_prefill_tokens: u64,
    /// Prompt tokens to be read from which a request goes where the fewest streams are: reading them holds up the others
    /// for longer than pauses between events may last.
    pub long_prompt_tokens: u32,
    /// How long a server may show no sign of life to a request before others avoid it.
    pub unresponsive_after_ms: Millis,
    /// How long a server that the directory no longer lists is kept for want of others.
    pub unlisted_ttl_ms: Millis,
    /// The shortest `Retry-After`.
    pub min_retry_after_ms: Millis,
    /// The longest `Retry-After`.
    pub max_retry_after_ms: Millis,
    /// Servers known at most.
    pub max_servers: usize,
    /// Models and adapters of which demand is kept at most.
    pub max_demand_entries: usize,
    /// For the driver: how long a connection may take to come up before it reports `Unreachable`.
    pub connect_timeout_ms: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            epsilon: 0.3,
            min_cap: 4,
            retry_ratio: 0.1,
            retry_slack: 20.0,
            retry_window_ms: 10_000,
            slack_available_from_ms: 0,
            budget_fraction: 0.8,
            assumed_edges: 64,
            max_open: 4096,
            max_queued: 512,
            model_wait_fraction: 0.45,
            patience_fraction: 0.6,
            capacity_wait_fraction: 0.25,
            max_attempts_per_request: 16,
            response_margin_ms: 5,
            deadline_grace_ms: 50,
            min_load_ttl_ms: 50,
            max_load_ttl_ms: 1000,
            server_queue_fraction: 0.25,
            min_full_ttl_ms: 100,
            max_full_ttl_ms: 300,
            same_server_retry_delay_ms: 50,
            missing_model_ttl_ms: 200,
            eject_after_failures: 2,
            initial_backoff_ms: 500,
            max_backoff_ms: 5000,
            min_response_timeout_ms: 1000,
            max_pending_prefill_tokens: 1_500,
            long_prompt_tokens: 6_000,
            unresponsive_after_ms: 400,
            unlisted_ttl_ms: 10_000,
            min_retry_after_ms: 50,
            max_retry_after_ms: 2000,
            max_servers: 8192,
            max_demand_entries: 4096,
            connect_timeout_ms: 300,
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
            slack_available_from_ms: bounds.retry_window.as_millis() as Millis,
            ..Options::default()
        }
    }
}
