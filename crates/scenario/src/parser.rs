//! Parser of the test language.

use standin::{Fault, FaultKind};

use crate::{
    ParseError, Script,
    arguments::{Arguments, parse_span_ms},
    command::{Command, FaultTarget, JobEnd, JobItems, ProcessSignal, Role},
};

/// Time limit of what a command waits for, unless it says `within=`.
const WITHIN_DEFAULT_MS: u64 = 30_000;

/// Parses a scenario. Blank lines and lines that begin with `#` are skipped.
///
/// # Errors
///
/// Returns the first line that is not a command.
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

fn parse_command(a: &mut Arguments) -> Result<Command, String> {
    let verb = a.word("a command")?;
    Ok(match verb.as_str() {
        "platform" => Command::Platform {
            lag_ms: a.span_ms("lag")?.unwrap_or(0),
        },
        "engine" => Command::Engine {
            name: a.word("a name")?,
            domain: a.required("domain")?,
            flags: a.text("flags").unwrap_or_default(),
        },
        "service" => Command::Service {
            name: a.word("a name")?,
            service: a.required("of")?,
            domain: a.required("domain")?,
            flags: a.text("flags").unwrap_or_default(),
        },
        "instance" => Command::Instance {
            name: a.word("a name")?,
            domain: a.required("domain")?,
        },
        "publish" => Command::Publish {
            without: a.names("without"),
            leaving: a.names("leaving"),
        },
        "start" => Command::Start {
            role: role(a)?,
            instance: a.word("an instance")?,
            flags: a.text("flags").unwrap_or_default(),
        },
        "ready" => Command::Ready {
            role: role(a)?,
            instance: a.word("an instance")?,
            within_ms: within_ms(a)?,
        },
        "up" => Command::Up {
            role: role(a)?,
            instance: a.word("an instance")?,
            within_ms: within_ms(a)?,
        },
        "apply" => Command::Apply {
            instance: a.word("an instance")?,
            file: a.required("file")?,
            operator: a.text("operator").unwrap_or_else(|| "scenario".to_owned()),
            replaces: a.number("replaces")?,
            status: a.number("expect")?.unwrap_or(200),
        },
        "race" => Command::Race {
            instances: [a.word("an instance")?, a.word("another instance")?],
            file: a.required("file")?,
            replaces: a.number("replaces")?.ok_or("replaces= is missing")?,
        },
        "in_force" => Command::InForce {
            version: word_number(a, "a version")?,
            instances: a.names("at"),
            within_ms: a.span_ms("within")?.unwrap_or(4_000),
        },
        "keeps" => Command::Keeps {
            version: word_number(a, "a version")?,
            instances: a.names("at"),
            for_ms: a.span_ms("for")?.ok_or("for= is missing")?,
        },
        "memory" => Command::Memory {
            role: role(a)?,
            name: a.word("a name")?,
            at_most_mb: a.number("at_most_mb")?.ok_or("at_most_mb= is missing")?,
        },
        "kill" => signal(a, ProcessSignal::Kill)?,
        "stop" => signal(a, ProcessSignal::Stop)?,
        "pause" => signal(a, ProcessSignal::Pause)?,
        "wake" => signal(a, ProcessSignal::Wake)?,
        "exited" => Command::Exited {
            role: role(a)?,
            name: a.word("a name")?,
            code: a.number("code")?.unwrap_or(0),
            within_ms: within_ms(a)?,
        },
        "include" => Command::Include {
            file: a.word("a file")?,
        },
        "wait" => Command::Wait {
            span_ms: parse_span_ms(&a.word("a span of time")?)?,
        },
        "fault" | "clear" | "met" => parse_fault_command(&verb, a)?,
        "job" | "settled" | "results" | "cancel" => parse_job_command(&verb, a)?,
        _ => parse_traffic_command(&verb, a)?,
    })
}

fn parse_fault_command(verb: &str, a: &mut Arguments) -> Result<Command, String> {
    let target = match a.word("platform or the name of an upstream")?.as_str() {
        "platform" => FaultTarget::Platform,
        name => FaultTarget::Upstream(name.to_owned()),
    };
    Ok(match verb {
        "fault" => Command::Fault {
            target,
            fault: fault(a)?,
        },
        "clear" => Command::Clear { target },
        _ => Command::Met {
            target,
            count: a.number("count")?.unwrap_or(1),
            within_ms: within_ms(a)?,
        },
    })
}

fn parse_job_command(verb: &str, a: &mut Arguments) -> Result<Command, String> {
    let name = a.word("a job")?;
    Ok(match verb {
        "job" => Command::Job {
            instances: a.names("at"),
            class: a.required("class")?,
            items: JobItems {
                count: a.number("items")?.ok_or("items= is missing")?,
                bad: a.number("bad")?.unwrap_or(0),
                tokens: a.number("tokens")?.unwrap_or(10),
            },
            key: a.text("key").unwrap_or_else(|| name.clone()),
            customer: a.text("customer").unwrap_or_else(|| "club".to_owned()),
            end: job_end(a)?,
            resend_within_ms: a.span_ms("resend_within")?,
            name,
        },
        "settled" => Command::Settled {
            job: name,
            instance: a.required("at")?,
            state: a.text("state").unwrap_or_else(|| "completed".to_owned()),
            within_ms: within_ms(a)?,
        },
        "results" => Command::Results {
            job: name,
            instance: a.required("at")?,
            completed: a.number("completed")?.ok_or("completed= is missing")?,
            failed: a.number("failed")?.unwrap_or(0),
        },
        _ => Command::Cancel {
            job: name,
            instance: a.required("at")?,
        },
    })
}

