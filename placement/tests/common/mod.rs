//! Shared by the tests: [`scenario`] feeds a planner one message at a time, [`simulation`] runs it against simulated
//! servers.

#![allow(dead_code)]

pub mod scenario;
pub mod simulated_server;
pub mod simulation;
