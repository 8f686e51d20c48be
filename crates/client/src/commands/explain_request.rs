//! `explain-request`: what became of a request, from the logs of the instances that saw it.

use std::{collections::BTreeSet, sync::Arc};

use jiff::{SignedDuration, Timestamp};
use serde_json::Value;

use crate::{
    args::ExplainRequestArgs,
    error::CommandError,
    log_lines::{LogLine, ScanResult, read_log},
    terminal::Terminal,
};

/// The target of lines about requests.
const REQUESTS_TARGET: &str = "requests";
/// The final answer, as the instance writes it that the caller is connected to.
const ENDED_MESSAGE: &str = "Ended.";
/// What the gate beside the upstream replied.
const GATE_REPLIED_MESSAGE: &str = "The gate replied.";
/// The caller went away.
const CALLER_LEFT_MESSAGE: &str = "The caller left.";
/// The request went nowhere.
const REFUSED_MESSAGE: &str = "Refused.";
/// The most lines about the instances themselves: more than fit on a screen tell no story.
const CONTEXT_LINES_MAX: usize = 40;

pub(crate) fn run(args: &ExplainRequestArgs, terminal: &Terminal) -> Result<(), CommandError> {
    if args.files.is_empty() {
        return Err(CommandError::Usage("no log is named; see pomelohill --help".to_owned()));
    }
    let id = id(&args.id)?;
    let found = read_all(&args.files, |it| it.target == REQUESTS_TARGET && it.text("id") == id)?;
    if found.unreadable > 0 {
        terminal
            .print_progress(&format!("{} lines are no lines of an agent's log", found.unreadable));
    }
    let (Some(first), Some(last)) = (found.lines.first(), found.lines.last()) else {
        let message = format!(
            "no line about request {id}: it went well (such are told at log level \
             \"info,requests=debug\"), was left out by the rate bound, or went to other instances"
        );
        return Err(CommandError::NotFound(message));
    };
    found.lines.iter().for_each(|it| terminal.print_line(&line(it)));
    terminal.print_line(&format!("\nCause: {}", cause(&found.lines)));
    let context = context(args, &found.lines, first.at, last.at)?;
    if context.is_empty() {
        return Ok(());
    }
    terminal.print_line(&format!("\nWithin {} s, on the instances concerned:", args.around_s));
    context.iter().take(CONTEXT_LINES_MAX).for_each(|it| terminal.print_line(&line(it)));
    if context.len() > CONTEXT_LINES_MAX {
        terminal.print_line(&format!("and {} more", context.len() - CONTEXT_LINES_MAX));
    }
    Ok(())
}

/// The id as logs have it: lower case, with leading zeros.
fn id(text: &str) -> Result<String, CommandError> {
    let number = u128::from_str_radix(text, 16);
    let number = number.map_err(|_| CommandError::Usage(format!("{text:?} is not hexadecimal")))?;
    Ok(format!("{number:016x}"))
}

fn read_all(
    files: &[String],
    wanted: impl Fn(&LogLine) -> bool,
) -> Result<ScanResult, CommandError> {
    let mut all = ScanResult::default();
    for file in files {
        all.extend(read_log(file, &wanted)?);
    }
    Ok(all)
}

/// What the instances that had to do with the request decided about the same time.
fn context(
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
    let wanted = |it: &LogLine| {
        it.target != REQUESTS_TARGET
            && instances.contains(&it.instance)
            && (from..=to).contains(&it.at)
    };
    Ok(read_all(&args.files, wanted)?.lines)
}

