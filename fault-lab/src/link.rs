//! A link between two processes that can fail: a relay on loopback, each way by itself.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

/// What happens to bytes on their way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Way {
    #[default]
    Open,
    /// Nothing passes, and nobody is told: a machine that vanished.
    Cut,
    /// So many milliseconds later.
    Slow(u64),
    /// One piece in so many is lost and comes after a retransmission's time, as TCP has it; now and then the
    /// connection breaks.
    Lossy(u64),
}

#[derive(Default)]
struct State {
    there: Way,
    back: Way,
    /// Connections that a change of the link breaks.
    open: Vec<TcpStream>,
}

/// One direction of connecting: who connects to `addr` reaches the target, as far as the link lets it.
pub struct Link {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

const PIECE: usize = 16 << 10;
/// How often a cut way looks whether it is open again.
const LOOK: Duration = Duration::from_millis(10);
const RETRANSMISSION: Duration = Duration::from_millis(200);
/// Of lost pieces, one in so many breaks its connection.
const BREAKS: u64 = 5;

impl Link {
    /// # Panics
    /// When no port is free.
    pub fn to(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(Mutex::new(State::default()));
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let state = Arc::clone(&shared);
                thread::spawn(move || relay(&near, target, &state));
            }
        });
        Link { addr, state }
    }

    /// Sets both ways. Connections that are open stay so, unless both ways are cut and come back: then they have
    /// been given up.
    pub fn set(&self, there: Way, back: Way) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let healed =
            (state.there == Way::Cut || state.back == Way::Cut) && there != Way::Cut && back != Way::Cut;
        (state.there, state.back) = (there, back);
        if healed {
            for stream in state.open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    pub fn heal(&self) {
        self.set(Way::Open, Way::Open);
    }
}

fn relay(near: &TcpStream, target: SocketAddr, state: &Arc<Mutex<State>>) {
    // A cut link accepts nothing: whoever connects waits.
    while way(state, true) == Way::Cut {
        thread::sleep(LOOK);
    }
    let Ok(far) = TcpStream::connect(target) else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let clones = (near.try_clone(), far.try_clone(), near.try_clone(), far.try_clone());
    let (Ok(near_in), Ok(far_out), Ok(near_kept), Ok(far_kept)) = clones else { return };
    {
        let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
        state.open.retain(|stream| stream.peer_addr().is_ok());
        state.open.extend([near_kept, far_kept]);
    }
    let there = Arc::clone(state);
    let forth = thread::spawn(move || pass(near_in, far_out, &there, true));
    if let (Ok(far_in), Ok(near_out)) = (far.try_clone(), near.try_clone()) {
        pass(far_in, near_out, state, false);
    }
    let _ = forth.join();
}

fn way(state: &Mutex<State>, there: bool) -> Way {
    let state = state.lock().unwrap_or_else(PoisonError::into_inner);
    if there {
        state.there
    } else {
        state.back
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, state: &Mutex<State>, there: bool) {
    let mut piece = vec![0; PIECE];
    let mut count = 0;
    while let Ok(n) = from.read(&mut piece) {
        while way(state, there) == Way::Cut {
            thread::sleep(LOOK);
        }
        match way(state, there) {
            Way::Slow(ms) => thread::sleep(Duration::from_millis(ms)),
            Way::Lossy(one_in) => {
                count += 1;
                if count % one_in == 0 {
                    thread::sleep(RETRANSMISSION);
                    if count % (one_in * BREAKS) == 0 {
                        let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
                        return;
                    }
                }
            }
            Way::Open | Way::Cut => {}
        }
        if n == 0 || to.write_all(&piece[..n]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
