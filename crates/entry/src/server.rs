//! The HTTP server of an entry: routes, limits and planned stop.

use std::{io, net::SocketAddr, sync::Arc};

use http::StatusCode;
use model::{ErrorKind, View};
use process::Shutdown;
use salvo::{
    Depot, FlowCtrl, Request, Response, Router, Server, Service,
    catcher::Catcher,
    conn::tcp::TcpAcceptor,
    handler,
    http::ParseError,
    server::ServerHandle,
};
use tokio::{net::TcpSocket, task::JoinHandle};

use crate::{
    EntrySettings, FleetWatch, Refusal, chat::Chat, engine::EngineClient, models::ModelList,
    routing::Routing,
};

const LISTEN_BACKLOG: u32 = 4_096;

/// What every request handler shares.
pub(crate) struct Shared {
    pub(crate) fleet: FleetWatch,
    pub(crate) routing: Arc<Routing>,
    pub(crate) engines: EngineClient,
    body_limit_bytes: usize,
}

/// A running entry.
pub struct Entry {
    address: SocketAddr,
    handle: ServerHandle,
    serving: JoinHandle<io::Result<()>>,
}

/// Why an entry could not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The callers' address cannot be bound.
    #[error("cannot listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

impl Shared {
    /// The current view.
    pub(crate) fn view(&self) -> Result<Arc<View>, Refusal> {
        self.fleet.borrow().clone().ok_or_else(|| {
            let message = "This instance has no configuration yet.";
            Refusal::new(ErrorKind::NotReady, message)
        })
    }

    /// Reads a whole body within the limit.
    pub(crate) async fn read_body(&self, req: &mut Request) -> Result<bytes::Bytes, Refusal> {
        match req.payload_with_max_size(self.body_limit_bytes).await {
            Ok(body) => Ok(body.clone()),
            Err(ParseError::PayloadTooLarge) => {
                let message = format!("The body exceeds {} bytes.", self.body_limit_bytes);
                Err(Refusal::new(ErrorKind::BodyTooLarge, message))
            }
            Err(error) => {
                let message = format!("The body could not be read: {error}.");
                Err(Refusal::new(ErrorKind::InvalidRequest, message))
            }
        }
    }
}

impl Entry {
    /// Binds the callers' address and begins to serve.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn start(settings: &EntrySettings, fleet: FleetWatch) -> Result<Self, StartError> {
        let listen_error = |source| StartError::Listen {
            address: settings.listen,
            source,
        };
        let acceptor = listen(settings.listen).map_err(listen_error)?;
        let address = acceptor.local_addr().map_err(listen_error)?;
        let shared = Arc::new(Shared {
            fleet,
            routing: Arc::new(Routing::default()),
            engines: EngineClient::new(),
            body_limit_bytes: settings.body_limit_bytes,
        });
        let server = Server::new(acceptor);
        let handle = server.handle();
        let service = Service::new(routes(&shared)).catcher(Catcher::new(refuse_unrouted));
        let serving = tokio::spawn(server.try_serve(service));
        Ok(Self {
            address,
            handle,
            serving,
        })
    }

    /// Address that callers reach.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Serves until `shutdown` begins and the requests in flight have ended.
    pub async fn run_until(self, shutdown: &Shutdown) {
        shutdown.stopped().await;
        self.handle.stop_graceful(None);
        if let Err(error) = self.serving.await {
            log::error!("event=server_failed error={}", process::quote(&error));
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpAcceptor> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the option. Without it each token of a
    // stream waits for the acknowledgement of the one before.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(LISTEN_BACKLOG)?)
}

fn routes(shared: &Arc<Shared>) -> Router {
    let chat = Chat {
        shared: Arc::clone(shared),
    };
    let list = Models {
        shared: Arc::clone(shared),
    };
    let find = Models {
        shared: Arc::clone(shared),
    };
    let v1 = Router::with_path("v1")
        .push(Router::with_path("chat/completions").post(chat))
        .push(Router::with_path("models").get(list))
        .push(Router::with_path("models/{model}").get(find));
    Router::new().push(v1)
}

struct Models {
    shared: Arc<Shared>,
}

#[handler]
impl Models {
    fn handle(&self, req: &mut Request, res: &mut Response) {
        if let Err(refusal) = self.answer(req, res) {
            refusal.render(res);
        }
    }
}

impl Models {
    fn answer(&self, req: &mut Request, res: &mut Response) -> Result<(), Refusal> {
        crate::caller::Caller::from_headers(req.headers())?;
        let list = ModelList::new(&*self.shared.view()?);
        let Some(name) = req.param::<String>("model") else {
            res.render(salvo::writing::Json(list));
            return Ok(());
        };
        let object = list.find(&name).ok_or_else(|| {
            let message = format!("The model {name:?} does not exist.");
            Refusal::new(ErrorKind::UnknownModel, message).with_param("model")
        })?;
        res.render(salvo::writing::Json(object));
        Ok(())
    }
}

/// Answers requests that no route took, in the same form as other refusals.
#[handler]
async fn refuse_unrouted(
    req: &mut Request,
    _depot: &mut Depot,
    res: &mut Response,
    _ctrl: &mut FlowCtrl,
) {
    let kind = match res.status_code {
        Some(StatusCode::NOT_FOUND) | None => ErrorKind::NotFound,
        Some(StatusCode::METHOD_NOT_ALLOWED) => ErrorKind::MethodNotAllowed,
        Some(status) if status.is_client_error() => ErrorKind::InvalidRequest,
        Some(_) => ErrorKind::Internal,
    };
    let message = format!("{} {} is not served here.", req.method(), req.uri().path());
    Refusal::new(kind, message).render(res);
}
