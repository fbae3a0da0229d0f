//! Tests of frames: encoding and decoding, the length limit, and bodies that cannot be decoded.

use shaletrail_protocol::frame::{self, FrameError, MAX_FRAME_BYTES, PREFIX_BYTES};
use shaletrail_protocol::internal::{EdgeRequest, PollRequest};

#[test]
fn framed_message_round_trips() {
    let request =
        EdgeRequest::Poll(PollRequest { config_version: 7, max_wait_ms: 500, ..PollRequest::default() });

    let bytes = frame::encode(&request);
    let (prefix, body) = bytes.split_first_chunk::<PREFIX_BYTES>().expect("a prefix");

    assert_eq!(frame::body_length(*prefix), Ok(body.len()));
    assert_eq!(frame::decode::<EdgeRequest>(body), Ok(request));
}

#[test]
fn length_over_limit_is_rejected() {
    let prefix = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();

    assert_eq!(frame::body_length(prefix), Err(FrameError::TooLong { length: MAX_FRAME_BYTES + 1 }));
}

#[test]
fn undecodable_body_is_an_error() {
    assert_eq!(frame::decode::<EdgeRequest>(&[0xff; 5]), Err(FrameError::Malformed { length: 5 }));
}
