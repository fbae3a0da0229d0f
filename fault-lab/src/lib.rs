//! Runs the processes of the fleet and injects faults into them and into the links between them. All random choices
//! come from one seed, which is printed. The checkers judge a run only by what its clients observed.

#![deny(unsafe_code)]

pub mod backends;
pub mod bench;
pub mod bench_duty;
pub mod checker;
pub mod clients;
pub mod evaluation;
pub mod experiment;
pub mod fenced_counter;
pub mod fleet;
pub mod link;
pub mod loopback;
pub mod machine;
pub mod net;
pub mod observer;
pub mod orchestrator;
pub mod plan;
pub mod process;
pub mod registry;
pub mod report;
pub mod rng;
pub mod scenario;