/// Time of day, instance, message, fields.
fn line(it: &LogLine) -> String {
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

/// The instance whose gate was asked last; logs name it with its incarnation, `name#incarnation`.
fn instance_of(it: &LogLine) -> &str {
    it.text("sent_to").split('#').next().unwrap_or_default()
}

/// What the lines come to, in a sentence or two.
fn cause(lines: &[LogLine]) -> String {
    let last_line_with = |message: &str| lines.iter().rev().find(|it| it.message == message);
    let gate = last_line_with(GATE_REPLIED_MESSAGE);
    if let Some(ended) = last_line_with(ENDED_MESSAGE) {
        let is_last_gate_reply = |it: &&LogLine| {
            it.message == GATE_REPLIED_MESSAGE && *it.instance == *instance_of(ended)
        };
        return cause_of_final_answer(ended, lines.iter().rev().find(is_last_gate_reply));
    }
    if let Some(refused) = last_line_with(REFUSED_MESSAGE) {
        return format!("it was sent nowhere: {}.", refused.text("reason"));
    }
    match (last_line_with(CALLER_LEFT_MESSAGE), gate) {
        (Some(left), _) => format!(
            "the caller went away after {} ms; it had last been sent to {}.",
            left.number("spent_ms"),
            left.text("sent_to")
        ),
        (None, Some(gate)) => format!(
            "only the gate of {} has a line, {}: the log of the instance that the caller asked is missing.",
            gate.instance,
            gate.text("outcome")
        ),
        (None, None) => "the lines do not say.".to_owned(),
    }
}

fn cause_of_final_answer(ended: &LogLine, gate: Option<&LogLine>) -> String {
    let (outcome, reason) = match ended.text("outcome").split_once("; reason=") {
        Some((outcome, reason)) => (outcome, reason),
        None => (ended.text("outcome"), ""),
    };
    let sent_to = ended.text("sent_to");
    let spent_ms = ended.number("spent_ms");
    match (outcome, reason) {
        ("answered", _) if ended.fields.get("is_late") == Some(&Value::Bool(true)) => {
            cause_of_late_answer(ended, gate)
        }
        ("answered", _) => {
            format!("it was answered, status {}, after {spent_ms} ms.", ended.text("status"))
        }
        ("not-run", "overloaded") => {
            let seen = gate.map_or_else(
                || "the gate's line was left out".to_owned(),
                |it| {
                    format!("{} ran and {} waited there", it.number("running"), it.number("queued"))
                },
            );
            format!(
                "not run, for {sent_to} had no room for it in time: {seen}. Its caller was told to come back \
                 after {} ms.",
                ended.number("come_back_ms")
            )
        }
        ("not-run", "no-owner") => {
            "not run, for nobody owned its key: look for a lost instance, a session that \
             ended or a term that was not settled."
                .to_owned()
        }
        ("not-run", "not-owner") => {
            "not run, for the routes were older than the owner of its key, three times \
             in a row."
                .to_owned()
        }
        ("not-run", "draining") => {
            "not run, for the instances that could run it were leaving.".to_owned()
        }
        ("not-run", "unreachable") => format!("not run, for there was no connection to {sent_to}."),
        ("not-run", "deadline-exceeded") => {
            format!(
                "not run: its time was over after {spent_ms} ms, before an upstream was given it."
            )
        }
        ("not-run", "refused") => format!("not run, for the upstream beside {sent_to} refused it."),
        ("unknown", "connection-lost") if gate.is_some() => format!(
            "unknown whether it ran: the connection between the gate of {sent_to} and its upstream broke."
        ),
        ("unknown", "connection-lost") => format!(
            "unknown whether it ran: the link to {sent_to} broke, or its process ended; its gate has no line."
        ),
        ("unknown", "deadline-exceeded") => {
            format!("it was still at work beside {sent_to} at its deadline, after {spent_ms} ms.")
        }
        ("unknown", "broken-answer") => {
            format!(
                "unknown whether it ran: the answer of the upstream beside {sent_to} was broken."
            )
        }
        _ => format!("{}.", ended.text("outcome")),
    }
}

fn cause_of_late_answer(ended: &LogLine, gate: Option<&LogLine>) -> String {
    let spent_ms = ended.number("spent_ms");
    let tries = ended.number("tries");
    let sent_to = ended.text("sent_to");
    if tries > 1 {
        return format!(
            "answered late, after {spent_ms} ms: {} refused it before {sent_to} took it.",
            tries - 1
        );
    }
    match gate {
        Some(gate) => format!(
            "answered late: {} of its {spent_ms} ms went at {sent_to}, behind {} that waited and beside {} that ran.",
            gate.number("spent_ms"),
            gate.number("queued"),
            gate.number("running")
        ),
        None => format!(
            "answered late, after {spent_ms} ms: it waited or ran long at {sent_to}, where a queue \
             (`pomelohill_gate_queued`) or keys moved within seconds before tell which."
        ),
    }
}
