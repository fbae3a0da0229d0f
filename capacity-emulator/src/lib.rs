//! An emulated fleet: the production state machines of coordinators and edges in one process, over an in-memory network
//! with encoded frames and virtual time. It measures what each role costs at sizes that no test site has.
//!
//! Left out is what surrounds the state machines: sockets, HTTP, files, real model servers and clients' connections.
//! Production code are `coordinator::core::Coordinator`, `routing::Router`, the edge's choice of coordinators and the
//! time-outs of its polls, the typed configuration, and the encoding of every frame between nodes. Each frame is encoded
//! by its sender, decoded by its recipient, and counted at both.
//!
//! | module | job |
//! | --- | --- |
//! | [`options`] | sizes and rates of a run |
//! | [`deployment`] | names, addresses and configuration |
//! | [`popularity`] | how requests spread over models |
//! | [`initial_models`] | models that servers have loaded at the start |
//! | [`topology`] | zones, regions and latencies |
//! | [`events`] | events of nodes |
//! | [`scheduler`] | virtual time, the queue of events, randomness |
//! | [`activity`] | kinds of messages and of processor time |
//! | [`usage`] | messages, bytes, processor time and journal writes of a node |
//! | [`cpu_timer`] | processor time of a thread |
//! | [`environment`] | what all nodes share |
//! | [`coordinator_node`] | a coordinator around the production state machine |
//! | [`edge_node`] | an edge around the production router |
//! | [`server_node`] | a model server, as far as the control plane sees it |
//! | [`fleet`] | all nodes, and how time passes for them |
//! | [`state_sizes`] | encoded and allocated sizes of what nodes keep |
//! | [`measurement`] | the phases of a run and what they measured |
//! | [`growth`] | metrics of several runs, and the exponents by which they grow |
//! | [`report`] | tables |

pub mod activity;
pub mod coordinator_node;
pub mod cpu_timer;
pub mod deployment;
pub mod edge_node;
pub mod environment;
pub mod events;
pub mod fleet;
mod frames;
pub mod growth;
pub mod initial_models;
mod journal;
pub mod measurement;
pub mod options;
pub mod popularity;
pub mod report;
pub mod scheduler;
pub mod server_node;
pub mod state_sizes;
pub mod topology;
pub mod usage;

pub use fleet::Fleet;
pub use options::Options;
