//! The whole system in memory, for tests: the production decisions of coordinators and edges, with virtual time,
//! seeded luck, and model servers, an operator and clients that behave as the operators' protocol says.
//!
//! A [`Fleet`] runs as many machines as a test wants. Nothing in it sleeps or reads a clock; the same seed gives the
//! same history. What operator, servers and clients see is written down by a [`Witness`], and [`checks`] go by that
//! alone, never by the state of the decisions under test.
//!
//! | module | job |
//! | --- | --- |
//! | [`fleet`] | the machines, and the passing of time |
//! | `calls` | what the operator and clients do at a fleet |
//! | `report` | whether the rules hold, and what a fleet looks like where they don't |
//! | [`troubles`] | what goes wrong: crashes, losses of power, freezes, cuts, disks |
//! | [`world`] | clock, schedule, luck and network that all machines share |
//! | [`network`] | links: delay, loss, cuts |
//! | [`message`] | what travels on links |
//! | [`coordinator`] | a coordinator's process around the production core |
//! | [`disk`] | its journal on a disk in memory |
//! | [`edge`] | an edge's process: polls around the production router |
//! | [`requests`] | the requests of an edge's clients |
//! | [`server`] | a model server |
//! | [`operator`] | the operator's calls |
//! | [`site`] | configurations to test with |
//! | [`witness`] | what was seen from outside |
//! | [`checks`] | the rules, over what was seen |
//! | [`history`] | random histories |

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clients;
pub mod contact;
pub mod coordinator;
pub mod disk;
pub mod edge;
pub mod faults;
pub mod fixtures;
pub mod fleet;
pub mod history;
pub mod invariants;
pub mod message;
pub mod network;
pub mod observer;
pub mod operator;
mod report;
pub mod requests;
pub mod server;
pub mod world;

pub use fleet::{Fleet, FleetOptions};
pub use observer::Observer;
