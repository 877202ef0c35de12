//! Parser of the scenario language.

use standin::{Fault, FaultKind};

use crate::{
    ParseError, Script,
    arguments::{Arguments, parse_duration_ms},
    command::{Command, FaultTarget, JobItems, ProcessSignal, Role, SubmissionOutcome},
};

/// Default time limit of commands that wait, for lines without `within=`.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;

/// Parses a scenario. Blank lines and lines that begin with `#` are skipped.
///
/// # Errors
///
/// Returns the first line that is not a valid command.
pub fn parse_script(text: &str) -> Result<Script, ParseError> {
    let mut commands = Vec::new();
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let command = parse_line(line).map_err(|message| ParseError {
            line: index + 1,
            message,
        })?;
        commands.push((index + 1, command));
    }
    Ok(Script { commands })
}

fn parse_line(line: &str) -> Result<Command, String> {
    let mut arguments = Arguments::new(line)?;
    let command = parse_command(&mut arguments)?;
    arguments.finish()?;
    Ok(command)
}

fn parse_command(args: &mut Arguments) -> Result<Command, String> {
    let verb = args.positional("a command")?;
    Ok(match verb.as_str() {
        "platform" => Command::Platform {
            lag_ms: args.duration_ms("lag")?.unwrap_or(0),
        },
        "engine" => Command::Engine {
            name: args.positional("a name")?,
            domain: args.required("domain")?,
            flags: args.optional("flags").unwrap_or_default(),
        },
        "service" => Command::Service {
            name: args.positional("a name")?,
            service: args.required("of")?,
            domain: args.required("domain")?,
            flags: args.optional("flags").unwrap_or_default(),
        },
        "instance" => Command::Instance {
            name: args.positional("a name")?,
            domain: args.required("domain")?,
        },
        "publish" => Command::Publish {
            without: args.names("without"),
            leaving: args.names("leaving"),
        },
        "start" => Command::Start {
            role: parse_role(args)?,
            instance: args.positional("an instance")?,
            flags: args.optional("flags").unwrap_or_default(),
        },
        "ready" => Command::Ready {
            role: parse_role(args)?,
            instance: args.positional("an instance")?,
            within_ms: parse_within_ms(args)?,
        },
        "up" => Command::Up {
            role: parse_role(args)?,
            instance: args.positional("an instance")?,
            within_ms: parse_within_ms(args)?,
        },
        "apply" => Command::Apply {
            instance: args.positional("an instance")?,
            file: args.required("file")?,
            operator: args
                .optional("operator")
                .unwrap_or_else(|| "scenario".to_owned()),
            replaces: args.number("replaces")?,
            expected_status: args.number("expect")?.unwrap_or(200),
        },
        "race" => Command::Race {
            instances: [
                args.positional("an instance")?,
                args.positional("another instance")?,
            ],
            file: args.required("file")?,
            replaces: args.number("replaces")?.ok_or("replaces= is missing")?,
        },
        "in_force" => Command::InForce {
            version: positional_number(args, "a version")?,
            instances: args.names("at"),
            within_ms: args.duration_ms("within")?.unwrap_or(4_000),
        },
        "keeps" => Command::Keeps {
            version: positional_number(args, "a version")?,
            instances: args.names("at"),
            for_ms: args.duration_ms("for")?.ok_or("for= is missing")?,
        },
        "memory" => Command::Memory {
            role: parse_role(args)?,
            name: args.positional("a name")?,
            at_most_mb: args.number("at_most_mb")?.ok_or("at_most_mb= is missing")?,
        },
        "kill" => parse_signal(args, ProcessSignal::Kill)?,
        "stop" => parse_signal(args, ProcessSignal::Stop)?,
        "pause" => parse_signal(args, ProcessSignal::Pause)?,
        "wake" => parse_signal(args, ProcessSignal::Wake)?,
        "exited" => Command::Exited {
            role: parse_role(args)?,
            name: args.positional("a name")?,
            code: args.number("code")?.unwrap_or(0),
            within_ms: parse_within_ms(args)?,
        },
        "include" => Command::Include {
            file: args.positional("a file")?,
        },
        "wait" => Command::Wait {
            duration_ms: parse_duration_ms(&args.positional("a duration")?)?,
        },
        "fault" | "clear" | "met" => parse_fault_command(&verb, args)?,
        "job" | "settled" | "results" | "cancel" => parse_job_command(&verb, args)?,
        _ => parse_traffic_command(&verb, args)?,
    })
}

