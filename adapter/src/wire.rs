//! Translation between the lines of the text protocol and the types of the balancer's interface.

use std::fmt::Write;
use std::io::BufRead;

use shaletrail_balancer_settings::Names;
use shaletrail_policy::*;

/// Input lines, with the number of the last one read.
pub struct Lines<R> {
    input: R,
    number: u64,
}

impl<R: BufRead> Lines<R> {
    /// Reads lines from `input`; no line has been read yet.
    pub fn new(input: R) -> Self {
        Lines { input, number: 0 }
    }

    /// Number of the line read last, from 1; 0 before the first read.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The next line without its line ending, or `None` at the end of the input. Fails when it can't be read.
    pub fn next(&mut self) -> Result<Option<String>, String> {
        let mut line = String::new();
        self.number += 1;
        match self.input.read_line(&mut line) {
            Ok(0) => Ok(None),
            Ok(_) => {
                line.truncate(line.trim_end_matches(['\n', '\r']).len());
                Ok(Some(line))
            }
            Err(_) => Err("expected UTF-8 text".into()),
        }
    }
}

/// One message of a batch.
pub enum Message {
    Attach { node: u64, seed: u64, settings: Settings },
    Stop { node: u64 },
    Event { node: u64, event: Event },
}

/// Space-separated fields of a line, read in order. A missing field or `-` is `None`.
struct Fields<'a> {
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    fn text(&mut self) -> Option<&'a str> {
        let rest = self.rest?;
        let (value, rest) = match rest.split_once(' ') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        (value != "-" && !value.is_empty()).then_some(value)
    }

    fn optional<T: std::str::FromStr>(&mut self, what: &str) -> Result<Option<T>, String> {
        self.text().map(|v| v.parse().map_err(|_| format!("expected {what}, got `{v}`"))).transpose()
    }

    fn required<T: std::str::FromStr>(&mut self, what: &str) -> Result<T, String> {
        self.optional(what)?.ok_or_else(|| format!("expected {what}"))
    }

    fn seconds(&mut self, what: &str) -> Result<Option<Seconds>, String> {
        match self.optional::<f64>(what)? {
            Some(v) if !v.is_finite() => Err(format!("expected {what}, got `{v}`")),
            v => Ok(v),
        }
    }

    fn server(&mut self) -> Result<ServerId, String> {
        self.text().map(|v| ServerId(v.into())).ok_or_else(|| "expected server address".into())
    }
}

/// Parses a `sync` line into its clock time; the error says what was expected.
pub fn parse_sync(line: &str) -> Result<Seconds, String> {
    let mut fields = Fields { rest: Some(line) };
    if fields.text() != Some("sync") {
        return Err("expected `sync` with the clock time".into());
    }
    fields.seconds("clock time")?.ok_or_else(|| "expected clock time".into())
}

fn parse_status(word: Option<&str>) -> Status {
    match word {
        Some("success") => Status::Success,
        Some("failure") => Status::Error,
        Some("overloaded") => Status::Overloaded,
        Some("timed_out") => Status::TimedOut,
        Some("unreachable") => Status::Unreachable,
        Some("broken") => Status::Broken,
        Some("withdrawn") => Status::Cancelled,
        Some("void") => Status::NotSent,
        Some("absent") => Status::Absent,
        _ => Status::Unknown,
    }
}

