//! Opening sockets so that silent peers are noticed.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use shaletrail_protocol::frame::{self, FrameError};
use snafu::Snafu;
use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;
/// How long a connection to another node may take to come up.
pub const CONNECT_TIME: Duration = Duration::from_millis(400);
/// How long written bytes may stay without an acknowledgement before a connection counts as dead.
const UNACKNOWLEDGED: Duration = Duration::from_millis(1500);

/// Opens a listener; may be called again right after an earlier process on the address has ended.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    TcpListener::from_std(socket.into())
}

/// Options that every connection has, where the system takes them.
pub fn tune(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = give_up_after(stream, UNACKNOWLEDGED);
}

/// Lets written bytes stay without an acknowledgement for so long: after that the system sends them no more, and the
/// connection has failed.
///
/// # Errors
/// The system does not take the option.
pub fn give_up_after(stream: &TcpStream, unacknowledged: Duration) -> std::io::Result<()> {
    SockRef::from(stream).set_tcp_user_timeout(Some(unacknowledged))
}

/// Connects within [`CONNECT_TIME`].
pub async fn connect(address: SocketAddrV4) -> std::io::Result<TcpStream> {
    let late = |_| std::io::Error::from(std::io::ErrorKind::TimedOut);
    let stream = tokio::time::timeout(CONNECT_TIME, TcpStream::connect(address)).await.map_err(late)??;
    tune(&stream);
    Ok(stream)
}

/// Why no frame came.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The connection has ended or failed.
    #[snafu(context(false), display("{source}"))]
    Ended {
        /// What the system said.
        source: std::io::Error,
    },
    /// The bytes are no message.
    #[snafu(context(false), display("{source}"))]
    Frame {
        /// What is wrong with them.
        source: FrameError,
    },
}

/// Reads one message.
pub async fn read_frame<M: bitcode::DecodeOwned>(
    from: &mut (impl AsyncRead + Unpin),
) -> Result<M, ReadError> {
    let mut prefix = [0; frame::PREFIX_BYTES];
    from.read_exact(&mut prefix).await?;
    let mut body = vec![0; frame::body_length(prefix)?];
    from.read_exact(&mut body).await?;
    Ok(frame::decode(&body)?)
}
