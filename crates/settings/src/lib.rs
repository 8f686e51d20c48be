//! Agent settings and service documents: JSON with comments, checked as a whole.
