//! A TCP relay on loopback that injects network faults between two processes, in each direction separately.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What the relay does with the bytes of one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum LinkCondition {
    #[default]
    Open,
    /// Nothing passes and no connection is closed, as when the remote machine has lost power.
    Cut,
    /// Each chunk is delayed by this many milliseconds.
    Slow(u64),
    /// One chunk in this many is lost: it arrives late, by the time of a TCP retransmission. Every fifth loss closes
    /// the connection instead.
    Lossy(u64),
}

#[derive(Default)]
struct LinkState {
    forward: LinkCondition,
    reverse: LinkCondition,
    /// Both sockets of each open connection, to be shut down when a cut link is restored.
    open: Vec<TcpStream>,
}

/// A relay in front of one listener. Connections to `addr` reach the target, subject to the injected faults.
pub struct Link {
    pub addr: SocketAddr,
    state: Arc<Mutex<LinkState>>,
}

const CHUNK_BYTES: usize = 16 << 10;
/// How often a cut direction checks whether it has been restored.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const RETRANSMISSION_DELAY: Duration = Duration::from_millis(200);
/// One lost chunk in this many closes its connection.
const LOSSES_PER_CLOSE: u64 = 5;

impl Link {
    /// Starts a relay to `target` on a free port. Its threads run until the process ends.
    ///
    /// # Panics
    /// No port is free.
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(LinkState::default()));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || relay(&client, target, &state));
            }
        });
        Link { addr, state }
    }

    /// Sets both directions, from the connecting side to the target and back. Open connections stay open, except
    /// when the link comes back from a cut in either direction: those are shut down, because their ends have given
    /// them up.
    pub fn set(&self, forward: LinkCondition, reverse: LinkCondition) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let restored = (state.forward == LinkCondition::Cut || state.reverse == LinkCondition::Cut)
            && forward != LinkCondition::Cut
            && reverse != LinkCondition::Cut;
        (state.forward, state.reverse) = (forward, reverse);
        if restored {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Reopens the link in both directions.
    pub fn heal(&self) {
        self.set(LinkCondition::Open, LinkCondition::Open);
    }
}

fn relay(client: &TcpStream, target: SocketAddr, state: &Arc<Mutex<LinkState>>) {
    // While the forward direction is cut, no connection to the target is opened and the connecting process waits.
    while condition(state, true) == LinkCondition::Cut {
        thread::sleep(POLL_INTERVAL);
    }
    let Ok(server) = TcpStream::connect(target) else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let cloned = (client.try_clone(), server.try_clone(), client.try_clone(), server.try_clone());
    let (Ok(client_in), Ok(server_out), Ok(client_kept), Ok(server_kept)) = cloned else { return };
    {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.open.retain(|stream| stream.peer_addr().is_ok());
        state.open.extend([client_kept, server_kept]);
    }
    let forward_state = Arc::clone(state);
    let forward_thread = thread::spawn(move || copy_bytes(client_in, server_out, &forward_state, true));
    if let (Ok(server_in), Ok(client_out)) = (server.try_clone(), client.try_clone()) {
        copy_bytes(server_in, client_out, state, false);
    }
    let _ = forward_thread.join();
}

fn condition(state: &Mutex<LinkState>, forward: bool) -> LinkCondition {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if forward {
        state.forward
    } else {
        state.reverse
    }
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, state: &Mutex<LinkState>, forward: bool) {
    let mut chunk = vec![0; CHUNK_BYTES];
    let mut count = 0;
    while let Ok(n) = from.read(&mut chunk) {
        while condition(state, forward) == LinkCondition::Cut {
            thread::sleep(POLL_INTERVAL);
        }
        match condition(state, forward) {
            LinkCondition::Slow(ms) => thread::sleep(Duration::from_millis(ms)),
            LinkCondition::Lossy(one_in) => {
                count += 1;
                if count % one_in == 0 {
                    thread::sleep(RETRANSMISSION_DELAY);
                    if count % (one_in * LOSSES_PER_CLOSE) == 0 {
                        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                        return;
                    }
                }
            }
            LinkCondition::Open | LinkCondition::Cut => {}
        }
        if n == 0 || to.write_all(&chunk[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
