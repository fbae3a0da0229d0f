//! Accepting connections, at most so many at a time.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

use super::sockets;

/// Pause after a failed `accept`, which would otherwise fail again at once, as where descriptors have run out.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Accepts connections for as long as the process runs, and serves each one in a task of its own. Beyond
/// `max_connections`, callers wait in the listener's backlog.
pub async fn accept_connections<Serving>(
    listener: TcpListener,
    max_connections: usize,
    serve: impl Fn(TcpStream) -> Serving,
) where
    Serving: Future<Output = ()> + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    loop {
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        sockets::set_options(&stream);
        let serving = serve(stream);
        tokio::task::spawn_local(async move {
            let _permit = permit;
            serving.await;
        });
    }
}