/// Parses one message, reading further `lines` if it needs them; `names` looks up an attached node's names.
pub fn parse<'n, R: BufRead>(
    line: &str,
    lines: &mut Lines<R>,
    names: impl Fn(u64) -> Option<&'n Names>,
) -> Result<Message, String> {
    let mut f = Fields { rest: Some(line) };
    let name = f.text().ok_or("expected a message name")?;
    let node: u64 = f.required("node number")?;
    let names = || names(node).ok_or_else(|| format!("expected an attached node, got {node}"));
    let event = match name {
        "attach" => {
            let seed = f.required("random seed")?;
            let setup = serde_json::from_str(f.rest.unwrap_or(""))
                .map_err(|e| format!("expected settings as a JSON object: {e}"))?;
            return Ok(Message::Attach {
                node,
                seed,
                settings: shaletrail_balancer_settings::parse(&setup).map_err(|e| e.to_string())?,
            });
        }
        "down" => return Ok(Message::Stop { node }),
        "roster_change" => {
            let mode = f.text();
            f.optional::<u64>("list version")?;
            let count = f.optional::<usize>("number of entries")?.unwrap_or(0);
            let mut entries = Vec::new();
            for _ in 0..count {
                entries.push(parse_entry(&lines.next()?.ok_or("expected a list entry")?)?);
            }
            Event::Membership(match mode {
                Some("delta") => MembershipUpdate::Delta(entries),
                Some("full") => MembershipUpdate::Full(entries),
                Some("cached") => MembershipUpdate::Cached(entries),
                Some("failed") => MembershipUpdate::Failed,
                _ => return Err("expected delta, full, cached or failed".into()),
            })
        }
        "arrival" => {
            let id = RequestId(f.required("request id")?);
            let time_left = f.seconds("time left")?.unwrap_or(0.0);
            let work = f.seconds("work hint")?;
            let bits = f.optional::<u64>("bitmap")?.unwrap_or(0);
            let names = names()?;
            let tenant = f.text().and_then(|name| names.tenant(name));
            let class = f.text().and_then(|name| names.class(name));
            f.seconds("object size")?;
            let key = f.optional("key")?.map(Key);
            let work = work.filter(|_| bits & 1 != 0);
            let write = bits & 4 != 0;
            Event::Request(NewRequest { id, time_left, class, tenant, key, write, work, body_pending: false })
        }
        "head_received" => Event::StreamStarted {
            request: RequestId(f.required("request id")?),
            attempt: AttemptId(f.required("attempt number")?),
            // The protocol reports the cache status with the outcome.
            note: None,
        },
        "outcome" => {
            let request = RequestId(f.required("request id")?);
            let elapsed = f.seconds("time spent")?.unwrap_or(0.0);
            let finished = f.optional::<u8>("0 or 1")?.unwrap_or(0) != 0;
            f.server()?;
            let attempt = AttemptId(f.required("attempt number")?);
            let status = parse_status(f.text());
            let note = match f.optional::<u64>("cache status")? {
                Some(1) => Some(CacheNote::Hit),
                Some(2) => Some(CacheNote::Miss),
                Some(3) => Some(CacheNote::MissFetching),
                _ => None,
            };
            Event::Outcome(Outcome { request, attempt, status, elapsed, finished, note })
        }
        "withdrawn" => Event::Withdrawn(RequestId(f.required("request id")?)),
        "ring" => Event::Timer(TimerToken(f.required("timer label")?)),
        "checked" => {
            let status = parse_status(f.text());
            f.seconds("time spent")?;
            Event::Probed { server: f.server()?, status }
        }
        "message" => {
            Event::Message { from: f.required("sender")?, bytes: parse_hex(f.text().unwrap_or(""))? }
        }
        other => return Err(format!("expected a known message name, got `{other}`")),
    };
    names()?;
    Ok(Message::Event { node, event })
}

fn parse_hex(digits: &str) -> Result<Vec<u8>, String> {
    let error = || format!("expected hex digits, got `{digits}`");
    if !digits.len().is_multiple_of(2) || !digits.is_ascii() {
        return Err(error());
    }
    (0..digits.len())
        .step_by(2)
        .map(|i| u8::from_str_radix(&digits[i..i + 2], 16).map_err(|_| error()))
        .collect()
}

fn parse_entry(line: &str) -> Result<ServerEntry, String> {
    let mut f = Fields { rest: Some(line) };
    if f.text() != Some("m") {
        return Err("expected a list entry (`m`)".into());
    }
    let state = match f.text() {
        Some("Ready") => ServerState::Ready,
        Some("Gone") => ServerState::Gone,
        _ => ServerState::Draining,
    };
    Ok(ServerEntry {
        state,
        server: f.server()?,
        zone: f.text().unwrap_or("").into(),
        weight: f.seconds("size")?.unwrap_or(1.0),
        kind: f.text().unwrap_or("").into(),
        started: f.seconds("start time")?.filter(|&at| at > 0.0),
        cell: f.optional("cell")?.unwrap_or(0),
    })
}

/// Appends the line for an action of this node to `out`.
pub fn write_action(node: u64, action: &Action, out: &mut String) {
    // Writing to a string cannot fail.
    let _ = match action {
        Action::Send { request, server, timeout: Some(t) } => {
            writeln!(out, "hand_off {node} {} {t:.6} {}", request.0, server.0)
        }
        Action::Send { request, server, timeout: None } => {
            writeln!(out, "hand_off {node} {} - {}", request.0, server.0)
        }
        Action::Cancel { request, attempt } => writeln!(out, "call_off {node} {} {}", request.0, attempt.0),
        Action::Refuse { request, retry_after: Some(t) } => writeln!(out, "busy {node} {} {t:.6}", request.0),
        Action::Refuse { request, retry_after: None } => writeln!(out, "busy {node} {} -", request.0),
        Action::Fail(request) => writeln!(out, "respond_error {node} {}", request.0),
        Action::SetTimer { token, after } => writeln!(out, "set_timer {node} {} {after:.6}", token.0),
        Action::Probe(server) => writeln!(out, "sample {node} {}", server.0),
        Action::CloseIdle(server) => writeln!(out, "close_idle {node} {}", server.0),
        Action::NotifyPeers(bytes) => {
            let digits: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
            writeln!(out, "write_peer {node} -1 {digits}")
        }
        Action::Subscribe => writeln!(out, "keep_informed {node} 1"),
        Action::Log(text) => writeln!(out, "journal_line {node} {text}"),
    };
}
