//! Only the newest connection of a peer is read.

mod common;

use common::node;
use shaletrail_coordinator::driver::peer_sessions::PeerSessions;

#[test]
fn later_connection_ends_the_earlier_one() {
    // given
    let mut sessions = PeerSessions::default();
    let (first, other, second) = (sessions.accept(), sessions.accept(), sessions.accept());
    assert!(sessions.open(node(2), first));
    assert!(sessions.open(node(3), other));
    // when
    assert!(sessions.open(node(2), second));
    // then
    assert!(!sessions.is_current(node(2), first));
    assert!(sessions.is_current(node(2), second));
    assert!(sessions.is_current(node(3), other));
}

#[test]
fn handshake_that_is_read_late_ends_no_later_connection() {
    // given
    let mut sessions = PeerSessions::default();
    let (first, second) = (sessions.accept(), sessions.accept());
    assert!(sessions.open(node(2), second));
    // when
    let is_newest = sessions.open(node(2), first);
    // then
    assert!(!is_newest);
    assert!(sessions.is_current(node(2), second) && !sessions.is_current(node(2), first));
}
