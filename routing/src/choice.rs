//! The server of a request.
//!
//! A key goes to the owner of its home slot h(key, 0) if that server can serve it and is below the cap
//! C = ⌈(1 + ε)·n/k⌉, where n counts the requests that this edge has open at the service, the new one included,
//! and k the ready servers that can serve the key. Overflow follows h(key, 1), h(key, 2) and so on. Where all are
//! at the cap, the one with the fewest requests for its slots takes it, unless all are known to be full.

use shaletrail_protocol::Millis;
use shaletrail_ring::{mix, Key};

use crate::fleet::Fleet;
use crate::interface::NewRequest;
use crate::peers::Peers;
use crate::report::Wanted;
use crate::servers::{Room, Server, ServerHandle, Servers, Standing};
use crate::Options;

/// What a request looks for.
pub(crate) struct Ask<'a> {
    /// Its key.
    pub key: Key,
    /// What the server must hold.
    pub wanted: &'a Wanted,
    /// Servers that it has been sent to.
    pub tried: &'a [ServerHandle],
    /// The only servers that it may be sent to, where it may be sent to no further one.
    pub only: Option<&'a [ServerHandle]>,
    /// Connections to one server that this edge may hold.
    pub connections: u32,
    /// Prompt tokens that have to be read even where all shared parts have been.
    pub own_prefill: u32,
}

/// A server was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Chosen {
    /// The server.
    pub server: ServerHandle,
    /// Whether every server was at the cap.
    pub crowded: bool,
    /// Whether it is the first in the key's sequence that can serve it: it has likely read what the key's requests
    /// share.
    pub at_home: bool,
}

/// Why there is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unavailable {
    /// The service has no server that takes requests.
    NoServer,
    /// None that may be asked holds what is wanted.
    NoHolder {
        /// When one may be asked, with no event but the passing of time.
        again_at: Option<Millis>,
    },
    /// All that could serve it are known to be full.
    Full {
        /// When one may no longer be.
        again_at: Option<Millis>,
    },
}

/// The key that a request is placed by: the model, with its adapter, or the path where there is no model. Parts of
/// the prompt that other requests share belong to it: the server that has read them need not read them again, and
/// the subjects of a busy model spread over its replicas.
pub(crate) fn request_key(request: &NewRequest, wanted: &Wanted) -> Key {
    let key = match &wanted.adapter {
        _ if wanted.model.is_empty() => return Key(request.path_hash),
        None => Key::of(&wanted.model),
        Some(adapter) => Key::of_parts(&[&wanted.model, adapter]),
    };
    // The last part is the request's own, or its session's.
    let shared = request.prompt.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().fold(key, |key, (part, _)| Key(mix(key.0 ^ mix(*part))))
}

/// C = ⌈(1 + ε)·n/k⌉, and never below the floor.
pub(crate) fn cap(open_with_new: u32, able: u32, options: &Options) -> u32 {
    let even = (1.0 + options.epsilon) * f64::from(open_with_new) / f64::from(able.max(1));
    (even.ceil() as u32).max(options.cap_floor)
}

/// Chooses among the servers of a service.
pub(crate) fn choose(
    fleet: &Fleet,
    servers: &Servers,
    peers: &Peers,
    ask: &Ask<'_>,
    now: Millis,
    options: &Options,
) -> Result<Chosen, Unavailable> {
    let valid = fleet.usual_ms().clamp(options.load_min_ms, options.load_max_ms.max(options.load_min_ms));
    Choice { fleet, servers, peers, ask, now, valid, options }.choose()
}

struct Choice<'a> {
    fleet: &'a Fleet,
    servers: &'a Servers,
    peers: &'a Peers,
    ask: &'a Ask<'a>,
    now: Millis,
    /// How long what an answer told of a server's load counts, in milliseconds.
    valid: Millis,
    options: &'a Options,
}

/// A server that can serve a key.
type Candidate<'a> = (ServerHandle, &'a Server);

/// The servers of a service, as one request sees them.
#[derive(Default)]
struct Field<'a> {
    /// Servers that have not left.
    usable: usize,
    /// Of those, the ready ones.
    ready: usize,
    /// Ready servers with evidence against them, the worst first once sorted.
    suspects: Vec<(std::cmp::Reverse<u32>, ServerHandle)>,
    /// Ready servers that can serve the key.
    able: Vec<Candidate<'a>>,
    /// Silent servers that could.
    silent: Vec<Candidate<'a>>,
}

