//! Development tasks of the project, as a library so that tests can call them.
//!
//! [`tidy`] checks the layout and style of the sources; [`known_red`] runs the
//! tests and tolerates the failures that `KNOWN-RED.txt` lists; [`scores`] compares the worth of
//! the users' days with a stored baseline.

pub mod known_red;
pub mod scores;
pub mod tidy;
