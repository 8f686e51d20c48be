//! Counts the table entries that a step visits, so that the simulation can model the CPU time of a step.
//!
//! Code that iterates over slots, members or names reports the number of entries. Outside of simulations the call
//! is a no-op.

#[cfg(any(test, feature = "sim"))]
thread_local! {
    static ENTRIES: std::cell::Cell<u64> = const { std::cell::Cell::new(0) };
}

/// Adds to the number of entries that this thread has visited.
#[cfg(any(test, feature = "sim"))]
pub(crate) fn add_entries(entries: usize) {
    ENTRIES.set(ENTRIES.get() + entries as u64);
}

#[cfg(not(any(test, feature = "sim")))]
pub(crate) const fn add_entries(_entries: usize) {}

/// Returns the number of entries that this thread has visited since the last call, and resets it.
#[cfg(any(test, feature = "sim"))]
pub(crate) fn take_entries() -> u64 {
    ENTRIES.take()
}
