//! Tests of real control programs with a simulated platform and scripted faults.

mod config;
mod membership;
mod orders;
mod support;
