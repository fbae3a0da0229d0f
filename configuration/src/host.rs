//! Normalization of host names for comparison.

use std::borrow::Cow;

/// Strips the port and converts to lower case. IPv6 addresses are recognized only in brackets.
pub(crate) fn normalize_host(host: &str) -> Cow<'_, str> {
    let name = strip_port(host);
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        name.to_ascii_lowercase().into()
    } else {
        name.into()
    }
}

fn strip_port(host: &str) -> &str {
    let Some((name, port)) = host.rsplit_once(':') else { return host };
    let is_separator = !name.contains(':') || name.ends_with(']');
    if is_separator && port.bytes().all(|byte| byte.is_ascii_digit()) {
        name
    } else {
        host
    }
}
