//! Deterministic simulation of the whole system, for tests: the production state machines of coordinators and edges run in
//! one process on a simulated network, simulated disks and simulated model servers, in virtual time and with injected faults.
//!
//! A [`Fleet`] runs all machines of a test. Nothing in it sleeps or reads a clock, and all randomness comes from one seeded
//! generator, so that a seed always yields the same history. An [`Observer`] records what the operator, servers and clients
//! see. The [`invariants`] are checked against that record only, never against the internal state of the system under test.
//!
//! | module | contents |
//! | --- | --- |
//! | [`fleet`] | the machines: event loop, membership, fault injection, calls of the operator and clients, failure reports |
//! | [`world`] | the state that all machines share: clock, scheduled events, random number generator, network, observer |
//! | [`network`] | links: delay, loss, partitions, duplication and reordering |
//! | [`message`] | the messages that links carry |
//! | [`contact`] | which machines have quorum contact |
//! | [`coordinator`] | a coordinator's process, which executes the actions of the production core |
//! | [`disk`] | a coordinator's journal on a disk in memory |
//! | [`edge`] | an edge's process, which executes the actions of the production router: polls, reports and clients' requests |
//! | [`server`] | a model server |
//! | [`operator`] | the operator's calls |
//! | [`fixtures`] | configurations and addresses |
//! | [`observer`] | the record of externally visible events |
//! | [`invariants`] | the invariants that this record must satisfy |
//! | [`history`] | randomized histories of faults |

pub mod contact;
pub mod coordinator;
pub mod disk;
pub mod edge;
pub mod fixtures;
pub mod fleet;
pub mod history;
pub mod invariants;
pub mod message;
pub mod network;
pub mod observer;
pub mod operator;
pub mod server;
pub mod world;

pub use fleet::{Fleet, FleetOptions};
pub use observer::Observer;
