//! Parsing of the client limits.

use crate::error::InvalidConfig;
use crate::json::Object;
use crate::schema::ClientLimits;

/// Parses the client limits. Absent fields get their defaults.
pub(super) fn parse(object: &Object<'_>) -> Result<ClientLimits, InvalidConfig> {
    let default = ClientLimits::default();
    Ok(ClientLimits {
        max_header_bytes: object.optional_u64("maxHeaderBytes")?.unwrap_or(default.max_header_bytes),
        max_body_bytes: object.optional_u64("maxBodyBytes")?.unwrap_or(default.max_body_bytes),
        header_timeout_ms: object
            .optional_milliseconds("headerTimeoutMs")?
            .unwrap_or(default.header_timeout_ms),
        idle_timeout_ms: object.optional_milliseconds("idleTimeoutMs")?.unwrap_or(default.idle_timeout_ms),
    })
}
