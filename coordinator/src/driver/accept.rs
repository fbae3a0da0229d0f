//! Accepts connections, up to a maximum number at a time.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::sockets;

/// Delay after a failed `accept`. Without it, the loop would spin while file descriptors have run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections for as long as the process runs, and serves each in a separate task. While `max_connections`
/// are open, further callers wait in the listener's backlog.
pub async fn accept_connections<ServeFuture>(
    listener: TcpListener,
    max_connections: usize,
    serve: impl Fn(TcpStream) -> ServeFuture,
) where
    ServeFuture: Future<Output = ()> + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        sockets::set_options(&stream);
        let connection = serve(stream);
        tokio::task::spawn_local(async move {
            let _permit = permit;
            connection.await;
        });
    }
}
