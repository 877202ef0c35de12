//! Development tasks of the project, as a library so that tests can call them.

pub mod known_red;
pub mod tidy;
