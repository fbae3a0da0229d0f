//! Settings of the router.

use shaletrail_protocol::settings::Bounds;
use shaletrail_protocol::Millis;

/// Settings of the router. Times are in milliseconds; fractions are between 0 and 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// ε in the cap ⌈(1 + ε)·n/k⌉ on the number of requests that this edge has open at one server.
    pub load_cap_epsilon: f64,
    /// Lower bound of the cap.
    pub min_cap: u32,
    /// Retries allowed per request of a service, over all edges.
    pub retry_ratio: f64,
    /// Retries allowed per window in addition to the ratio, over all edges.
    pub retry_slack: f64,
    /// The sliding window over which requests and retries are counted.
    pub retry_window_ms: Millis,
    /// Time from which this edge may use its share of the slack. A previous process of this edge may have
    /// spent the share within the current window. To wait for the end of that window, the times passed with
    /// events must start at zero with the process.
    pub slack_available_from_ms: Millis,
    /// The fraction of this edge's share of the retry budget that it uses.
    pub retry_budget_fraction: f64,
    /// Number of edges that is assumed until the actual number is known.
    pub assumed_edges: u32,
    /// Maximum number of open requests, including queued requests.
    pub max_open_requests: usize,
    /// Maximum number of queued requests.
    pub max_queued_requests: usize,
    /// The fraction of the time until its deadline for which a request may be queued until a model is loaded.
    pub model_wait_fraction: f64,
    /// The fraction of the client's time-out for stream events for which a stream may be queued until a model
    /// is loaded.
    pub client_timeout_fraction: f64,
    /// The fraction of its latency target for which a request may be queued while every server is full.
    pub capacity_wait_fraction: f64,
    /// Maximum number of attempts of one request, including those that reach no server.
    pub max_attempts_per_request: u32,
    /// Subtracted from the deadline that is sent to a server, to leave time for the transfer of the response.
    pub response_margin_ms: Millis,
    /// How long an attempt may continue after the deadline, so that the server's own time-out response can
    /// still arrive.
    pub deadline_grace_ms: Millis,
    /// Minimum time for which a reported `Server-Load` is valid. Between the minimum and the maximum, it is
    /// valid for the mean latency of attempts.
    pub min_load_ttl_ms: Millis,
    /// Maximum time for which a reported `Server-Load` is valid.
    pub max_load_ttl_ms: Millis,
    /// Number of requests that may wait at a server while no other server has a free slot, as a fraction of
    /// its slots.
    pub server_queue_fraction: f64,
    /// Minimum time for which a server that rejected a request counts as full.
    pub min_full_ttl_ms: Millis,
    /// Maximum time for which a server that rejected a request counts as full.
    pub max_full_ttl_ms: Millis,
    /// Minimum delay before a request is sent again to a server that has certainly not run it.
    pub same_server_retry_delay_ms: Millis,
    /// How long a model counts as missing at a server that responded with status 421 to a request for it.
    pub missing_model_ttl_ms: Millis,
    /// Number of consecutive failures after which a server is ejected.
    pub eject_after_failures: u32,
    /// Duration of the first ejection of a server, without jitter.
    pub initial_backoff_ms: Millis,
    /// Maximum duration of an ejection, without jitter.
    pub max_backoff_ms: Millis,
    /// Minimum response time-out, after which an idempotent request is retried at another server. The route's
    /// latency target is used if it is longer.
    pub min_response_timeout_ms: Millis,
    /// Maximum number of prompt tokens with pending prefill at which a server counts as lightly loaded.
    /// Requests prefer lightly loaded servers.
    pub max_pending_prefill_tokens: u64,
    /// Minimum number of prompt tokens from which a request goes to the server with the fewest open requests.
    /// The prefill of such a prompt stalls other streams for longer than the target for gaps between events.
    pub long_prompt_tokens: u32,
    /// How long a request may wait, while its server responds to no request at all, before other requests
    /// avoid the server.
    pub unresponsive_after_ms: Millis,
    /// How long a server that the directory no longer lists is kept. It is used only if no other server is
    /// available.
    pub unlisted_ttl_ms: Millis,
    /// Minimum value of `Retry-After`.
    pub min_retry_after_ms: Millis,
    /// Maximum value of `Retry-After`, without jitter.
    pub max_retry_after_ms: Millis,
    /// Maximum number of known servers.
    pub max_servers: usize,
    /// Maximum number of services, models and adapters whose demand is counted.
    pub max_demand_entries: usize,
    /// Time-out for establishing a connection, after which the driver reports `Unreachable`. Only the driver
    /// uses it.
    pub connect_timeout_ms: Millis,
}

impl Default for Options {
    fn default() -> Self {
        Options {
            load_cap_epsilon: 0.3,
            min_cap: 4,
            retry_ratio: 0.1,
            retry_slack: 20.0,
            retry_window_ms: 10_000,
            slack_available_from_ms: 0,
            retry_budget_fraction: 0.8,
            assumed_edges: 64,
            max_open_requests: 4096,
            max_queued_requests: 512,
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
    /// The defaults with the retry budget of the operators' settings. The slack is not available during the
    /// first retry window.
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