fn parse_fault_command(verb: &str, args: &mut Arguments) -> Result<Command, String> {
    let target = match args
        .positional("platform or the name of an upstream")?
        .as_str()
    {
        "platform" => FaultTarget::Platform,
        name => FaultTarget::Upstream(name.to_owned()),
    };
    Ok(match verb {
        "fault" => Command::Fault {
            target,
            fault: parse_fault(args)?,
        },
        "clear" => Command::Clear { target },
        _ => Command::Met {
            target,
            count: args.number("count")?.unwrap_or(1),
            within_ms: parse_within_ms(args)?,
        },
    })
}

fn parse_job_command(verb: &str, args: &mut Arguments) -> Result<Command, String> {
    let name = args.positional("a job")?;
    Ok(match verb {
        "job" => Command::Job {
            instances: args.names("at"),
            class: args.required("class")?,
            items: JobItems {
                count: args.number("items")?.ok_or("items= is missing")?,
                failing: args.number("bad")?.unwrap_or(0),
                tokens: args.number("tokens")?.unwrap_or(10),
            },
            key: args.optional("key").unwrap_or_else(|| name.clone()),
            customer: args
                .optional("customer")
                .unwrap_or_else(|| "club".to_owned()),
            expected_outcome: parse_expected_outcome(args)?,
            resend_within_ms: args.duration_ms("resend_within")?,
            name,
        },
        "settled" => Command::Settled {
            job: name,
            instance: args.required("at")?,
            state: args
                .optional("state")
                .unwrap_or_else(|| "completed".to_owned()),
            within_ms: parse_within_ms(args)?,
        },
        "results" => Command::Results {
            job: name,
            instance: args.required("at")?,
            completed: args.number("completed")?.ok_or("completed= is missing")?,
            failed: args.number("failed")?.unwrap_or(0),
        },
        _ => Command::Cancel {
            job: name,
            instance: args.required("at")?,
        },
    })
}

fn parse_traffic_command(verb: &str, args: &mut Arguments) -> Result<Command, String> {
    Ok(match verb {
        "runs" => Command::Runs {
            at_least: args.number("at_least")?.ok_or("at_least= is missing")?,
            within_ms: parse_within_ms(args)?,
        },
        "repeats" => Command::Repeats {
            at_most: args.number("at_most")?.ok_or("at_most= is missing")?,
        },
        "repeated" => Command::Repeated {
            at_least: args.number("at_least")?.ok_or("at_least= is missing")?,
            within_ms: parse_within_ms(args)?,
        },
        "costs" => Command::Costs {
            writes: args.number("writes")?.unwrap_or(u64::MAX),
            reads: args.number("reads")?.unwrap_or(u64::MAX),
        },
        "puts" => Command::Puts {
            contains: args.required("contains")?,
            at_least: args.number("at_least")?.unwrap_or(0),
            at_most: args.number("at_most")?.unwrap_or(u32::MAX),
            within_ms: parse_within_ms(args)?,
        },
        "quiet" => Command::Quiet {
            after_ms: args.duration_ms("after")?.unwrap_or(0),
            for_ms: args.duration_ms("for")?.ok_or("for= is missing")?,
        },
        "idle" => Command::Idle {
            upstream: args.positional("an upstream")?,
            after_ms: args.duration_ms("after")?.unwrap_or(0),
            for_ms: args.duration_ms("for")?.ok_or("for= is missing")?,
        },
        "leaving" => Command::Leaving {
            upstream: args.positional("an upstream")?,
        },
        "load" => Command::Load {
            name: args.positional("a name")?,
            instances: args.names("at"),
            class: args.optional("class"),
            rate_per_s: args.number("rate")?.ok_or("rate= is missing")?,
            for_ms: args.duration_ms("for")?.ok_or("for= is missing")?,
            tokens: args.number("tokens")?.unwrap_or(20),
            marker: args.optional("marker").unwrap_or_default(),
            prompts: args.number("prompts")?,
        },
        "load_end" => Command::LoadEnd {
            name: args.positional("a load")?,
            cut: args.number("cut")?.unwrap_or(0),
            failed: args.number("failed")?.unwrap_or(0),
            refused: args.number("refused")?.unwrap_or(0),
            slowest_ms: args.duration_ms("slowest")?.unwrap_or(u64::MAX),
            within_ms: parse_within_ms(args)?,
        },
        "call" | "call_in_background" => Command::Call {
            instance: args.required("at")?,
            service: args.required("service")?,
            id: args.required("id")?,
            key: args.optional("key"),
            expected_status: args.optional("status").unwrap_or_else(|| "200".to_owned()),
            expected_ran: args.optional("ran"),
            in_background: verb != "call",
        },
        "calls" => Command::Calls {
            service: args.positional("a service")?,
            id: args.required("id")?,
            at_least: args.number("at_least")?.unwrap_or(0),
            at_most: args.number("at_most")?.unwrap_or(u32::MAX),
            within_ms: parse_within_ms(args)?,
        },
        _ => return Err(format!("unknown command {verb:?}")),
    })
}

