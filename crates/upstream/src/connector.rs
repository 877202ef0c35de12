//! Opens the connections of the client.

use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use connection::{RequestProgress, UpstreamStream};
use http::Uri;
use hyper_util::{client::legacy::connect::HttpConnector, rt::TokioIo};
use tower_service::Service;

/// Opens connections on which requests are observed.
#[derive(Debug, Clone)]
pub(crate) struct Connector {
    connector: HttpConnector,
}

impl Connector {
    /// Creates a connector that opens sockets as `connector` does.
    pub(crate) fn new(connector: HttpConnector) -> Self {
        Self { connector }
    }
}

impl Service<Uri> for Connector {
    type Response = TokioIo<UpstreamStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.connector.call(uri);
        Box::pin(async move {
            let stream = connecting.await?.into_inner();
            let progress = Arc::new(RequestProgress::observed());
            Ok(TokioIo::new(UpstreamStream::new(stream, progress)))
        })
    }
}
