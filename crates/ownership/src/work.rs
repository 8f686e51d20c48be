//! Counts the entries of tables that a step goes through, so that runs in virtual time can charge a node
//! for its work.
//!
//! Whatever goes through slots, members or names notes how many; outside of those runs it costs nothing.

#[cfg(any(test, feature = "sim"))]
thread_local! {
    static ENTRIES: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Notes that so many entries have been gone through.
#[cfg(any(test, feature = "sim"))]
pub(crate) fn add_entries(entries: usize) {
    ENTRIES.set(ENTRIES.get() + entries as u64);
}

#[cfg(not(any(test, feature = "sim")))]
pub(crate) const fn add_entries(_entries: usize) {}

/// How many entries this thread has gone through since it was last asked.
#[cfg(any(test, feature = "sim"))]
pub(crate) fn take_entries() -> u64 {
    ENTRIES.take()
}
