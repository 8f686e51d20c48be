//! Writes log lines in a background thread behind a bounded channel, so that logging never blocks. If the
//! output is not read, lines are dropped, and their number is logged once writing continues.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, Sender, SyncSender, TrySendError, channel, sync_channel},
    },
    thread,
    time::Duration,
};

/// Capacity of the channel in lines: about 400 KB with 400 bytes per line.
const QUEUED_LINES_MAX: usize = 1_024;
/// Maximum wait for the queued lines when the process exits. An output that is read accepts them in less than
/// a millisecond.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    /// Requests a confirmation once all earlier lines are written.
    Flush(Sender<()>),
}

/// Guard of the logger. Dropping it waits until the queued lines are written, at most `FLUSH_TIMEOUT`.
#[derive(Debug)]
pub struct LogGuard {
    messages: SyncSender<Message>,
}

/// Output of the logger, which makes one `write` call per line.
#[derive(Debug)]
pub(crate) struct LineWriter {
    messages: SyncSender<Message>,
    dropped_lines: Arc<AtomicU64>,
}

impl LogGuard {
    /// Starts the thread that writes to `out`. Returns the guard and the writer for the logger.
    pub(crate) fn start(out: impl Write + Send + 'static) -> (LogGuard, LineWriter) {
        let (messages, received) = sync_channel(QUEUED_LINES_MAX);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let dropped = Arc::clone(&dropped_lines);
        thread::spawn(move || {
            // The output is closed, and there is no other place to report the error.
            _ = write_all(&received, &dropped, out);
        });
        (LogGuard { messages: messages.clone() }, LineWriter { messages, dropped_lines })
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (written, all_written) = channel();
        // If the channel is full, the flush is skipped and the last lines may be lost.
        if self.messages.try_send(Message::Flush(written)).is_ok() {
            _ = all_written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.messages.try_send(Message::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped_lines.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_all(
    messages: &Receiver<Message>,
    dropped_lines: &AtomicU64,
    mut out: impl Write,
) -> io::Result<()> {
    for message in messages {
        match message {
            Message::Line(line) => out.write_all(&line)?,
            Message::Flush(written) => {
                out.flush()?;
                // The receiver may have timed out.
                _ = written.send(());
            }
        }
        match dropped_lines.swap(0, Ordering::Relaxed) {
            0 => {}
            count => writeln!(
                out,
                r#"{{"level":"WARN","target":"logging","message":"Log lines were dropped: the log was not read fast enough.","left_out":{count}}}"#
            )?,
        }
    }
    Ok(())
}