fn parse_traffic_command(verb: &str, a: &mut Arguments) -> Result<Command, String> {
    Ok(match verb {
        "runs" => Command::Runs {
            at_least: a.number("at_least")?.ok_or("at_least= is missing")?,
            within_ms: within_ms(a)?,
        },
        "repeats" => Command::Repeats {
            at_most: a.number("at_most")?.ok_or("at_most= is missing")?,
        },
        "repeated" => Command::Repeated {
            at_least: a.number("at_least")?.ok_or("at_least= is missing")?,
            within_ms: within_ms(a)?,
        },
        "costs" => Command::Costs {
            writes: a.number("writes")?.unwrap_or(u64::MAX),
            reads: a.number("reads")?.unwrap_or(u64::MAX),
        },
        "puts" => Command::Puts {
            contains: a.required("contains")?,
            at_least: a.number("at_least")?.unwrap_or(0),
            at_most: a.number("at_most")?.unwrap_or(u32::MAX),
            within_ms: within_ms(a)?,
        },
        "quiet" => Command::Quiet {
            after_ms: a.span_ms("after")?.unwrap_or(0),
            for_ms: a.span_ms("for")?.ok_or("for= is missing")?,
        },
        "idle" => Command::Idle {
            upstream: a.word("an upstream")?,
            after_ms: a.span_ms("after")?.unwrap_or(0),
            for_ms: a.span_ms("for")?.ok_or("for= is missing")?,
        },
        "leaving" => Command::Leaving {
            upstream: a.word("an upstream")?,
        },
        "load" => Command::Load {
            name: a.word("a name")?,
            instances: a.names("at"),
            class: a.text("class"),
            rate_per_s: a.number("rate")?.ok_or("rate= is missing")?,
            for_ms: a.span_ms("for")?.ok_or("for= is missing")?,
            tokens: a.number("tokens")?.unwrap_or(20),
            marker: a.text("marker").unwrap_or_default(),
            prompts: a.number("prompts")?,
        },
        "load_end" => Command::LoadEnd {
            name: a.word("a load")?,
            cut: a.number("cut")?.unwrap_or(0),
            failed: a.number("failed")?.unwrap_or(0),
            refused: a.number("refused")?.unwrap_or(0),
            slowest_ms: a.span_ms("slowest")?.unwrap_or(u64::MAX),
            within_ms: within_ms(a)?,
        },
        "call" | "call_in_background" => Command::Call {
            instance: a.required("at")?,
            service: a.required("service")?,
            id: a.required("id")?,
            key: a.text("key"),
            status: a.text("status").unwrap_or_else(|| "200".to_owned()),
            ran: a.text("ran"),
            in_background: verb != "call",
        },
        "calls" => Command::Calls {
            service: a.word("a service")?,
            id: a.required("id")?,
            at_least: a.number("at_least")?.unwrap_or(0),
            at_most: a.number("at_most")?.unwrap_or(u32::MAX),
            within_ms: within_ms(a)?,
        },
        _ => return Err(format!("unknown command {verb:?}")),
    })
}

fn role(a: &mut Arguments) -> Result<Role, String> {
    match a.word("control, entry, batch or upstream")?.as_str() {
        "control" => Ok(Role::Control),
        "entry" => Ok(Role::Entry),
        "batch" => Ok(Role::Batch),
        "upstream" => Ok(Role::Upstream),
        other => Err(format!(
            "{other:?} is not control, entry, batch or upstream"
        )),
    }
}

fn signal(a: &mut Arguments, signal: ProcessSignal) -> Result<Command, String> {
    Ok(Command::Signal {
        signal,
        role: role(a)?,
        name: a.word("a name")?,
    })
}

fn within_ms(a: &mut Arguments) -> Result<u64, String> {
    Ok(a.span_ms("within")?.unwrap_or(WITHIN_DEFAULT_MS))
}

fn word_number(a: &mut Arguments, what: &str) -> Result<u64, String> {
    let word = a.word(what)?;
    word.parse().map_err(|_| format!("{word:?} is not {what}"))
}

fn job_end(a: &mut Arguments) -> Result<JobEnd, String> {
    match a.text("expect").as_deref() {
        None | Some("accepted") => Ok(JobEnd::Accepted),
        Some("refused") => Ok(JobEnd::Refused),
        Some("conflict") => Ok(JobEnd::Conflict),
        Some(other) => Err(format!(
            "expect={other} is not accepted, refused or conflict"
        )),
    }
}

fn fault(a: &mut Arguments) -> Result<Fault, String> {
    let kind = a.word("a kind of fault")?;
    let kind = match kind.as_str() {
        "down" => FaultKind::Down,
        "refuse" => FaultKind::Refuse,
        "fail" => FaultKind::Fail,
        "reset_after_headers" => FaultKind::ResetAfterHeaders,
        "reset_after_body" => FaultKind::ResetAfterBody,
        "hang" => FaultKind::Hang,
        "hang_after_body" => FaultKind::HangAfterBody,
        "slow" => FaultKind::Slow {
            delay_ms: a.span_ms("delay")?.ok_or("delay= is missing")?,
        },
        "limit" => FaultKind::Limit {
            writes_per_s: a.number("writes")?.unwrap_or(u32::MAX),
            reads_per_s: a.number("reads")?.unwrap_or(u32::MAX),
        },
        other => return Err(format!("unknown kind of fault {other:?}")),
    };
    let mut fault = Fault::new(kind)
        .with_path(&a.text("path").unwrap_or_default())
        .with_contains(&a.text("contains").unwrap_or_default());
    fault.times = a.number("times")?;
    fault.for_ms = a.span_ms("for")?;
    Ok(fault)
}
