//! The conversions between typed messages and their CBOR form on the links between agents.
