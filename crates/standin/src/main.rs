//! `redwingtack-standin`: runs one stand-in as a process of its own.

use std::{net::SocketAddr, process::ExitCode, str::FromStr};

use bpaf::{OptionParser, Parser, construct, long};
use model::ModelName;
use process::{SettingsChecker, Shutdown, exit_with_problems, wait_for_signal};
use standin::{
    EngineParams, EngineSettings, PlatformSettings, ServiceSettings, Standin, start_engine,
    start_platform, start_service,
};

const PROGRAM: &str = "redwingtack-standin";

/// Subcommand and its flags, whose values are not parsed yet.
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

fn listen_flag() -> impl Parser<Option<String>> {
    flag(
        "listen",
        "REDWINGTACK_LISTEN",
        "IP:PORT",
        "Listen on this address; port 0 selects a free port [default: 127.0.0.1:0]",
    )
}

fn platform_command() -> impl Parser<Command> {
    let listen = listen_flag();
    let instances_lag_ms = flag(
        "instances-lag-ms",
        "REDWINGTACK_INSTANCES_LAG_MS",
        "MS",
        "Delay the list of instances by this many milliseconds [default: 0]",
    );
    construct!(PlatformFlags {
        listen,
        instances_lag_ms
    })
    .map(Command::Platform)
    .to_options()
    .descr("Run an in-memory platform with rows, feeds, objects and a list of instances")
    .command("platform")
}

fn service_command() -> impl Parser<Command> {
    let listen = listen_flag();
    let answer_ms = flag(
        "answer-ms",
        "REDWINGTACK_ANSWER_MS",
        "MS",
        "Answer each call after this many milliseconds [default: 5]",
    );
    construct!(ServiceFlags { listen, answer_ms })
        .map(Command::Service)
        .to_options()
        .descr("Run a plain service that counts its calls")
        .command("service")
}

fn engine_command() -> impl Parser<Command> {
    let listen = listen_flag();
    let models = flag(
        "models",
        "REDWINGTACK_MODELS",
        "A,B",
        "Load these models at startup, separated by commas [default: oraculo,platzbot]",
    );
    let base_us = flag(
        "base-us",
        "REDWINGTACK_BASE_US",
        "US",
        "Set the fixed cost of a step in microseconds [default: 12000]",
    );
    let per_sequence_us = flag(
        "per-sequence-us",
        "REDWINGTACK_PER_SEQUENCE_US",
        "US",
        "Set the cost of each sequence in a step in microseconds [default: 40]",
    );
    let prompt_token_us = flag(
        "prompt-token-us",
        "REDWINGTACK_PROMPT_TOKEN_US",
        "US",
        "Set the cost of each uncached prompt token in microseconds [default: 50]",
    );
    let prefill_chunk_tokens = flag(
        "prefill-chunk-tokens",
        "REDWINGTACK_PREFILL_CHUNK_TOKENS",
        "N",
        "Prefill at most this many prompt tokens in one step [default: 2048]",
    );
    let running_max = flag(
        "running-max",
        "REDWINGTACK_RUNNING_MAX",
        "N",
        "Run at most this many sequences in one step [default: 256]",
    );
    let block_tokens = flag(
        "block-tokens",
        "REDWINGTACK_BLOCK_TOKENS",
        "N",
        "Set the number of tokens per block of the prefix cache [default: 16]",
    );
    let cache_blocks = flag(
        "cache-blocks",
        "REDWINGTACK_CACHE_BLOCKS",
        "N",
        "Set the capacity of the prefix cache in blocks [default: 4096]",
    );
    let report_lag_ms = flag(
        "report-lag-ms",
        "REDWINGTACK_REPORT_LAG_MS",
        "MS",
        "Delay load reports by this many milliseconds [default: 500]",
    );
    let resume_keep_ms = flag(
        "resume-keep-ms",
        "REDWINGTACK_RESUME_KEEP_MS",
        "MS",
        "Keep a stream without a reader for this many milliseconds [default: 5000]",
    );
    let load_model_ms = flag(
        "load-model-ms",
        "REDWINGTACK_LOAD_MODEL_MS",
        "MS",
        "Take this many milliseconds to load a model [default: 200]",
    );
    let ignore_fencing = long("ignore-fencing")
        .help("Carry out orders with an outdated fencing token instead of refusing them")
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
    .descr("Run a simulated model engine with continuous batching")
    .command("engine")
}

fn options() -> OptionParser<Command> {
    let platform = platform_command();
    let engine = engine_command();
    let service = service_command();
    construct!([platform, engine, service])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Run a stand-in for the platform, a model engine or a plain service; for tests only")
}

fn main() -> ExitCode {
    let command = options().run();
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("{PROGRAM}: cannot start the async runtime: {error}");
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
    log_start(&standin, &parameters);
    wait_for_signal(&Shutdown::new()).await
}

