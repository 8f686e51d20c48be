//! `explain-request`: shows the outcome of a request and its cause, from the logs of the instances that handled it.

use std::{collections::BTreeSet, sync::Arc};

use jiff::{SignedDuration, Timestamp};
use serde_json::Value;

use crate::{
    args::ExplainRequestArgs,
    error::CommandError,
    log_lines::{LogLine, ScanResult, read_log},
    terminal::Terminal,
};

/// Log target of lines about requests.
const REQUESTS_TARGET: &str = "requests";
/// Message for the final answer, logged by the instance that the caller is connected to.
const ENDED_MESSAGE: &str = "Ended.";
/// Message for the reply of the gate beside the upstream.
const GATE_REPLIED_MESSAGE: &str = "The gate replied.";
/// Message for a request whose caller disconnected.
const CALLER_LEFT_MESSAGE: &str = "The caller left.";
/// Message for a request that was invalid and not forwarded.
const REFUSED_MESSAGE: &str = "Refused.";
/// Maximum number of lines about the instances themselves, so that the output fits on a screen.
const CONTEXT_LINES_MAX: usize = 40;

pub(crate) fn run(args: &ExplainRequestArgs, terminal: &Terminal) -> Result<(), CommandError> {
    if args.files.is_empty() {
        return Err(CommandError::Usage("no log file is given; see pomelohill --help".to_owned()));
    }
    let id = parse_id(&args.id)?;
    let scan = read_all(&args.files, |it| it.target == REQUESTS_TARGET && it.text("id") == id)?;
    if scan.unreadable > 0 {
        terminal.print_progress(&format!(
            "{} lines are not log records of an agent and were skipped",
            scan.unreadable
        ));
    }
    let (Some(first), Some(last)) = (scan.lines.first(), scan.lines.last()) else {
        let message = format!(
            "no log line about request {id}: it succeeded (logged only with the log filter \
             \"info,requests=debug\"), its lines were dropped by the rate limit, or other instances handled it"
        );
        return Err(CommandError::NotFound(message));
    };
    scan.lines.iter().for_each(|it| terminal.print_line(&format_line(it)));
    terminal.print_line(&format!("\nCause: {}", describe_cause(&scan.lines)));
    let context = read_context(args, &scan.lines, first.at, last.at)?;
    if context.is_empty() {
        return Ok(());
    }
    terminal
        .print_line(&format!("\nOther log lines of these instances within {} s:", args.around_s));
    context.iter().take(CONTEXT_LINES_MAX).for_each(|it| terminal.print_line(&format_line(it)));
    if context.len() > CONTEXT_LINES_MAX {
        terminal.print_line(&format!("and {} more", context.len() - CONTEXT_LINES_MAX));
    }
    Ok(())
}

/// Returns the id in the form of the logs: lower case, padded with zeros to 16 digits.
fn parse_id(text: &str) -> Result<String, CommandError> {
    let number = u128::from_str_radix(text, 16);
    let number = number.map_err(|_| {
        CommandError::Usage(format!("invalid request id {text:?}: not hexadecimal"))
    })?;
    Ok(format!("{number:016x}"))
}

fn read_all(
    files: &[String],
    is_wanted: impl Fn(&LogLine) -> bool,
) -> Result<ScanResult, CommandError> {
    let mut all = ScanResult::default();
    for file in files {
        all.extend(read_log(file, &is_wanted)?);
    }
    Ok(all)
}

/// Returns the other lines of the instances that handled the request, `--around-s` before and after it.
fn read_context(
    args: &ExplainRequestArgs,
    request_lines: &[LogLine],
    first: Timestamp,
    last: Timestamp,
) -> Result<Vec<LogLine>, CommandError> {
    let around = SignedDuration::from_secs(i64::try_from(args.around_s).unwrap_or(i64::MAX));
    let (from, to) = (first.saturating_sub(around), last.saturating_add(around));
    let (Ok(from), Ok(to)) = (from, to) else { return Ok(Vec::new()) };
    let mut instances: BTreeSet<Arc<str>> =
        request_lines.iter().map(|it| Arc::clone(&it.instance)).collect();
    instances.extend(request_lines.iter().map(|it| Arc::from(instance_of(it))));
    let is_wanted = |it: &LogLine| {
        it.target != REQUESTS_TARGET
            && instances.contains(&it.instance)
            && (from..=to).contains(&it.at)
    };
    Ok(read_all(&args.files, is_wanted)?.lines)
}

/// Formats a log line: time of day, instance, message, fields.
fn format_line(it: &LogLine) -> String {
    let time = it.at.strftime("%H:%M:%S%.3f");
    let mut line = format!("{time}  {:<24} {}", it.instance, it.message);
    for (name, value) in
        it.fields.iter().filter(|(name, _)| !["id", "level"].contains(&name.as_str()))
    {
        let text = match value {
            Value::String(text) => text.clone(),
            other => other.to_string(),
        };
        line.push_str(&format!(" {name}={text}"));
    }
    line
}

