//! How long bytes of a request may stay unacknowledged by a server before its connection counts as broken.

use std::time::Duration;

/// The limit for requests that fit into the buffers of both kernels: only a server that is gone doesn't acknowledge them.
pub const DEFAULT_LIMIT: Duration = Duration::from_millis(1200);
/// The longest body that surely fits, in bytes.
const MAX_BUFFERED_BODY_BYTES: usize = 64 << 10;

/// The limit for a request with a body of this size and this much time left. A longer body waits in the kernel until the server
/// reads it. A server that doesn't for a while may still run the request, and no time of the edge's own may break that off.
pub fn unacknowledged_limit(body_bytes: usize, time_left: Duration) -> Duration {
    if body_bytes > MAX_BUFFERED_BODY_BYTES {
        DEFAULT_LIMIT.max(time_left)
    } else {
        DEFAULT_LIMIT
    }
}
