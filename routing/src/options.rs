//! Settings of the decisions.

use shaletrail_protocol::settings::Bounds;
use shaletrail_protocol::Millis;

/// Settings of the decisions. Times are in milliseconds, fractions between 0 and 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// ε of the cap ⌈(1 + ε)·n/k⌉ on the requests that this edge has open at one server.
    pub epsilon: f64,
    /// The cap is never below this.
    pub min_cap: u32,
    /// Retries allowed for each request of a service, over all edges.
    pub retry_ratio: f64,
    /// Retries allowed beyond the ratio in a window, over all edges.
    pub retry_slack: f64,
    /// The window over which retries are counted.
    pub retry_window_ms: Millis,
    /// When the slack begins to count. A process that ran here before may have spent it within the same window; the
    /// clock that events carry must then begin with the process.
    pub slack_available_from_ms: Millis,
    /// The fraction of this edge's part of the retry budget that is used.
    pub budget_fraction: f64,
    /// Edges assumed to be at work while their number is not known.
    pub assumed_edges: u32,
    /// Open requests at most, queued ones included.
    pub max_open: usize,
    /// Queued requests at most.
    pub max_queued: usize,
    /// The fraction of its time that a request is queued for a model to load.
    pub model_wait_fraction: f64,
    /// The fraction of the client's patience that a stream is queued for a model to load.
    pub client_timeout_fraction: f64,
    /// The fraction of its latency target that a request is queued while every server is full.
    pub capacity_wait_fraction: f64,
    /// Attempts of one request at most, including those that reach no server.
    pub max_attempts_per_request: u32,
    /// Subtracted from the deadline that a server is given, for the response's way back.
    pub response_margin_ms: Millis,
    /// How long an attempt may outlast the deadline, so that the server's own time-out is seen.
    pub deadline_grace_ms: Millis,
    /// The shortest time for which a `Server-Load` counts; otherwise the mean latency of attempts.
    pub min_load_ttl_ms: Millis,
    /// The longest such time.
    pub max_load_ttl_ms: Millis,
    /// Requests that may queue at a server while no other has a free slot, as a fraction of its slots.
    pub server_queue_fraction: f64,
    /// The shortest time for which a server that rejected a request counts as full.
    pub min_full_ttl_ms: Millis,
    /// The longest such time.
    pub max_full_ttl_ms: Millis,
    /// The delay before a server that rejected a request is retried with the same one.
    pub same_server_retry_delay_ms: Millis,
    /// How long a model counts as missing at a server that rejected it.
    pub missing_model_ttl_ms: Millis,
    /// Consecutive failures that eject a server.
    pub eject_after_failures: u32,
    /// How long the first ejection of a server lasts.
    pub initial_backoff_ms: Millis,
    /// How long an ejection lasts at most.
    pub max_backoff_ms: Millis,
    /// The shortest response time-out, after which an idempotent request moves to another server.
    pub min_response_timeout_ms: Millis,
    /// Prompt tokens whose prefill may be pending at a server before requests prefer others.
    pub max_pending_prefill_tokens: u64,
    /// Prompt tokens from which a request goes where the fewest streams are, as its prefill stalls the others for longer
    /// than the target for gaps between events.
    pub long_prompt_tokens: u32,
    /// How long a request may wait without any response of its server before other requests avoid that server.
    pub unresponsive_after_ms: Millis,
    /// How long a server that the directory no longer lists is kept as a last resort.
    pub unlisted_ttl_ms: Millis,
    /// The shortest `Retry-After`.
    pub min_retry_after_ms: Millis,
    /// The longest `Retry-After`.
    pub max_retry_after_ms: Millis,
    /// Known servers at most.
    pub max_servers: usize,
    /// Models and adapters whose demand is counted at most.
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
            client_timeout_fraction: 0.6,
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
