//! Processes of the fleet with faults between them. Everything is drawn from one seed, which is printed; checkers
//! see only what clients saw.

#![deny(unsafe_code)]

pub mod bench;
pub mod bench_duty;
pub mod chance;
pub mod checker;
pub mod clients;
pub mod evaluation;
pub mod experiment;
pub mod fenced_counter;
pub mod fleet;
pub mod link;
pub mod machine;
pub mod net;
pub mod observer;
pub mod orchestrator;
pub mod parties;
pub mod party;
pub mod plan;
pub mod process;
pub mod report;
pub mod scenario;
pub mod service;
