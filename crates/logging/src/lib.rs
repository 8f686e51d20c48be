//! The log of a process: one JSON object a line on standard output, written without ever making the
//! process wait, and a bound on lines that come with requests.

mod json;
mod rate;
mod writer;

pub use rate::LineRateLimiter;
pub use writer::LogGuard;

#[cfg(test)]
mod tests;

/// Starts the log of this process, with filters as `env_logger` reads them. Lines still on their way
/// when the guard is dropped are written first.
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
