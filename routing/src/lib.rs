//! Decisions on requests at an edge, as a sans-IO state machine: a driver feeds a [`Router`] with
//! [`interface::Event`]s and carries out the [`interface::Action`]s that it answers. It has no clock, no threads
//! and no I/O; the same events give the same actions.
//!
//! | module | job |
//! | --- | --- |
//! | `router` | dispatch of events |
//! | `placing` | sending requests, and holding those without a server |
//! | `attempts` | attempts under way: evidence, silence, end |
//! | `endings` | the table of requests and their final actions |
//! | `requests` | a request and its phases |
//! | `peers`, `share`, `load_table`, `topology`, `announced` | what the edges have under way at servers, told among them |
//! | `choice` | the server of a request: RJ-CH sequence, cap, known load |
//! | `servers` | what is known of each server |
//! | `fleet` | the servers of one service |
//! | `health` | evidence against a server, back-off and trials |
//! | `budget` | the edge's part of the repeats allowed |
//! | `holding` | requests that wait for a server |
//! | `report` | demand and observations for the coordinators |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod announced;
mod attempts;
mod budget;
mod choice;
mod counters;
mod endings;
mod fleet;
mod health;
mod holding;
pub mod interface;
mod load_table;
mod options;
mod peers;
mod placing;
mod report;
mod requests;
mod router;
mod servers;
mod share;
mod topology;
mod window;

pub use counters::Counters;
pub use options::Options;
pub use router::Router;
