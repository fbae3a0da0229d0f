//! What the tests share: simulated servers and their world, and stories told message by message.

#![allow(dead_code)]

pub mod servers;
pub mod story;
pub mod world;
