//! Chores of the project, as a library so that their rules can be tested.

pub mod known_red;
pub mod tidy;