/// Prints the parameters and the address of the stand-in as one log line.
fn log_start(standin: &Standin, parameters: &str) {
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

/// Sets `setting` to the parsed value of a flag if the flag was given. A malformed
/// value is recorded as a problem and leaves `setting` as it is.
fn set_from_flag<T>(
    checker: &mut SettingsChecker,
    name: &'static str,
    text: Option<&str>,
    setting: &mut T,
) where
    T: FromStr<Err: std::fmt::Display> + Copy,
{
    *setting = checker.or_default(name, text, *setting);
}

fn set_listen_address(checker: &mut SettingsChecker, text: Option<&str>, setting: &mut SocketAddr) {
    set_from_flag(checker, "listen", text, setting);
}

/// Prints all problems and exits if a flag has an invalid value.
fn exit_if_invalid(checker: SettingsChecker) {
    let problems = checker.into_problems();
    if !problems.is_empty() {
        exit_with_problems(PROGRAM, &problems);
    }
}

fn platform_settings(flags: &PlatformFlags) -> PlatformSettings {
    let mut checker = SettingsChecker::new();
    let mut settings = PlatformSettings::default();
    set_listen_address(&mut checker, flags.listen.as_deref(), &mut settings.listen);
    let instances_lag_ms = flags.instances_lag_ms.as_deref();
    set_from_flag(
        &mut checker,
        "instances-lag-ms",
        instances_lag_ms,
        &mut settings.instances_lag_ms,
    );
    exit_if_invalid(checker);
    settings
}

fn service_settings(flags: &ServiceFlags) -> ServiceSettings {
    let mut checker = SettingsChecker::new();
    let mut settings = ServiceSettings::default();
    set_listen_address(&mut checker, flags.listen.as_deref(), &mut settings.listen);
    let answer_ms = flags.answer_ms.as_deref();
    set_from_flag(
        &mut checker,
        "answer-ms",
        answer_ms,
        &mut settings.answer_ms,
    );
    exit_if_invalid(checker);
    settings
}

fn engine_settings(flags: &EngineFlags) -> EngineSettings {
    let mut checker = SettingsChecker::new();
    let mut settings = EngineSettings::default();
    set_listen_address(&mut checker, flags.listen.as_deref(), &mut settings.listen);
    if let Some(models) = &flags.models {
        settings.models = models.split(',').map(ModelName::new).collect();
    }
    set_params(&mut checker, flags, &mut settings.params);
    validate_params(&mut checker, &settings.params);
    let mut durations = [
        (
            "report-lag-ms",
            &flags.report_lag_ms,
            &mut settings.report_lag_ms,
        ),
        (
            "resume-keep-ms",
            &flags.resume_keep_ms,
            &mut settings.resume_keep_ms,
        ),
        (
            "load-model-ms",
            &flags.load_model_ms,
            &mut settings.load_model_ms,
        ),
    ];
    for (name, text, setting) in &mut durations {
        set_from_flag(&mut checker, name, text.as_deref(), *setting);
    }
    settings.ignore_fencing = flags.ignore_fencing;
    exit_if_invalid(checker);
    settings
}

/// Records a problem for each engine parameter that is out of range.
fn validate_params(checker: &mut SettingsChecker, params: &EngineParams) {
    let costs = [
        ("base-us", params.base_us),
        ("per-sequence-us", params.per_sequence_us),
        ("prompt-token-us", params.prompt_token_us),
    ];
    for (name, cost_us) in costs {
        if !cost_us.is_finite() || cost_us < 0.0 {
            checker.add_problem(
                name,
                "must be a finite number that is not negative".to_owned(),
            );
        }
    }
    let limits = [
        ("running-max", params.running_max == 0),
        ("block-tokens", params.block_tokens == 0),
        ("prefill-chunk-tokens", params.prefill_chunk_tokens == 0),
    ];
    for (name, is_zero) in limits {
        if is_zero {
            checker.add_problem(name, "must be at least 1".to_owned());
        }
    }
}

fn set_params(checker: &mut SettingsChecker, flags: &EngineFlags, params: &mut EngineParams) {
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
    for (name, text, setting) in &mut costs {
        set_from_flag(checker, name, text.as_deref(), *setting);
    }
    let prefill_chunk_tokens = flags.prefill_chunk_tokens.as_deref();
    set_from_flag(
        checker,
        "prefill-chunk-tokens",
        prefill_chunk_tokens,
        &mut params.prefill_chunk_tokens,
    );
    let block_tokens = flags.block_tokens.as_deref();
    set_from_flag(
        checker,
        "block-tokens",
        block_tokens,
        &mut params.block_tokens,
    );
    let running_max = flags.running_max.as_deref();
    set_from_flag(checker, "running-max", running_max, &mut params.running_max);
    let cache_blocks = flags.cache_blocks.as_deref();
    set_from_flag(
        checker,
        "cache-blocks",
        cache_blocks,
        &mut params.cache_blocks,
    );
}
