//! Measuring tools: load, the two measures of the product, and baselines.
//!
//! This crate exists so that figures in the docs come from commands that can
//! be run again. It is not shipped.

pub mod overhead;
