//! The planner of model placement: turns the demand for a service's models and the state of its servers into orders to load
//! and evict models and adapters.
//!
//! The lease holder of a service's orders owns one [`Planner`]. Inputs are demand ([`Planner::record_demand`]), directory
//! records ([`Planner::update_server`]), servers' reports ([`Planner::record_report`]) and outcomes of orders
//! ([`Planner::complete_order`]). Every 50 to 100 ms the lease holder sends the orders that [`Planner::next_orders`] returns.
//!
//! Modules, in the order of a decision:
//! - [`rate`], `demand` and `demand_sources` smooth and aggregate the demand that edges report;
//! - `target` derives the number of replicas of each model; `fair_share` limits them where capacity does not suffice;
//! - `server` is the state of a server: `contents` is what it may hold, `in_flight` its order in flight, `revision` the number
//!   of orders that it has accepted, `uncertainty` which orders are not known;
//! - [`origin`] keeps loads from the weight store within their rate;
//! - `replicas` counts replicas, and `missing` finds missing ones, by `urgency`;
//! - `candidates` chooses the server for each, `eviction` what it evicts; `surplus` and `utilization` inform both;
//!   `context` is the state that they read; `adapters` does the same for adapters;
//! - `planner` runs the planning passes.
//!
//! A missing replica reserves a server until its load starts: the server first evicts until the model fits, then loads
//! it. A model without demand is never loaded, and models are evicted only to free capacity for others.
//!
//! The planner is pure and deterministic: time is an argument, there is no randomness, and equal inputs give equal orders.

mod adapters;
mod candidates;
pub mod catalogue;
mod contents;
mod context;
mod demand;
mod demand_sources;
mod eviction;
mod fair_share;
mod in_flight;
mod interface;
mod missing;
mod model;
mod options;
pub mod origin;
mod planner;
pub mod rate;
mod replicas;
mod revision;
mod server;
mod surplus;
mod target;
mod uncertainty;
mod urgency;
mod utilization;

pub use catalogue::{Catalogue, ModelSpec};
pub use interface::{DesiredServer, OrderNumber, OrderOutcome, PlannedOrder, PlannerCounters};
pub use options::Options;
pub use planner::Planner;
