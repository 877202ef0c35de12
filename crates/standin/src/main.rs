//! `redwingtack-standin`: the stand-ins as processes.

use std::{net::SocketAddr, process::ExitCode, str::FromStr};

use bpaf::{OptionParser, Parser, construct, long};
use model::ModelName;
use process::{SettingsChecker, Shutdown, exit_with_problems, wait_for_signal};
use standin::{
    EngineParams, EngineSettings, PlatformSettings, ServiceSettings, Standin, start_engine,
    start_platform, start_service,
};

const PROGRAM: &str = "redwingtack-standin";

/// What to start, with values as given.
#[derive(Debug, Clone)]
enum Command {
    Platform(PlatformFlags),
    Engine(Box<EngineFlags>),
    Service(ServiceFlags),
}

#[derive(Debug, Clone)]
struct PlatformFlags {
    listen: Option<String>,
    instances_lag_ms: Option<String>,
}

#[derive(Debug, Clone)]
struct ServiceFlags {
    listen: Option<String>,
    answer_ms: Option<String>,
}

#[derive(Debug, Clone)]
struct EngineFlags {
    listen: Option<String>,
    models: Option<String>,
    base_us: Option<String>,
    per_sequence_us: Option<String>,
    prompt_token_us: Option<String>,
    prefill_chunk_tokens: Option<String>,
    running_max: Option<String>,
    block_tokens: Option<String>,
    cache_blocks: Option<String>,
    report_lag_ms: Option<String>,
    resume_keep_ms: Option<String>,
    load_model_ms: Option<String>,
    ignore_fencing: bool,
}

fn flag(
    name: &'static str,
    variable: &'static str,
    metavar: &'static str,
    help: &'static str,
) -> impl Parser<Option<String>> {
    long(name)
        .env(variable)
        .help(help)
        .argument::<String>(metavar)
        .optional()
}

fn listen() -> impl Parser<Option<String>> {
    flag(
        "listen",
        "REDWINGTACK_LISTEN",
        "IP:PORT",
        "Address to listen at; port 0 takes a free one (default 127.0.0.1:0)",
    )
}

fn platform_command() -> impl Parser<Command> {
    let listen = listen();
    let instances_lag_ms = flag(
        "instances-lag-ms",
        "REDWINGTACK_INSTANCES_LAG_MS",
        "MS",
        "How far the list of instances lags behind (default 0)",
    );
    construct!(PlatformFlags {
        listen,
        instances_lag_ms
    })
    .map(Command::Platform)
    .to_options()
    .descr("Rows, feeds, objects and list of instances, in memory")
    .command("platform")
}

fn service_command() -> impl Parser<Command> {
    let listen = listen();
    let answer_ms = flag(
        "answer-ms",
        "REDWINGTACK_ANSWER_MS",
        "MS",
        "Time that a call takes (default 5)",
    );
    construct!(ServiceFlags { listen, answer_ms })
        .map(Command::Service)
        .to_options()
        .descr("Plain service that counts its calls")
        .command("service")
}

