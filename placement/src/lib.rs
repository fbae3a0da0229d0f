//! The planner of model placement: for one service, demand and the servers' state in, next orders out.
//!
//! The holder of a service's orders owns one [`Planner`]. It feeds it what edges ask for ([`Planner::demand`]),
//! what the directory knows of servers ([`Planner::server`]), what servers report ([`Planner::report`]) and how
//! orders ended ([`Planner::outcome`]), and every 100 ms or so sends what [`Planner::next_orders`] returns.
//!
//! How it decides, in the order of the modules:
//! - [`rate`] and `demand` smooth what edges report;
//! - `target` turns that into a number of replicas for each model, and `fair_share` divides the room among them where
//!   there is not enough for all;
//! - `holding` and `server` keep what a server may hold, counting every order whose effect is not known: `in_flight`
//!   is an order under way, `doubt` what is not known;
//! - `order_count` keeps for how many orders of a server that holds: each order names it;
//! - [`origin`] keeps loads from the weight store within their rate;
//! - `needs`, `choice`, `adapters` and `rounds` find the missing replicas, the server for each, and what gives way.
//!
//! A missing replica reserves a server until it is there: the server first drops what gives way, then loads. A
//! model without demand is never loaded, and nothing is dropped except to make room.
//!
//! The planner is pure: time is an argument, nothing is drawn at random, and equal inputs give equal orders.

#![warn(missing_docs)]

mod adapters;
pub mod catalogue;
mod choice;
mod demand;
mod doubt;
mod fair_share;
mod holding;
mod in_flight;
mod model;
mod needs;
mod options;
mod order_count;
pub mod origin;
mod planner;
pub mod rate;
mod rounds;
mod server;
mod target;

pub use catalogue::{Catalogue, ModelSpec};
pub use options::Options;
pub use planner::{DesiredServer, OrderNumber, OrderOutcome, PlannedOrder, Planner, PlannerCounters};
