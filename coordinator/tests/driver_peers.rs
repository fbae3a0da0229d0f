//! Connections between coordinators over loopback: frames that are truncated, too long or undecodable, and
//! reconnecting.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use shaletrail_coordinator::driver::frames::{read_frame, ReadFrameError};
use shaletrail_coordinator::driver::peers::PeerConnections;
use shaletrail_protocol::frame::{self, FrameError, MAX_FRAME_BYTES};
use shaletrail_protocol::internal::{CoordinatorMessage, Handshake};
use shaletrail_protocol::{Incarnation, NodeId};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

mod local_runtime;

use local_runtime::run_within;

/// Timeout of a test, far longer than a successful run takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const PEER: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 9);
const INCARNATION: Incarnation = Incarnation(5);

/// Reads a message from a connection that ends after these bytes.
async fn read(bytes: &[u8]) -> Result<CoordinatorMessage, ReadFrameError> {
    let (mut near, mut far) = tokio::io::duplex(bytes.len().max(1));
    far.write_all(bytes).await.expect("there is room");
    drop(far);
    read_frame(&mut near).await
}

fn acknowledgement(batch: u64) -> CoordinatorMessage {
    CoordinatorMessage::DirectoryAck { batch }
}

#[test]
fn truncated_frame_is_no_message() {
    run_within(TEST_TIMEOUT, async {
        let frame = frame::encode(&acknowledgement(7));
        assert_eq!(read(&frame).await.expect("a message is received"), acknowledgement(7));
        for length in 0..frame.len() {
            let ended = read(&frame[..length]).await;
            assert!(matches!(ended, Err(ReadFrameError::Connection { .. })), "{length} bytes");
        }
    });
}

#[test]
fn oversized_prefix_is_rejected_at_once() {
    run_within(TEST_TIMEOUT, async {
        let (mut near, mut far) = tokio::io::duplex(64);
        far.write_all(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()).await.expect("there is room");

        // The connection stays open after the length prefix, so a reader that waited for the body would time out.
        let read =
            tokio::time::timeout(Duration::from_secs(2), read_frame::<CoordinatorMessage>(&mut near)).await;

        let rejected = read.expect("the frame is rejected without waiting");
        let too_long = FrameError::TooLong { length: MAX_FRAME_BYTES + 1 };
        assert!(matches!(rejected, Err(ReadFrameError::Frame { source }) if source == too_long));
    });
}

#[test]
fn undecodable_body_is_an_error() {
    run_within(TEST_TIMEOUT, async {
        let mut bytes = 5_u32.to_be_bytes().to_vec();
        bytes.extend_from_slice(&[0xff; 5]);
        assert!(matches!(read(&bytes).await, Err(ReadFrameError::Frame { .. })));
    });
}

#[test]
fn reconnecting_repeats_the_handshake_but_no_message() {
    run_within(TEST_TIMEOUT, async {
        // given
        let listener = TcpListener::bind(SocketAddrV4::new(PEER, 0)).await.expect("a port is bound");
        let port = listener.local_addr().expect("the address is known").port();
        let node = NodeId::from(Ipv4Addr::LOCALHOST);
        let mut peers = PeerConnections::new(node, INCARNATION, port);
        peers.send(NodeId::from(PEER), &acknowledgement(1));
        let (mut first, _) = listener.accept().await.expect("the connection is established");
        let handshake: Handshake = read_frame(&mut first).await.expect("a handshake is received");
        assert_eq!(handshake, Handshake::Coordinator { node, incarnation: INCARNATION });
        let message: CoordinatorMessage = read_frame(&mut first).await.expect("a message is received");
        assert_eq!(message, acknowledgement(1));

        // when: the connection is closed in the middle of a frame
        peers.send(NodeId::from(PEER), &acknowledgement(2));
        let mut some = [0; 2];
        first.read_exact(&mut some).await.expect("bytes of the second message");
        drop(first);
        let mut number = 2;
        let mut second = loop {
            number += 1;
            peers.send(NodeId::from(PEER), &acknowledgement(number));
            let accepted = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
            if let Ok(accepted) = accepted {
                break accepted.expect("the connection is established").0;
            }
        };

        // then: nothing arrives twice
        let handshake: Handshake = read_frame(&mut second).await.expect("a handshake is received");
        assert_eq!(handshake, Handshake::Coordinator { node, incarnation: INCARNATION });
        let message: CoordinatorMessage = read_frame(&mut second).await.expect("a message is received");
        assert!(matches!(message, CoordinatorMessage::DirectoryAck { batch: 3.. }), "{message:?}");
    });
}
