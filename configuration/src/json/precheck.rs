//! Checks that the JSON parser does not make: the nesting depth, and the digits of `\u` escapes.

use crate::error::{InvalidConfig, NotJsonSnafu, TooDeepSnafu};

/// Maximum nesting depth. The parser recurses once per level, so the limit bounds its stack use.
const MAX_DEPTH: usize = 64;
/// Number of hexadecimal digits after `\u`.
const ESCAPE_DIGITS: usize = 4;

/// Checks the nesting depth and the `\u` escapes of a text. It need not be valid JSON otherwise.
pub(crate) fn check(text: &[u8]) -> Result<(), InvalidConfig> {
    let mut depth = 0_usize;
    let mut bytes = text.iter().enumerate();
    while let Some((_, byte)) = bytes.next() {
        match byte {
            b'{' | b'[' if depth == MAX_DEPTH => return TooDeepSnafu { max_depth: MAX_DEPTH }.fail(),
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            b'"' => skip_string(&mut bytes)?,
            _ => {}
        }
    }
    Ok(())
}

/// Advances past the closing quote of a string, or to the end of the text if the string is not closed.
fn skip_string<'a>(bytes: &mut impl Iterator<Item = (usize, &'a u8)>) -> Result<(), InvalidConfig> {
    while let Some((_, byte)) = bytes.next() {
        match byte {
            b'"' => return Ok(()),
            b'\\' => skip_escape(bytes)?,
            _ => {}
        }
    }
    Ok(())
}

fn skip_escape<'a>(bytes: &mut impl Iterator<Item = (usize, &'a u8)>) -> Result<(), InvalidConfig> {
    let Some((offset, b'u')) = bytes.next() else { return Ok(()) };
    let digits = bytes.take(ESCAPE_DIGITS).filter(|(_, byte)| byte.is_ascii_hexdigit()).count();
    if digits < ESCAPE_DIGITS {
        return NotJsonSnafu { offset }.fail();
    }
    Ok(())
}
