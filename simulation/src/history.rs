//! Random histories.