/// Returns the instance that the request was last sent to. Logs name it as `name#incarnation`.
fn instance_of(it: &LogLine) -> &str {
    it.text("sent_to").split('#').next().unwrap_or_default()
}

/// Describes the outcome of the request and its cause in one or two sentences.
fn describe_cause(lines: &[LogLine]) -> String {
    let last_line_with = |message: &str| lines.iter().rev().find(|it| it.message == message);
    let gate = last_line_with(GATE_REPLIED_MESSAGE);
    if let Some(ended) = last_line_with(ENDED_MESSAGE) {
        let is_last_gate_reply = |it: &&LogLine| {
            it.message == GATE_REPLIED_MESSAGE && *it.instance == *instance_of(ended)
        };
        return describe_final_answer(ended, lines.iter().rev().find(is_last_gate_reply));
    }
    if let Some(refused) = last_line_with(REFUSED_MESSAGE) {
        return format!(
            "the request was invalid and not sent to an upstream: {}.",
            refused.text("reason")
        );
    }
    match (last_line_with(CALLER_LEFT_MESSAGE), gate) {
        (Some(left), _) => format!(
            "the caller disconnected after {} ms; the request had last been sent to {}.",
            left.number("spent_ms"),
            left.text("sent_to")
        ),
        (None, Some(gate)) => format!(
            "only the gate of {} logged the request, outcome {}: the log of the instance that the caller called is missing.",
            gate.instance,
            gate.text("outcome")
        ),
        (None, None) => "unknown: the log lines contain no outcome.".to_owned(),
    }
}

fn describe_final_answer(ended: &LogLine, gate: Option<&LogLine>) -> String {
    let (outcome, reason) = match ended.text("outcome").split_once("; reason=") {
        Some((outcome, reason)) => (outcome, reason),
        None => (ended.text("outcome"), ""),
    };
    let sent_to = ended.text("sent_to");
    let spent_ms = ended.number("spent_ms");
    match (outcome, reason) {
        ("answered", _) if ended.fields.get("is_late") == Some(&Value::Bool(true)) => {
            describe_late_answer(ended, gate)
        }
        ("answered", _) => {
            format!("answered with status {} after {spent_ms} ms.", ended.text("status"))
        }
        ("not-run", "overloaded") => {
            let seen = gate.map_or_else(
                || "the log line of its gate is missing".to_owned(),
                |it| {
                    format!(
                        "{} requests ran and {} were queued there",
                        it.number("running"),
                        it.number("queued")
                    )
                },
            );
            format!(
                "not run: {sent_to} was overloaded and could not run it in time; {seen}. The caller was asked to \
                 retry after {} ms.",
                ended.number("come_back_ms")
            )
        }
        ("not-run", "no-owner") => {
            "not run: its key had no owner. Look for a lost instance, an ended session \
             or a term that was not settled."
                .to_owned()
        }
        ("not-run", "not-owner") => {
            "not run: outdated routes sent it to instances that did not own its key, three times \
             in a row."
                .to_owned()
        }
        ("not-run", "draining") => {
            "not run: the instances that could run it were draining.".to_owned()
        }
        ("not-run", "unreachable") => format!("not run: there was no connection to {sent_to}."),
        ("not-run", "deadline-exceeded") => {
            format!(
                "not run: its deadline passed after {spent_ms} ms, before it was sent to an upstream."
            )
        }
        ("not-run", "refused") => format!("not run: the upstream beside {sent_to} refused it."),
        ("unknown", "connection-lost") if gate.is_some() => format!(
            "unknown whether it ran: the connection between the gate of {sent_to} and its upstream broke."
        ),
        ("unknown", "connection-lost") => format!(
            "unknown whether it ran: the link to {sent_to} broke, or its process ended; its gate logged nothing."
        ),
        ("unknown", "deadline-exceeded") => {
            format!(
                "outcome unknown: it was still running beside {sent_to} at its deadline, after {spent_ms} ms."
            )
        }
        ("unknown", "broken-answer") => {
            format!("unknown whether it ran: the upstream beside {sent_to} sent an invalid answer.")
        }
        _ => format!("{}.", ended.text("outcome")),
    }
}

fn describe_late_answer(ended: &LogLine, gate: Option<&LogLine>) -> String {
    let spent_ms = ended.number("spent_ms");
    let tries = ended.number("tries");
    let sent_to = ended.text("sent_to");
    if tries > 1 {
        return format!(
            "answered late, after {spent_ms} ms: {} attempts were refused before {sent_to} accepted it.",
            tries - 1
        );
    }
    match gate {
        Some(gate) => format!(
            "answered late: {} of its {spent_ms} ms were spent at {sent_to}, with {} requests queued and {} running there.",
            gate.number("spent_ms"),
            gate.number("queued"),
            gate.number("running")
        ),
        None => format!(
            "answered late, after {spent_ms} ms: it was queued or ran for a long time at {sent_to}. A queue there \
             (`pomelohill_gate_queued`) or keys moved shortly before show which."
        ),
    }
}