fn engine_command() -> impl Parser<Command> {
    let listen = listen();
    let models = flag(
        "models",
        "REDWINGTACK_MODELS",
        "A,B",
        "Models loaded at start (default oraculo,platzbot)",
    );
    let base_us = flag(
        "base-us",
        "REDWINGTACK_BASE_US",
        "US",
        "Fixed cost of a step (default 12000)",
    );
    let per_sequence_us = flag(
        "per-sequence-us",
        "REDWINGTACK_PER_SEQUENCE_US",
        "US",
        "Cost of each sequence in a step (default 40)",
    );
    let prompt_token_us = flag(
        "prompt-token-us",
        "REDWINGTACK_PROMPT_TOKEN_US",
        "US",
        "Cost of each uncached prompt token (default 50)",
    );
    let prefill_chunk_tokens = flag(
        "prefill-chunk-tokens",
        "REDWINGTACK_PREFILL_CHUNK_TOKENS",
        "N",
        "Most prompt tokens prefilled in one step (default 2048)",
    );
    let running_max = flag(
        "running-max",
        "REDWINGTACK_RUNNING_MAX",
        "N",
        "Most sequences in a step (default 256)",
    );
    let block_tokens = flag(
        "block-tokens",
        "REDWINGTACK_BLOCK_TOKENS",
        "N",
        "Tokens of a block of the prefix cache (default 16)",
    );
    let cache_blocks = flag(
        "cache-blocks",
        "REDWINGTACK_CACHE_BLOCKS",
        "N",
        "Blocks that the prefix cache holds (default 4096)",
    );
    let report_lag_ms = flag(
        "report-lag-ms",
        "REDWINGTACK_REPORT_LAG_MS",
        "MS",
        "How far load reports lag behind (default 500)",
    );
    let resume_keep_ms = flag(
        "resume-keep-ms",
        "REDWINGTACK_RESUME_KEEP_MS",
        "MS",
        "How long an unread stream is kept (default 5000)",
    );
    let load_model_ms = flag(
        "load-model-ms",
        "REDWINGTACK_LOAD_MODEL_MS",
        "MS",
        "Time to load a model (default 200)",
    );
    let ignore_fencing = long("ignore-fencing")
        .help("Obey orders with an old fencing number")
        .switch();
    construct!(EngineFlags {
        listen,
        models,
        base_us,
        per_sequence_us,
        prompt_token_us,
        prefill_chunk_tokens,
        running_max,
        block_tokens,
        cache_blocks,
        report_lag_ms,
        resume_keep_ms,
        load_model_ms,
        ignore_fencing
    })
    .map(|flags| Command::Engine(Box::new(flags)))
    .to_options()
    .descr("Model engine with continuous batching")
    .command("engine")
}

fn options() -> OptionParser<Command> {
    let platform = platform_command();
    let engine = engine_command();
    let service = service_command();
    construct!([platform, engine, service])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Stand-ins of the platform, engines and services, for tests only")
}

