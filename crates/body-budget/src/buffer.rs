//! Buffers for bodies that are being received.

use bytes::Bytes;
use memmap2::{MmapMut, MmapOptions};

use crate::budget::Reservation;

/// Capacity from which a buffer is a mapping of its own. The allocator keeps large blocks that were freed: a process that
/// had served bodies of 1 to 60 MB held 73 to 127 MB afterwards.
const MAPPED_BYTES_MIN: usize = 256 << 10;

/// A body that is being received, with the room reserved for it.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Storage,
    pub(crate) reservation: Reservation,
}

#[derive(Debug)]
enum Storage {
    Heap(Vec<u8>),
    /// Pages are taken when they are first written, so that the capacity costs no memory by itself.
    Mapped {
        mapping: MmapMut,
        len: usize,
    },
}

/// The owner of a body's bytes.
struct Held<T> {
    bytes: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Returns bytes that were received already, with the room reserved for them. The room becomes free when the last clone
/// of them is dropped.
pub fn held(bytes: Bytes, reservation: Reservation) -> Bytes {
    Bytes::from_owner(Held { bytes, _reservation: reservation })
}

impl Storage {
    fn with_capacity(capacity: usize) -> Storage {
        if capacity < MAPPED_BYTES_MIN {
            return Storage::Heap(Vec::with_capacity(capacity));
        }
        match MmapOptions::new().len(capacity).no_reserve_swap().map_anon() {
            Ok(mapping) => Storage::Mapped { mapping, len: 0 },
            Err(error) => {
                log::warn!(target: "bodies", "Cannot map {capacity} bytes for a body; allocating them: {error}.");
                Storage::Heap(Vec::with_capacity(capacity))
            }
        }
    }

    fn capacity(&self) -> usize {
        match self {
            Storage::Heap(bytes) => bytes.capacity(),
            Storage::Mapped { mapping, .. } => mapping.len(),
        }
    }

    fn extend(&mut self, part: &[u8]) {
        match self {
            Storage::Heap(bytes) => bytes.extend_from_slice(part),
            Storage::Mapped { mapping, len } => {
                mapping[*len..*len + part.len()].copy_from_slice(part);
                *len += part.len();
            }
        }
    }
}

impl AsRef<[u8]> for Storage {
    fn as_ref(&self) -> &[u8] {
        match self {
            Storage::Heap(bytes) => bytes,
            Storage::Mapped { mapping, len } => &mapping[..*len],
        }
    }
}

impl BodyBuffer {
    /// Creates an empty buffer for as many bytes as are reserved.
    pub fn new(reservation: Reservation) -> BodyBuffer {
        BodyBuffer { bytes: Storage::with_capacity(reservation.bytes()), reservation }
    }

    pub fn len(&self) -> usize {
        self.bytes.as_ref().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends bytes, for which room has to be reserved.
    pub fn extend(&mut self, part: &[u8]) {
        debug_assert!(self.len() + part.len() <= self.reservation.bytes());
        self.bytes.extend(part);
    }

    /// Makes the capacity that of the room reserved, for a body that may grow to `bytes_max` bytes. Its bytes are copied
    /// at most a few times, and only while they are few: a mapping has the largest capacity at once.
    pub(crate) fn fit_to_room(&mut self, bytes_max: usize) {
        let room = self.reservation.bytes();
        if room <= self.bytes.capacity() {
            return;
        }
        let capacity = if room < MAPPED_BYTES_MIN { room } else { bytes_max };
        let mut bytes = Storage::with_capacity(capacity);
        bytes.extend(self.bytes.as_ref());
        self.bytes = bytes;
    }

    /// Returns the bytes. The room becomes free when the last clone of them is dropped.
    pub fn freeze(self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(Held { bytes: self.bytes, _reservation: self.reservation })
    }
}
