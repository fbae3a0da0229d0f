//! Processes of the fleet with faults between them. Everything is drawn from one seed, which is printed; checkers
//! see only what clients saw.

#![deny(unsafe_code)]

pub mod bench;
pub mod chance;
pub mod checker;
pub mod link;
pub mod observer;
pub mod party;
pub mod process;
pub mod service;
