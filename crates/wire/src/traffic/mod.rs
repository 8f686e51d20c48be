//! Frames of forwarded requests.
