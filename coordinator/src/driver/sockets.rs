//! Opens sockets, with timeouts that detect unreachable peers.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 1024;
/// Timeout for establishing a connection to another machine.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long written bytes may remain unacknowledged before a connection is considered dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Opens a listener. It succeeds even if connections of an earlier process on this address are still closing
/// (`SO_REUSEADDR`).
///
/// # Errors
/// Another process is listening on the address, or the address does not belong to this machine.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options that all connections have. Options that the operating system does not support are skipped.
pub fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT);
}

/// Limits how long written bytes may remain unacknowledged (`TCP_USER_TIMEOUT`). After that time, the operating
/// system stops retransmitting them and the connection fails.
///
/// # Errors
/// The operating system does not support the option.
pub fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout))
}

/// Connects within [`CONNECT_TIMEOUT`].
///
/// # Errors
/// The connection is refused or times out.
pub async fn connect(address: SocketAddrV4) -> io::Result<TcpStream> {
    let stream = with_timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    set_options(&stream);
    Ok(stream)
}

/// Waits for an operation, at most for `timeout`.
///
/// # Errors
/// [`io::ErrorKind::TimedOut`] if the operation takes longer. It is cancelled in that case.
pub async fn with_timeout<T>(timeout: Duration, operation: impl Future<Output = T>) -> io::Result<T> {
    let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
    tokio::time::timeout(timeout, operation).await.map_err(timed_out)
}
