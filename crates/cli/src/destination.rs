//! `redwingtack where`: asks a running `redwingtack-node` where a given request or the first
//! item of a job would go now, and why, without sending it.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use bpaf::{OptionParser, Parser, construct, long, positional};
use http_body_util::{BodyExt, Empty};
use hyper::{Request, StatusCode, body::Bytes, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpStream, time::timeout};

/// Time-out for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Exit code if the instance understands the question, but not what it is about.
const EXIT_REJECTED: u8 = 1;
/// Exit code if the instance cannot be asked.
const EXIT_UNREACHABLE: u8 = 2;

/// Options of `redwingtack where`.
#[derive(Debug, Clone)]
pub struct WhereOptions {
    at: SocketAddr,
    prompt: Option<String>,
    customer: Option<String>,
    request: Option<String>,
    host: String,
    path: String,
}

/// Returns the parser of the options.
pub fn options() -> OptionParser<WhereOptions> {
    let at = long("at")
        .help("Address at which the instance answers readiness checks")
        .argument::<SocketAddr>("ADDRESS");
    let prompt = long("prompt")
        .help("Parts of the prompt in order, as ID:TOKENS,...")
        .argument::<String>("PARTS")
        .optional();
    let customer = long("customer")
        .help("Name of the customer on whose behalf the request is sent")
        .argument::<String>("NAME")
        .optional();
    let request = long("request")
        .help("ID of the request, which decides between the services of a route")
        .argument::<String>("ID")
        .optional();
    let host = positional::<String>("HOST").help("Host that the request names");
    let path = positional::<String>("PATH").help("Path of the request or of the job");
    construct!(WhereOptions {
        at,
        prompt,
        customer,
        request,
        host,
        path
    })
    .to_options()
    .descr("Tell where a request or job would go now, and why, without sending it")
}

/// Prints the answer of the instance and returns the exit code.
pub fn run(options: &WhereOptions) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let answer = match runtime {
        Ok(runtime) => runtime.block_on(ask(options)),
        Err(error) => Err(error.to_string()),
    };
    match answer {
        Ok((StatusCode::OK, text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok((status, text)) => {
            eprintln!("redwingtack: {status}: {}", text.trim_end());
            ExitCode::from(EXIT_REJECTED)
        }
        Err(error) => {
            eprintln!("redwingtack: {}: {error}", options.at);
            ExitCode::from(EXIT_UNREACHABLE)
        }
    }
}

async fn ask(options: &WhereOptions) -> Result<(StatusCode, String), String> {
    let answer = timeout(ANSWER_TIMEOUT, exchange(options)).await;
    answer.map_err(|_| "no answer in time".to_owned())?
}

async fn exchange(options: &WhereOptions) -> Result<(StatusCode, String), String> {
    let stream = TcpStream::connect(options.at).await;
    let stream = stream.map_err(|error| error.to_string())?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = handshake.map_err(|error| error.to_string())?;
    tokio::spawn(connection);
    let request = Request::get(question(options))
        .header(header::HOST, options.at.to_string())
        .body(Empty::<Bytes>::new());
    let request = request.map_err(|error| error.to_string())?;
    let response = sender.send_request(request).await;
    let response = response.map_err(|error| error.to_string())?;
    let status = response.status();
    let body = response.into_body().collect().await;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    Ok((status, String::from_utf8_lossy(&body).into_owned()))
}

/// Returns the question as path and query.
fn question(options: &WhereOptions) -> String {
    let optional = [
        ("prompt", &options.prompt),
        ("customer", &options.customer),
        ("request", &options.request),
    ];
    let mut question = format!("/where?host={}&path={}", options.host, options.path);
    for (name, value) in optional {
        if let Some(value) = value {
            question.extend(["&", name, "=", value]);
        }
    }
    question
}
