//! The whole system in memory, for tests: the production state machines of coordinators and edges over a simulated network,
//! simulated disks and model servers, with virtual time and fault injection.
//!
//! A [`Fleet`] runs as many machines as a test wants. Nothing in it sleeps or reads a clock, and all randomness comes from
//! one seeded generator, so that the same seed gives the same history. What the operator, servers and clients see is
//! recorded by an [`Observer`]; the [`invariants`] are checked over that record alone, never over the state of the system
//! under test.
//!
//! | module | job |
//! | --- | --- |
//! | [`fleet`] | the machines: event loop, membership, faults, calls of operator and clients, reports of failed tests |
//! | [`world`] | what all machines share: clock, scheduled events, random number generator, network, observer |
//! | [`network`] | links: delay, loss, partitions, disorder |
//! | [`message`] | the messages on links |
//! | [`contact`] | which machines have quorum contact |
//! | [`coordinator`] | a coordinator's process around the production core |
//! | [`disk`] | a coordinator's journal on a disk in memory |
//! | [`edge`] | an edge's process around the production router: polls, reports and clients' requests |
//! | [`server`] | a model server |
//! | [`operator`] | the operator's calls |
//! | [`fixtures`] | configurations and addresses |
//! | [`observer`] | the record of what is visible from outside |
//! | [`invariants`] | the invariants over that record |
//! | [`history`] | random histories of faults |

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
