//! A hollow fleet: the production decisions of coordinators and edges in one process, over an in-memory network with
//! encoded frames and virtual time, to find out what each role costs at sizes that no test site has.
//!
//! Hollow means that what surrounds the decisions is left out: sockets, HTTP, files, real model servers and clients'
//! connections. What is there is production code: `coordinator::core::Coordinator`, `routing::Router`, the edge's choice of
//! coordinators and its pace of polls, the typed configuration, and the encoding of every frame between nodes. Each
//! frame is encoded by its sender and decoded by its receiver, and counted at both.
//!
//! | module | job |
//! | --- | --- |
//! | [`options`] | sizes and rates of a run |
//! | [`site`] | names, addresses, configuration and popularity of models |
//! | [`schedule`] | virtual time and what is going to happen |
//! | [`ledger`] | messages, bytes and processor time of a node, by kind |
//! | [`core_node`] | a coordinator around the production core |
//! | [`edge_node`] | an edge around the production router |
//! | [`requests`] | requests at an edge, without clients' sockets |
//! | [`server`] | a model server, as far as the control plane sees it |
//! | [`fleet`] | all of them, and the passing of time |
//! | [`state`] | sizes of what nodes keep |
//! | [`measure`] | one run: phases and what came of them |
//! | [`growth`] | figures of several runs, and the powers by which they grow |
//! | [`print`] | tables |

pub mod core_node;
pub mod edge_node;
pub mod fleet;
pub mod growth;
pub mod ledger;
pub mod measure;
pub mod options;
pub mod print;
pub mod requests;
pub mod schedule;
pub mod server;
pub mod site;
pub mod state;

pub use fleet::Fleet;
pub use options::Options;
