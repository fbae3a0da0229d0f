//! Request routing of an edge as a sans-IO state machine. A driver passes [`interface::Event`]s to a
//! [`Router`] and executes the [`interface::Action`]s that it returns. The router has no clock, no threads
//! and no I/O; equal events and seeds give equal actions.
//!
//! A request passes through the modules as follows: `admission` selects its service; `dispatch` asks
//! `balance` for a server and sends an attempt, or `queueing` queues the request; `attempt_events` and
//! `attempt_outcomes` handle the events of the attempt; `responses` ends the request.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `router` | state of the router; passes events to the modules below |
//! | `discovery` | updates of the configuration and of the server records |
//! | `admission` | new requests: selection of the service, load shedding, unknown models |
//! | `dispatch` | retry policy; sending of attempts |
//! | `queueing`, `request_queue` | requests that wait for a server |
//! | `attempt_events`, `attempts` | driver events about attempts; time-out and cancellation of attempts |
//! | `attempt_outcomes` | effect of an attempt's outcome on the request and the server |
//! | `responses` | the final action of a request |
//! | `timers`, `request_table` | timers of requests and attempts; table of open requests |
//! | `request`, `target` | a request and its phases; the service, model and adapter that it asks for |
//! | `balance` | selection of the server: consistent hashing (RJ-CH), load cap, known load |
//! | `server`, `server_table`, `server_pool` | one server; all servers; the servers of one service |
//! | `failure_accrual` | consecutive failures, ejection with back-off, probes |
//! | `retry_budget`, `sliding_window_counter` | this edge's share of the retry budget |
//! | `local_load`, `load_gossip`, `load_table`, `advertisement`, `gossip_topology` | exchange of server loads among edges |
//! | `report`, `counters` | demand and attempt outcomes for the coordinators; request counters |

mod admission;
mod advertisement;
mod attempt_events;
mod attempt_outcomes;
mod attempts;
mod balance;
mod counters;
mod discovery;
mod dispatch;
mod failure_accrual;
mod gossip_topology;
pub mod interface;
mod load_gossip;
mod load_table;
mod local_load;
mod options;
mod queueing;
mod report;
mod request;
mod request_queue;
mod request_table;
mod responses;
mod retry_budget;
mod router;
mod server;
mod server_pool;
mod server_table;
mod sliding_window_counter;
mod target;
mod timers;

pub use counters::Counters;
pub use options::Options;
pub use router::Router;