fn parse_role(args: &mut Arguments) -> Result<Role, String> {
    match args
        .positional("control, entry, batch or upstream")?
        .as_str()
    {
        "control" => Ok(Role::Control),
        "entry" => Ok(Role::Entry),
        "batch" => Ok(Role::Batch),
        "upstream" => Ok(Role::Upstream),
        other => Err(format!(
            "{other:?} is not control, entry, batch or upstream"
        )),
    }
}

fn parse_signal(args: &mut Arguments, signal: ProcessSignal) -> Result<Command, String> {
    Ok(Command::Signal {
        signal,
        role: parse_role(args)?,
        name: args.positional("a name")?,
    })
}

/// Takes the time limit of a command that waits.
fn parse_within_ms(args: &mut Arguments) -> Result<u64, String> {
    Ok(args.duration_ms("within")?.unwrap_or(DEFAULT_TIMEOUT_MS))
}

/// Takes the next positional argument as a number; `description` names it in the
/// error message.
fn positional_number(args: &mut Arguments, description: &str) -> Result<u64, String> {
    let argument = args.positional(description)?;
    argument
        .parse()
        .map_err(|_| format!("{argument:?} is not {description}"))
}

fn parse_expected_outcome(args: &mut Arguments) -> Result<SubmissionOutcome, String> {
    match args.optional("expect").as_deref() {
        None | Some("accepted") => Ok(SubmissionOutcome::Accepted),
        Some("refused") => Ok(SubmissionOutcome::Refused),
        Some("conflict") => Ok(SubmissionOutcome::Conflict),
        Some(other) => Err(format!(
            "expect={other} is not accepted, refused or conflict"
        )),
    }
}

fn parse_fault(args: &mut Arguments) -> Result<Fault, String> {
    let kind = args.positional("a kind of fault")?;
    let kind = match kind.as_str() {
        "down" => FaultKind::Down,
        "refuse" => FaultKind::Refuse,
        "fail" => FaultKind::Fail,
        "reset_after_headers" => FaultKind::ResetAfterHeaders,
        "reset_after_body" => FaultKind::ResetAfterBody,
        "hang" => FaultKind::Hang,
        "hang_after_body" => FaultKind::HangAfterBody,
        "slow" => FaultKind::Slow {
            delay_ms: args.duration_ms("delay")?.ok_or("delay= is missing")?,
        },
        "limit" => FaultKind::Limit {
            writes_per_s: args.number("writes")?.unwrap_or(u32::MAX),
            reads_per_s: args.number("reads")?.unwrap_or(u32::MAX),
        },
        other => return Err(format!("unknown kind of fault {other:?}")),
    };
    let mut fault = Fault::new(kind)
        .with_path(&args.optional("path").unwrap_or_default())
        .with_contains(&args.optional("contains").unwrap_or_default());
    fault.times = args.number("times")?;
    fault.for_ms = args.duration_ms("for")?;
    Ok(fault)
}
