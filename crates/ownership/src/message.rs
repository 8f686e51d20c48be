//! What the nodes of one group say to each other.

use model::Term;

/// A message between two nodes of one group. Each names the sender's term.
#[derive(Debug, Clone, PartialEq)]
pub enum Message {
    /// Ask any member of the group who coordinates it.
    WhoCoordinates { term: Term },
}
