//! HTTP interface for files and batches, compatible with the `OpenAI` API.
//!
//! This crate exists so that an unmodified `OpenAI` client can upload a file,
//! create a batch, poll its status, cancel it and read its results. An entry
//! mounts [`JobApi::router`] beside its other routes. A request is acknowledged
//! only after its row has been stored.
//!
//! Terms: a *batch* of the API is a *job* in the rest of the code. A *refusal* is an
//! error response.
//!
//! Begin reading at [`JobApi`].

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
