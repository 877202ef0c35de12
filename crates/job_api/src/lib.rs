//! The callers' interface to files and batches, in `OpenAI`'s form.
//!
//! This crate exists so that an unmodified `OpenAI` client can upload a file,
//! create a batch, follow it, cancel it and read its results. An entry mounts
//! [`JobApi::router`] beside its other routes. Nothing is acknowledged before
//! its row exists.

mod batch;
mod batch_object;
mod caller;
mod check;
mod content;
mod file_object;
mod refusal;
mod routes;
mod upload;

pub use crate::{refusal::Refusal, routes::JobApi};
