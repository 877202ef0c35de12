//! Real control programs over the stand-in platform, with scripted faults.

mod config;
mod membership;
mod orders;
mod support;
