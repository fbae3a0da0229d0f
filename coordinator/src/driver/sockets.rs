//! Opening sockets, with timeouts by which peers that have disappeared are noticed.

use std::future::Future;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// How long a connection to another machine may take to be established.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long written bytes may stay unacknowledged before a connection counts as dead.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);

/// Opens a listener. The address may be in use by closing connections of an earlier process.
///
/// # Errors
/// Another process listens on the address, or the machine does not have it.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Sets the options of every connection, where the operating system supports them.
pub fn set_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = set_unacknowledged_timeout(stream, UNACKNOWLEDGED_TIMEOUT);
}

/// Limits how long written bytes may stay unacknowledged (`TCP_USER_TIMEOUT`). After that the operating system no longer
/// retransmits them, and the connection has failed.
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

/// Waits for an operation on a connection.
///
/// # Errors
/// [`io::ErrorKind::TimedOut`]; the operation is cancelled then.
pub async fn with_timeout<T>(timeout: Duration, operation: impl Future<Output = T>) -> io::Result<T> {
    let timed_out = |_| io::Error::from(io::ErrorKind::TimedOut);
    tokio::time::timeout(timeout, operation).await.map_err(timed_out)
}
