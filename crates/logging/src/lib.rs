//! Logging to standard output: one JSON object per line, written by a background thread so that logging never
//! blocks, and a rate limiter for lines that are logged per request.

mod json;
mod rate;
mod writer;

pub use rate::LineRateLimiter;
pub use writer::LogGuard;

#[cfg(test)]
mod tests;

/// Installs the logger of the process. `filters` has the syntax of `env_logger`. Dropping the guard waits a short
/// time until the queued lines are written.
pub fn init(filters: &str) -> LogGuard {
    let (logging, lines) = LogGuard::start(std::io::stdout());
    env_logger::Builder::new()
        .parse_filters(filters)
        .format(|line, record| {
            let time = line.timestamp_micros();
            json::write_record(line, time, record)
        })
        .target(env_logger::Target::Pipe(Box::new(lines)))
        .init();
    logging
}
