//! Links between nodes over loopback: frames that are cut, too long or no message, and connections that break.

use std::future::Future;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use shaletrail_coordinator::driver::links::Links;
use shaletrail_coordinator::driver::sockets::{read_frame, ReadError};
use shaletrail_protocol::frame::{self, FrameError, MAX_FRAME_BYTES};
use shaletrail_protocol::internal::{CoordinatorMessage, Handshake};
use shaletrail_protocol::{Incarnation, NodeId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const OTHER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);
const INCARNATION: Incarnation = Incarnation(5);

fn on_one_thread(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let bounded = async { tokio::time::timeout(Duration::from_secs(10), test).await };
    tokio::task::LocalSet::new().block_on(&runtime, bounded).expect("the test ends in time");
}

/// What a reader makes of bytes after which the connection ends.
async fn read(bytes: &[u8]) -> Result<CoordinatorMessage, ReadError> {
    let (mut near, mut far) = tokio::io::duplex(bytes.len().max(1));
    far.write_all(bytes).await.expect("there is room");
    drop(far);
    read_frame(&mut near).await
}

fn acknowledgement(batch: u64) -> CoordinatorMessage {
    CoordinatorMessage::DirectoryAck { batch }
}

#[test]
fn given_a_connection_that_ends_in_the_middle_of_a_frame_when_it_is_read_then_there_is_no_message() {
    on_one_thread(async {
        let whole = frame::encode(&acknowledgement(7));
        assert_eq!(read(&whole).await.expect("a message"), acknowledgement(7));
        for length in 0..whole.len() {
            let ended = read(&whole[..length]).await;
            assert!(matches!(ended, Err(ReadError::Ended { .. })), "{length} bytes");
        }
    });
}

#[test]
fn given_a_prefix_over_the_limit_when_it_is_read_then_the_rest_is_not_waited_for() {
    on_one_thread(async {
        let (mut near, mut far) = tokio::io::duplex(64);
        far.write_all(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()).await.expect("there is room");

        // The connection stays open: only the prefix can tell.
        let read =
            tokio::time::timeout(Duration::from_secs(2), read_frame::<CoordinatorMessage>(&mut near)).await;

        let refused = read.expect("it does not wait");
        let too_long = FrameError::TooLong { length: MAX_FRAME_BYTES + 1 };
        assert!(matches!(refused, Err(ReadError::Frame { source }) if source == too_long));
    });
}

#[test]
fn given_bytes_that_are_no_message_when_they_are_read_then_the_connection_is_given_up() {
    on_one_thread(async {
        let mut bytes = 5_u32.to_be_bytes().to_vec();
        bytes.extend_from_slice(&[0xff; 5]);
        assert!(matches!(read(&bytes).await, Err(ReadError::Frame { .. })));
    });
}

#[test]
fn given_a_link_that_breaks_when_it_is_up_again_then_it_says_who_it_is_and_goes_on_with_whole_new_messages() {
    on_one_thread(async {
        // given
        let listener = TcpListener::bind(SocketAddrV4::new(OTHER, 0)).await.expect("a port");
        let port = listener.local_addr().expect("an address").port();
        let node = NodeId::from(Ipv4Addr::LOCALHOST);
        let mut links = Links::new(node, INCARNATION, port);
        links.send(NodeId::from(OTHER), &acknowledgement(1));
        let (mut first, _) = listener.accept().await.expect("a connection");
        let hello: Handshake = read_frame(&mut first).await.expect("a greeting");
        assert_eq!(hello, Handshake::Coordinator { node, incarnation: INCARNATION });
        let message: CoordinatorMessage = read_frame(&mut first).await.expect("a message");
        assert_eq!(message, acknowledgement(1));

        // when: the connection ends in the middle of what it carries
        links.send(NodeId::from(OTHER), &acknowledgement(2));
        let mut some = [0; 2];
        first.read_exact(&mut some).await.expect("bytes of the second message");
        drop(first);
        let mut number = 2;
        let mut second = loop {
            number += 1;
            links.send(NodeId::from(OTHER), &acknowledgement(number));
            let accepted = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
            if let Ok(accepted) = accepted {
                break accepted.expect("a connection").0;
            }
        };

        // then: nothing comes twice
        let hello: Handshake = read_frame(&mut second).await.expect("a greeting");
        assert_eq!(hello, Handshake::Coordinator { node, incarnation: INCARNATION });
        let message: CoordinatorMessage = read_frame(&mut second).await.expect("a message");
        assert!(matches!(message, CoordinatorMessage::DirectoryAck { batch: 3.. }), "{message:?}");
    });
}
