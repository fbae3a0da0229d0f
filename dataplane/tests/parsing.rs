//! Tests without sockets: parsing of headers and event streams, choice of coordinators, time-outs.

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Response, Uri};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use shaletrail_dataplane::coordinator_selector::CoordinatorSelector;
use shaletrail_dataplane::event_splitter::{EventSplitter, SplitError, MAX_EVENT_BYTES};
use shaletrail_dataplane::poll_timeouts::PollTimeouts;
use shaletrail_dataplane::request::{has_connection_close, host, strip_hop_by_hop, RequestHeaders};
use shaletrail_dataplane::response::{
    classify, keep_alive_ms, retry_after_ms, server_load, BodyFraming, MalformedReason, ResponseKind,
};
use shaletrail_dataplane::shutdown_window::ShutdownWindow;
use shaletrail_dataplane::tcp_user_timeout::{tcp_user_timeout, DEFAULT_TCP_USER_TIMEOUT};
use shaletrail_protocol::NodeId;
use std::time::Duration;

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let parse = |(name, value): &(&str, &str)| {
        (
            name.parse::<HeaderName>().expect("valid header name"),
            HeaderValue::from_str(value).expect("valid header value"),
        )
    };
    let mut headers = HeaderMap::new();
    for (name, value) in pairs.iter().map(parse) {
        headers.append(name, value);
    }
    headers
}

fn classify_response(status: u16, pairs: &[(&str, &str)]) -> ResponseKind {
    let (mut head, ()) = Response::builder().status(status).body(()).expect("valid response").into_parts();
    head.headers = headers(pairs);
    classify(&head, &Method::POST, Some(&HeaderValue::from_static("t1")))
}

#[test]
fn splitter_output_does_not_depend_on_chunk_boundaries() {
    // given
    let text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nversions: 3\nid:7\ndata: c\n\nid: 8\nda";
    let complete = text.strip_suffix("id: 8\nda").expect("text that ends with a partial event");
    let mut random = Pcg64::seed_from_u64(1);
    for _ in 0..500 {
        // when
        let mut splitter = EventSplitter::resuming_after(None);
        let (mut rest, mut forwarded) = (text.as_bytes(), Vec::new());
        while !rest.is_empty() {
            let (chunk, later) = rest.split_at(random.random_range(1..=rest.len()));
            let events = splitter.push(Bytes::copy_from_slice(chunk)).expect("valid events");
            assert!(events.is_empty() || events.ends_with(b"\n\n") || events.ends_with(b"\n\r\n"));
            forwarded.extend_from_slice(&events);
            rest = later;
        }

        // then
        assert_eq!(forwarded, complete.as_bytes());
        assert_eq!(splitter.last_id(), Some(7));
        assert!(splitter.has_partial_event());
        assert_eq!(splitter.finish(), "id: 8\nda");
    }
}

#[test]
fn splitter_drops_events_before_resume_point() {
    // given
    let mut splitter = EventSplitter::resuming_after(Some(2));

    // when
    let events = splitter.push(Bytes::from_static(b"id: 1\n\nid: 2\n\nid: 3\n\nid: 4\n\n"));

    // then
    assert_eq!(events, Ok(Bytes::from_static(b"id: 3\n\nid: 4\n\n")));
    assert_eq!(splitter.last_id(), Some(4));
}

#[test]
fn splitter_rejects_too_long_event() {
    // given
    let mut splitter = EventSplitter::resuming_after(None);

    // when
    let result = splitter.push(Bytes::from(vec![b'x'; MAX_EVENT_BYTES + 1]));

    // then
    assert_eq!(result, Err(SplitError::TooLong));
}

