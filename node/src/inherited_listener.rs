//! The client listener as a descriptor that every process of the node inherits from the platform.

#![allow(unsafe_code)]

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

use socket2::Socket;

/// Takes ownership of the listening socket with this descriptor number.
///
/// # Errors
/// If the text is not the number of an open listening socket.
pub fn listener(text: &str) -> io::Result<TcpListener> {
    let invalid_descriptor =
        |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {text}: {what}"));
    let number: RawFd = text
        .parse()
        .ok()
        .filter(|&number| number >= 0)
        .ok_or_else(|| invalid_descriptor("not a descriptor number"))?;
    // Only an open descriptor may be owned; its link in `/proc` shows that it is open and a socket.
    let link =
        std::fs::read_link(format!("/proc/self/fd/{number}")).map_err(|_| invalid_descriptor("not open"))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(invalid_descriptor("not a socket"));
    }
    // SAFETY: the descriptor is open, as just checked, and nothing else in this process owns it: it was
    // inherited, and this function is called once, as the program's first act after reading its
    // configuration.
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(number) });
    if !socket.is_listener().unwrap_or(false) {
        return Err(invalid_descriptor("not a listening socket"));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
