//! The TCP user timeout (RFC 5482) of connections to servers: how long sent bytes may stay unacknowledged
//! before the connection fails.

use std::time::Duration;

/// Used for requests that fit into the socket buffers of both ends. Their bytes stay unacknowledged only if
/// the server's machine cannot be reached.
pub const DEFAULT_TCP_USER_TIMEOUT: Duration = Duration::from_millis(1200);
/// A body of this length fits into the socket buffers.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// The TCP user timeout for a request with a body of `body_bytes` bytes and `time_left` until its deadline.
/// The part of a long body that does not fit into the buffers waits until the server reads it. A server that
/// does not read for a while may still execute the request, so the connection must not fail before the
/// deadline.
pub fn tcp_user_timeout(body_bytes: usize, time_left: Duration) -> Duration {
    if body_bytes > MAX_BUFFERED_BODY_BYTES {
        DEFAULT_TCP_USER_TIMEOUT.max(time_left)
    } else {
        DEFAULT_TCP_USER_TIMEOUT
    }
}