#[test]
fn request_headers_are_parsed() {
    // given
    let full = headers(&[
        ("model", "daka510000/a3"),
        ("token-count", "1460,80"),
        ("prompt-prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
        ("deadline-ms", "5000"),
        ("last-event-id", "12"),
    ]);
    let invalid = headers(&[
        ("model", "m"),
        ("token-count", "x"),
        ("prompt-prefix", "a:1,zz:2,b:3"),
        ("deadline-ms", "-1"),
    ]);

    // when
    let (full, invalid) = (RequestHeaders::parse(&full), RequestHeaders::parse(&invalid));

    // then
    insta::assert_debug_snapshot!(full, @r#"
    RequestHeaders {
        model: Some(
            "daka510000",
        ),
        adapter: Some(
            "a3",
        ),
        tokens: Some(
            (
                1460,
                80,
            ),
        ),
        prompt: [
            (
                1545471906,
                800,
            ),
            (
                2445098758,
                410,
            ),
            (
                3829410685,
                250,
            ),
        ],
        deadline: Some(
            5000,
        ),
        last_event: Some(
            12,
        ),
    }
    "#);
    let expected =
        RequestHeaders { model: Some("m".to_owned()), prompt: vec![(10, 1)], ..RequestHeaders::default() };
    assert_eq!(invalid, expected);
}

#[test]
fn host_excludes_port() {
    // given
    let path = Uri::from_static("/x");
    let absolute = Uri::from_static("http://b.example:81/x");
    let named = headers(&[("host", "a.example:80")]);

    // when, then
    assert_eq!(host(&named, &path), "a.example");
    assert_eq!(host(&named, &absolute), "b.example");
    assert_eq!(host(&HeaderMap::new(), &path), "");
}

#[test]
fn hop_by_hop_headers_are_stripped() {
    // given
    let mut all = headers(&[
        ("connection", "close, x-own"),
        ("x-own", "1"),
        ("keep-alive", "timeout=4"),
        ("te", "trailers"),
        ("upgrade", "h2c"),
        ("proxy-connection", "x"),
        ("attempt-id", "t1"),
    ]);
    assert!(has_connection_close(&all));

    // when
    strip_hop_by_hop(&mut all);

    // then
    assert_eq!(all, headers(&[("attempt-id", "t1")]));
}

#[test]
fn response_heads_are_classified() {
    // given
    use MalformedReason::{AttemptIdMismatch, MissingStamp, UnconfirmedRejection, UnknownLength};
    use ResponseKind::{Failure, Malformed, Rejection, Success};
    const ID: (&str, &str) = ("attempt-id", "t1");
    const STAMP: (&str, &str) = ("server-stamp", "s");
    const LENGTH: (&str, &str) = ("content-length", "5");
    const CHUNKED: (&str, &str) = ("transfer-encoding", "chunked");
    const IDENTITY: (&str, &str) = ("transfer-encoding", "identity");
    const EVENTS: (&str, &str) = ("content-type", "text/event-stream; charset=utf-8");
    const NOT_EXECUTED: (&str, &str) = ("not-executed", "1");

    // when, then
    assert_eq!(classify_response(200, &[ID, STAMP, LENGTH]), Success(BodyFraming::Length(5)));
    assert_eq!(classify_response(200, &[ID, STAMP, CHUNKED]), Success(BodyFraming::Chunked));
    assert_eq!(classify_response(200, &[ID, STAMP, CHUNKED, EVENTS]), Success(BodyFraming::Events));
    assert_eq!(classify_response(204, &[ID, STAMP]), Success(BodyFraming::Length(0)));
    assert_eq!(classify_response(200, &[ID, STAMP]), Malformed(UnknownLength));
    assert_eq!(classify_response(200, &[ID, STAMP, IDENTITY, LENGTH]), Malformed(UnknownLength));
    assert_eq!(classify_response(200, &[ID, STAMP, CHUNKED, IDENTITY]), Malformed(UnknownLength));
    assert_eq!(classify_response(200, &[ID, STAMP, CHUNKED, LENGTH]), Success(BodyFraming::Chunked));
    assert_eq!(classify_response(200, &[ID, LENGTH]), Malformed(MissingStamp));
    assert_eq!(classify_response(200, &[("attempt-id", "t0"), STAMP, LENGTH]), Malformed(AttemptIdMismatch));
    assert_eq!(classify_response(200, &[STAMP, LENGTH]), Malformed(AttemptIdMismatch));
    assert_eq!(classify_response(503, &[ID, NOT_EXECUTED, LENGTH]), Rejection);
    assert_eq!(classify_response(429, &[ID, NOT_EXECUTED]), Rejection);
    assert_eq!(classify_response(400, &[ID, NOT_EXECUTED]), Rejection);
    assert_eq!(classify_response(421, &[ID]), Rejection);
    assert_eq!(classify_response(503, &[ID, STAMP, LENGTH]), Malformed(UnconfirmedRejection));
    for status in [408, 429, 503] {
        assert_eq!(classify_response(status, &[ID, STAMP, LENGTH]), Malformed(UnconfirmedRejection));
    }
    for status in [200, 500, 504] {
        assert_ne!(classify_response(status, &[ID, STAMP, LENGTH, NOT_EXECUTED]), Rejection);
    }
    assert_eq!(classify_response(503, &[("attempt-id", "t0"), NOT_EXECUTED]), Malformed(AttemptIdMismatch));
    assert_eq!(classify_response(421, &[("attempt-id", "t0")]), Malformed(AttemptIdMismatch));
    assert_eq!(classify_response(400, &[ID, LENGTH]), Failure);
    assert_eq!(classify_response(500, &[ID, STAMP, LENGTH]), Failure);
}

#[test]
fn invalid_response_header_values_count_as_missing() {
    // given
    let valid =
        headers(&[("server-load", "3,0,8"), ("retry-after", "0.25"), ("keep-alive", "max=9, timeout=5")]);
    let invalid = headers(&[("server-load", "3,0"), ("retry-after", "soon"), ("keep-alive", "timeout")]);

    // when, then
    assert_eq!(server_load(&valid).map(|load| (load.running, load.waiting, load.slots)), Some((3, 0, 8)));
    assert_eq!((retry_after_ms(&valid), keep_alive_ms(&valid)), (Some(250), Some(5000)));
    assert_eq!(
        (server_load(&invalid), retry_after_ms(&invalid), keep_alive_ms(&invalid)),
        (None, None, None)
    );
}

#[test]
fn each_coordinator_is_chosen_once_a_round() {
    // given
    let mut coordinators = CoordinatorSelector::new(NodeId(1), vec![NodeId(2), NodeId(3)]);
    coordinators.learn(vec![NodeId(3), NodeId(4)]);

    // when
    let mut polled = Vec::new();
    while let Some(node) = coordinators.choose() {
        polled.push(node);
        coordinators.record_failure();
    }
    coordinators.begin_round();
    let again = coordinators.choose();
    coordinators.record_success();

    // then
    assert_eq!(again, polled.first().copied());
    assert_eq!(coordinators.choose(), again);
    polled.sort();
    assert_eq!(polled, [NodeId(2), NodeId(3), NodeId(4)]);
}

#[test]
fn edges_spread_over_coordinators() {
    // given
    let seeds = vec![NodeId(1001), NodeId(1002), NodeId(1003)];

    // when
    let chosen: Vec<_> =
        (0..300).filter_map(|edge| CoordinatorSelector::new(NodeId(edge), seeds.clone()).choose()).collect();

    // then
    for seed in &seeds {
        let chosen_by = chosen.iter().filter(|node| *node == seed).count();
        assert!((70..=130).contains(&chosen_by), "{seed}: {chosen_by}");
    }
}

#[test]
fn poll_timeouts_stay_within_bounds() {
    let poll_timeouts = |convergence, drain| {
        PollTimeouts::from_bounds(Duration::from_millis(convergence), Duration::from_millis(drain))
    };
    // given, when, then
    assert_eq!(
        poll_timeouts(2000, 2000),
        PollTimeouts { max_wait: Duration::from_millis(500), max_delay: Duration::from_millis(333) }
    );
    assert_eq!(
        poll_timeouts(60_000, 100),
        PollTimeouts { max_wait: Duration::from_millis(100), max_delay: Duration::from_millis(150) }
    );
    assert_eq!(
        poll_timeouts(60_000, 60_000),
        PollTimeouts { max_wait: Duration::from_millis(1000), max_delay: Duration::from_millis(400) }
    );
}

#[test]
fn late_requests_are_accepted_only_if_they_end_before_abort() {
    // given
    let window = ShutdownWindow { started_at: 10_000, aborts_at: 17_300 };

    // when
    let at_start = window.accepts(10_000, 15_000);
    let before_checks_take_effect = window.accepts(12_699, 15_000);
    let late_and_long = window.accepts(13_492, 15_000);
    let late_and_short = window.accepts(13_492, 1_500);
    let last_in_time = window.accepts(15_800, 1_500);
    let first_too_late = window.accepts(15_801, 1_500);

    // then
    assert!(at_start && before_checks_take_effect && late_and_short && last_in_time);
    assert!(!late_and_long && !first_too_late);
}

#[test]
fn long_body_may_stay_unread_until_the_deadline() {
    let time_left = Duration::from_secs(12);
    assert_eq!(tcp_user_timeout(1_000, time_left), DEFAULT_TCP_USER_TIMEOUT);
    assert_eq!(tcp_user_timeout(1 << 20, time_left), time_left);
    assert_eq!(tcp_user_timeout(1 << 20, Duration::from_millis(100)), DEFAULT_TCP_USER_TIMEOUT);
}