impl<'a> Choice<'a> {
    fn members(&self) -> impl Iterator<Item = Candidate<'a>> {
        let servers = self.servers;
        self.fleet.members.iter().filter_map(move |handle| Some((*handle, servers.get(*handle)?)))
    }

    fn choose(&self) -> Result<Chosen, Unavailable> {
        let field = self.field();
        if field.usable == 0 {
            return Err(Unavailable::NoServer);
        }
        let able = field.able;
        let chosen = self.first_below_cap(&able).or_else(|| self.least_loaded(&able));
        // A silent server only where no other can serve the key at all.
        let silent = if able.is_empty() { field.silent } else { Vec::new() };
        chosen.or_else(|| self.least_loaded(&silent)).ok_or_else(|| self.unavailable(&able))
    }

    /// Looks at all members once. At most half of the ready ones are skipped by evidence: those that failed most
    /// often.
    fn field(&self) -> Field<'a> {
        let mut field = Field::default();
        for (handle, server) in self.members() {
            let standing = server.standing();
            if standing == Standing::Leaving {
                continue;
            }
            field.usable += 1;
            let is_ready = standing == Standing::Ready;
            field.ready += usize::from(is_ready);
            let admits = server.health.admits(self.now);
            if is_ready && !admits {
                field.suspects.push((std::cmp::Reverse(server.health.failures()), handle));
            }
            let allowed = self.ask.only.is_none_or(|only| only.contains(&handle));
            let could =
                allowed && server.holds(self.ask.wanted, self.now) && !self.ask.tried.contains(&handle);
            match is_ready {
                true if could => field.able.push((handle, server)),
                false if could && admits => field.silent.push((handle, server)),
                _ => {}
            }
        }
        field.suspects.sort_unstable();
        field.suspects.truncate(field.ready / 2);
        field.able.retain(|(handle, _)| field.suspects.iter().all(|(_, suspect)| suspect != handle));
        field
    }

    /// The first in the key's sequence that is below the cap, not known to be full and at ease; where none is at
    /// ease, the one below the cap with the least of prompts to read.
    fn first_below_cap(&self, able: &[(ServerHandle, &Server)]) -> Option<Chosen> {
        let cap = cap(self.fleet.open + 1, able.len() as u32, self.options);
        let takes = |server: &Server| server.open < cap && self.room(server) == Room::Slots;
        let takers: Vec<(ServerHandle, &Server)> =
            able.iter().filter(|(_, server)| takes(server)).copied().collect();
        if let [(only, _)] = takers.as_slice() {
            return Some(Chosen { server: *only, crowded: false, at_home: able.len() == 1 });
        }
        if self.ask.own_prefill >= self.options.long_prompt {
            return self.least_disturbed(&takers);
        }
        let mut sequence = self.fleet.array.sequence(self.ask.key).copied();
        let mut home = None;
        let at_ease = sequence.find(|owner| {
            if home.is_none() && able.iter().any(|(handle, _)| handle == owner) {
                home = Some(*owner);
            }
            takers.iter().any(|(handle, server)| handle == owner && self.is_at_ease(server))
        });
        let server = match at_ease {
            Some(server) => server,
            None => takers.iter().min_by_key(|(_, server)| self.strain(server)).map(|(handle, _)| *handle)?,
        };
        Some(Chosen { server, crowded: false, at_home: home == Some(server) })
    }

    /// For a prompt so long that reading it holds up all streams of its server: the server with the fewest of them.
    fn least_disturbed(&self, takers: &[(ServerHandle, &Server)]) -> Option<Chosen> {
        let sequence: Vec<ServerHandle> = self.fleet.array.sequence(self.ask.key).copied().collect();
        let position = |handle: &ServerHandle| sequence.iter().position(|owner| owner == handle);
        let rank = |(handle, server): &&(ServerHandle, &Server)| {
            let (silent, prefill, open) = self.strain(server);
            (silent || prefill > self.options.prefill_ease, open, prefill, position(handle))
        };
        let (server, _) = takers.iter().min_by_key(rank)?;
        Some(Chosen { server: *server, crowded: false, at_home: sequence.first() == Some(server) })
    }

    /// Whether a request would be worked on soon, as far as the edges know.
    fn is_at_ease(&self, server: &Server) -> bool {
        let (silent, prefill, _) = self.strain(server);
        !silent && prefill <= self.options.prefill_ease
    }

    /// How much speaks against sending a request there now: silence, prompts that wait to be read, open requests.
    fn strain(&self, server: &Server) -> (bool, u64, u32) {
        let elsewhere = self.peers.at(server.share.told());
        let silent = elsewhere.silent > 0 || server.is_silent(self.now, self.options);
        (silent, server.share.prefill + elsewhere.prefill, server.open + elsewhere.open)
    }

    /// The one with the fewest requests for its slots, of those with a free slot or else a place to wait.
    fn least_loaded(&self, able: &[(ServerHandle, &Server)]) -> Option<Chosen> {
        let load = |server: &Server| f64::from(server.occupied(self.since())) / f64::from(server.slots());
        let open = able.iter().map(|(handle, server)| (self.room(server), load(server), *handle));
        let open = open.filter(|(room, _, _)| *room != Room::Full);
        let least = open.min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        least.map(|(_, _, server)| Chosen { server, crowded: true, at_home: false })
    }

    fn room(&self, server: &Server) -> Room {
        if server.open >= self.ask.connections {
            return Room::Full;
        }
        server.room(self.now, self.since(), self.options)
    }

    /// What an answer told before this no longer counts.
    fn since(&self) -> Millis {
        (self.now + 1).saturating_sub(self.valid)
    }

    fn unavailable(&self, able: &[Candidate<'_>]) -> Unavailable {
        if !able.is_empty() {
            let until = |(_, server): &(ServerHandle, &Server)| server.full_until(self.now, self.valid);
            return Unavailable::Full { again_at: able.iter().filter_map(until).min() };
        }
        let usable = self.members().filter(|(_, server)| server.standing() != Standing::Leaving);
        let until = |(_, server): (ServerHandle, &Server)| {
            let again_at = server.health.again_at().filter(|at| *at > self.now);
            again_at.into_iter().chain(server.lacks_until(self.ask.wanted, self.now)).min()
        };
        Unavailable::NoHolder { again_at: usable.filter_map(until).min() }
    }
}
