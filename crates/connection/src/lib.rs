//! Connections to upstreams. The end of one is reported once the upstream has received the request.
//!
//! An upstream may answer while a long request is still being sent. If it closes the connection
//! then, the end of its answer arrives first. The reset follows when more of the request reaches
//! the closed socket. In between, an answer that has neither a length nor chunks would look whole.

mod progress;
mod upstream_stream;

pub use progress::RequestProgress;
pub use upstream_stream::UpstreamStream;
