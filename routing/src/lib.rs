//! Decisions on requests at an edge, as a sans-IO state machine: a driver feeds a [`Router`] with
//! [`interface::Event`]s and carries out the [`interface::Action`]s that it returns. It has no clock, no threads
//! and no I/O; the same events give the same actions.
//!
//! A request's way: `admission` names its service, `dispatch` asks `balance` for a server and sends it, or `queueing` keeps
//! it; `attempt_events` and `attempt_outcomes` follow the attempt, and `responses` ends the request.
//!
//! | module | job |
//! | --- | --- |
//! | `router` | the state; dispatch of events to the modules below |
//! | `discovery` | updates of the configuration and of the servers |
//! | `admission` | new requests: service, load shedding, unknown models |
//! | `dispatch` | retry policy, and the sending of attempts |
//! | `queueing`, `request_queue` | requests that wait for a server |
//! | `attempt_events`, `attempts` | what the driver reports of attempts; their time-out and cancellation |
//! | `attempt_outcomes` | what the end of an attempt says of the request and of the server |
//! | `responses` | the final action of a request |
//! | `timers`, `request_table` | requests and attempts that are due; the table of open requests |
//! | `request`, `target` | a request and its phases; the service, model and adapter that it asks for |
//! | `balance` | the server of a request: RJ-CH sequence, cap, known load |
//! | `server`, `server_table`, `server_pool` | one server; all servers; the servers of one service |
//! | `failure_accrual` | consecutive failures, ejection with backoff, probes |
//! | `retry_budget`, `sliding_window_counter` | this edge's part of the retries allowed |
//! | `local_load`, `load_gossip`, `load_table`, `advertisement`, `gossip_topology` | requests in flight at servers, exchanged among edges |
//! | `report`, `counters` | demand and outcomes for the coordinators; counts of requests |

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
