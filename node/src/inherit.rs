//! The clients' listener where the platform holds it: a descriptor that every process of the node inherits.

#![allow(unsafe_code)]

use std::io;
use std::net::TcpListener;
use std::os::fd::{FromRawFd, OwnedFd, RawFd};

use socket2::Socket;

/// Takes the listening socket over that this descriptor stands for; anything else is an error.
pub fn listener(text: &str) -> io::Result<TcpListener> {
    let wrong =
        |what: &str| io::Error::new(io::ErrorKind::InvalidInput, format!("descriptor {text}: {what}"));
    let number: RawFd = text.parse().ok().filter(|&number| number >= 0).ok_or_else(|| wrong("no number"))?;
    // Only a descriptor that is open may be owned; a link to a socket says that it is.
    let link = std::fs::read_link(format!("/proc/self/fd/{number}")).map_err(|_| wrong("not open"))?;
    if !link.to_string_lossy().starts_with("socket:") {
        return Err(wrong("no socket"));
    }
    // SAFETY: it is open, as just seen, and nobody else in this process owns it: it was inherited, this is the
    // program's first act after reading its configuration, and it is called once.
    let socket = Socket::from(unsafe { OwnedFd::from_raw_fd(number) });
    if !socket.is_listener().unwrap_or(false) {
        return Err(wrong("no listening socket"));
    }
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}
