//! Model placement planner: turns the demand for a service's models and the state of its servers into orders to load
//! and evict models and adapters.
//!
//! The node that holds the lease for a service's orders owns one [`Planner`]. Its inputs are demand
//! ([`Planner::record_demand`]), directory records ([`Planner::update_server`]), server reports
//! ([`Planner::record_report`]) and order outcomes ([`Planner::complete_order`]). Every 50 to 100 ms the lease holder
//! sends the orders that [`Planner::next_orders`] returns.
//!
//! Modules, in the order in which a decision uses them:
//! - [`rate`], `demand` and `demand_sources` smooth and aggregate the demand that edges report.
//! - `target` computes the number of replicas of each model; `fair_share` limits it when capacity is scarce.
//! - `server` holds the state of one server: `contents` lists the models and adapters that it may hold, `in_flight` its
//!   order in flight, `revision` the number of orders that it has accepted, and `uncertainty` whether it may have
//!   accepted orders that the planner does not know about.
//! - [`origin`] limits the rate of loads from the weight store.
//! - `replicas` counts existing replicas; `missing` lists missing ones, sorted by `urgency`.
//! - `candidates` selects a server for each missing replica and `eviction` the models to evict there. `surplus` and
//!   `utilization` are inputs to both, and `context` bundles the state that they read. `adapters` places adapters.
//! - `planner` runs the planning passes.
//!
//! A server is reserved for a missing replica until the load starts: the server first evicts models until the new one
//! fits, then loads it. A model without demand is never loaded, and models are evicted only to free capacity for
//! others.
//!
//! The planner does no I/O and is deterministic: time is an argument, there is no randomness, and equal inputs produce
//! equal orders.

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
