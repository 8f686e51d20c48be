//! Proofs of possession of the link key, by HMAC-SHA256.

use std::fmt;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use wire::link::Transcript;

/// The key that all agents share, from the settings. It is never logged.
#[derive(Clone)]
pub struct LinkKey(Hmac<Sha256>);

impl LinkKey {
    pub fn new(secret: &[u8]) -> LinkKey {
        LinkKey(Hmac::new_from_slice(secret).expect("HMAC takes keys of any length"))
    }

    pub(crate) fn proof(&self, transcript: &Transcript<'_>) -> [u8; 32] {
        self.mac(transcript).finalize().into_bytes().into()
    }

    /// Verifies a proof; compares in constant time.
    pub(crate) fn verify(&self, transcript: &Transcript<'_>, proof: &[u8; 32]) -> bool {
        self.mac(transcript).verify_slice(proof).is_ok()
    }

    fn mac(&self, transcript: &Transcript<'_>) -> Hmac<Sha256> {
        self.0.clone().chain_update(wire::encode(transcript))
    }
}

impl fmt::Debug for LinkKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("LinkKey")
    }
}