fn main() -> ExitCode {
    let command = options().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{PROGRAM}: the runtime cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(command)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{PROGRAM}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn run(command: Command) -> std::io::Result<()> {
    let (standin, parameters) = match command {
        Command::Platform(flags) => {
            let settings = platform_settings(&flags);
            let parameters = format!(
                "role=platform instances_lag_ms={}",
                settings.instances_lag_ms
            );
            (start_platform(settings).await?, parameters)
        }
        Command::Service(flags) => {
            let settings = service_settings(&flags);
            let parameters = format!("role=service answer_ms={}", settings.answer_ms);
            (start_service(settings).await?, parameters)
        }
        Command::Engine(flags) => {
            let settings = engine_settings(&flags);
            let parameters = describe_engine(&settings);
            (start_engine(settings).await?, parameters)
        }
    };
    announce(&standin, &parameters);
    wait_for_signal(&Shutdown::new()).await
}

fn announce(standin: &Standin, parameters: &str) {
    let address = standin.address();
    println!("event=started {parameters} listen={address}");
}

fn describe_engine(settings: &EngineSettings) -> String {
    let params = &settings.params;
    let models: Vec<_> = settings.models.iter().map(ModelName::as_str).collect();
    format!(
        "role=engine models={} base_us={} per_sequence_us={} prompt_token_us={} \
         prefill_chunk_tokens={} running_max={} block_tokens={} cache_blocks={} \
         report_lag_ms={} resume_keep_ms={} load_model_ms={} ignore_fencing={}",
        models.join(","),
        params.base_us,
        params.per_sequence_us,
        params.prompt_token_us,
        params.prefill_chunk_tokens,
        params.running_max,
        params.block_tokens,
        params.cache_blocks,
        settings.report_lag_ms,
        settings.resume_keep_ms,
        settings.load_model_ms,
        settings.ignore_fencing,
    )
}

/// Sets `target` if the flag was given.
fn set<T>(settings: &mut SettingsChecker, name: &'static str, text: Option<&str>, target: &mut T)
where
    T: FromStr<Err: std::fmt::Display> + Copy,
{
    *target = settings.or_default(name, text, *target);
}

fn set_listen(settings: &mut SettingsChecker, text: Option<&str>, target: &mut SocketAddr) {
    set(settings, "listen", text, target);
}

fn check(settings: SettingsChecker) {
    let problems = settings.into_problems();
    if !problems.is_empty() {
        exit_with_problems(PROGRAM, &problems);
    }
}

fn platform_settings(flags: &PlatformFlags) -> PlatformSettings {
    let mut checked = SettingsChecker::new();
    let mut result = PlatformSettings::default();
    set_listen(&mut checked, flags.listen.as_deref(), &mut result.listen);
    let lag = flags.instances_lag_ms.as_deref();
    set(
        &mut checked,
        "instances-lag-ms",
        lag,
        &mut result.instances_lag_ms,
    );
    check(checked);
    result
}

fn service_settings(flags: &ServiceFlags) -> ServiceSettings {
    let mut checked = SettingsChecker::new();
    let mut result = ServiceSettings::default();
    set_listen(&mut checked, flags.listen.as_deref(), &mut result.listen);
    let answer = flags.answer_ms.as_deref();
    set(&mut checked, "answer-ms", answer, &mut result.answer_ms);
    check(checked);
    result
}

fn engine_settings(flags: &EngineFlags) -> EngineSettings {
    let mut checked = SettingsChecker::new();
    let mut result = EngineSettings::default();
    set_listen(&mut checked, flags.listen.as_deref(), &mut result.listen);
    if let Some(models) = &flags.models {
        result.models = models.split(',').map(ModelName::new).collect();
    }
    set_params(&mut checked, flags, &mut result.params);
    check_params(&mut checked, &result.params);
    let mut times = [
        (
            "report-lag-ms",
            &flags.report_lag_ms,
            &mut result.report_lag_ms,
        ),
        (
            "resume-keep-ms",
            &flags.resume_keep_ms,
            &mut result.resume_keep_ms,
        ),
        (
            "load-model-ms",
            &flags.load_model_ms,
            &mut result.load_model_ms,
        ),
    ];
    for (name, text, target) in &mut times {
        set(&mut checked, name, text.as_deref(), *target);
    }
    result.ignore_fencing = flags.ignore_fencing;
    check(checked);
    result
}

fn check_params(checked: &mut SettingsChecker, params: &EngineParams) {
    let costs = [
        ("base-us", params.base_us),
        ("per-sequence-us", params.per_sequence_us),
        ("prompt-token-us", params.prompt_token_us),
    ];
    for (name, cost_us) in costs {
        if !cost_us.is_finite() || cost_us < 0.0 {
            checked.add_problem(name, "must not be negative".to_owned());
        }
    }
    let limits = [
        ("running-max", params.running_max == 0),
        ("block-tokens", params.block_tokens == 0),
        ("prefill-chunk-tokens", params.prefill_chunk_tokens == 0),
    ];
    for (name, is_zero) in limits {
        if is_zero {
            checked.add_problem(name, "must be at least 1".to_owned());
        }
    }
}

fn set_params(checked: &mut SettingsChecker, flags: &EngineFlags, params: &mut EngineParams) {
    let mut costs = [
        ("base-us", &flags.base_us, &mut params.base_us),
        (
            "per-sequence-us",
            &flags.per_sequence_us,
            &mut params.per_sequence_us,
        ),
        (
            "prompt-token-us",
            &flags.prompt_token_us,
            &mut params.prompt_token_us,
        ),
    ];
    for (name, text, target) in &mut costs {
        set(checked, name, text.as_deref(), *target);
    }
    let chunk = flags.prefill_chunk_tokens.as_deref();
    set(
        checked,
        "prefill-chunk-tokens",
        chunk,
        &mut params.prefill_chunk_tokens,
    );
    let block = flags.block_tokens.as_deref();
    set(checked, "block-tokens", block, &mut params.block_tokens);
    let running = flags.running_max.as_deref();
    set(checked, "running-max", running, &mut params.running_max);
    let cache = flags.cache_blocks.as_deref();
    set(checked, "cache-blocks", cache, &mut params.cache_blocks);
}
