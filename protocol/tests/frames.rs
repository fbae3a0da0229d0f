//! Frames between nodes.

use shaletrail_protocol::frame::{self, FrameError, MAX_FRAME_BYTES, PREFIX_BYTES};
use shaletrail_protocol::internal::{EdgeRequest, PollRequest};

#[test]
fn given_a_message_when_it_is_framed_and_read_back_then_it_is_the_same() {
    let request =
        EdgeRequest::Poll(PollRequest { config_version: 7, max_wait_ms: 500, ..PollRequest::default() });

    let bytes = frame::encode(&request);
    let (prefix, body) = bytes.split_first_chunk::<PREFIX_BYTES>().expect("a prefix");

    assert_eq!(frame::body_length(*prefix), Ok(body.len()));
    assert_eq!(frame::decode::<EdgeRequest>(body), Ok(request));
}

#[test]
fn given_a_length_over_the_limit_when_the_prefix_is_read_then_nothing_is_reserved_for_it() {
    let prefix = (MAX_FRAME_BYTES as u32 + 1).to_be_bytes();

    assert_eq!(frame::body_length(prefix), Err(FrameError::TooLong { length: MAX_FRAME_BYTES + 1 }));
}

#[test]
fn given_bytes_that_are_no_message_when_they_are_decoded_then_the_error_says_so() {
    assert_eq!(frame::decode::<EdgeRequest>(&[0xff; 5]), Err(FrameError::Malformed { length: 5 }));
}
