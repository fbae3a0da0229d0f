//! An emulated fleet: the production state machines of coordinators and edges run in one process, over an in-memory
//! network with encoded frames, in virtual time. It measures the resources that each role uses at fleet sizes that no
//! test environment has.
//!
//! Not emulated is everything around the state machines: sockets, HTTP, files, real model servers and client
//! connections. The production code in use is `coordinator::core::Coordinator`, `routing::Router`, the edge's
//! coordinator selection and poll time-outs, the typed configuration, and the encoding of every frame between nodes.
//! Each frame is encoded by its sender, decoded by its recipient, and counted at both.
//!
//! | module | contents |
//! | --- | --- |
//! | [`options`] | sizes and rates of a run |
//! | [`deployment`] | names, addresses and configuration |
//! | [`popularity`] | distribution of requests over models |
//! | [`initial_models`] | models that servers have loaded at the start |
//! | [`topology`] | zones, regions and latencies |
//! | [`events`] | events that nodes handle |
//! | [`scheduler`] | virtual time, the event queue, randomness |
//! | [`activity`] | activities by which messages and CPU time are counted |
//! | [`usage`] | messages, bytes, CPU time and journal writes of a node |
//! | [`cpu_timer`] | CPU time of the current thread |
//! | [`environment`] | state that all nodes share |
//! | [`coordinator_node`] | a coordinator: the production state machine and its emulated surroundings |
//! | [`edge_node`] | an edge: the production router and its emulated surroundings |
//! | [`server_node`] | a model server, as seen by the control plane |
//! | [`fleet`] | all nodes, and the event loop |
//! | [`state_sizes`] | encoded and allocated sizes of the state that nodes keep |
//! | [`measurement`] | the phases of a run and their results |
//! | [`growth`] | metrics of several runs, and the exponents of their growth |
//! | [`report`] | tables of results |

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
