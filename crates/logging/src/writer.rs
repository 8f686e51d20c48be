//! Lines go through a bounded channel to a thread that writes them. Whoever logs never waits: a pipe
//! that nobody reads costs lines, not requests, and the number of lines lost is written later.

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

/// Lines that may wait for the writer: about 400 KB of them, at 400 bytes a line.
const QUEUED_LINES_MAX: usize = 1_024;
/// How long the end of the process waits for its last lines. A pipe that is read takes them in less
/// than a millisecond.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Message {
    Line(Vec<u8>),
    /// Says so when all earlier lines are written.
    Flush(Sender<()>),
}

/// Keeps the log going; dropped, it waits for the last lines.
#[derive(Debug)]
pub struct LogGuard {
    messages: SyncSender<Message>,
}

/// Where the logger writes its lines, each with one call.
#[derive(Debug)]
pub(crate) struct LineWriter {
    messages: SyncSender<Message>,
    dropped_lines: Arc<AtomicU64>,
}

impl LogGuard {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start(out: impl Write + Send + 'static) -> (LogGuard, LineWriter) {
        let (messages, received) = sync_channel(QUEUED_LINES_MAX);
        let dropped_lines = Arc::new(AtomicU64::new(0));
        let dropped = Arc::clone(&dropped_lines);
        thread::spawn(move || {
            // Nobody reads the log any more, and there is no other place to say so.
            _ = write_all(&received, &dropped, out);
        });
        (LogGuard { messages: messages.clone() }, LineWriter { messages, dropped_lines })
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        let (written, all_written) = channel();
        // If the writer is that far behind, the last lines are left out.
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
                // Whoever asked may have stopped waiting.
                _ = written.send(());
            }
        }
        match dropped_lines.swap(0, Ordering::Relaxed) {
            0 => {}
            count => writeln!(
                out,
                r#"{{"level":"WARN","target":"logging","message":"Lines were left out: the log was not read fast enough.","left_out":{count}}}"#
            )?,
        }
    }
    Ok(())
}
