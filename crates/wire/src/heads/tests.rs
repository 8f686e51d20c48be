//! Tests of the compression of heads.

use quickcheck::{Gen, QuickCheck};

use super::{
    DICTIONARY_BYTES_MAX, HEAD_BYTES_MAX, HeadDecoder, HeadEncoder, compress_with_dict, push_length,
};
use crate::CodecError;

/// Random heads of any length, some of them repetitive, and random bodies.
#[test]
fn decoded_messages_equal_the_encoded_ones() {
    fn property(messages: Vec<(Vec<u8>, Vec<u8>, u8)>) -> bool {
        let (mut encoder, mut decoder) = (HeadEncoder::default(), HeadDecoder::default());
        messages.into_iter().all(|(head, body, times)| {
            let head = head.repeat(usize::from(times));
            let message = [head.as_slice(), &body].concat();
            let encoded = encoder.encode(&message, head.len());
            decoder.decode(&encoded).unwrap() == message
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 11))
        .quickcheck(property as fn(Vec<(Vec<u8>, Vec<u8>, u8)>) -> bool);
}

#[test]
fn a_head_similar_to_the_previous_one_is_compressed_to_few_bytes() {
    let head =
        |number: u32| format!("{{\"service\":\"standings\",\"path\":\"/heat\",\"id\":{number}}}");
    let mut encoder = HeadEncoder::default();
    let sizes: Vec<usize> =
        (1000..1010).map(|it| encoder.encode(head(it).as_bytes(), head(it).len()).len()).collect();
    assert!(sizes[0] > 40, "{sizes:?}");
    assert!(sizes[1..].iter().all(|it| *it < 20), "{sizes:?}");
}

#[test]
fn the_dictionary_is_bounded() {
    let mut encoder = HeadEncoder::default();
    for byte in 0..=255 {
        encoder.encode(&[byte; 1000], 1000);
        assert!(encoder.0.0.len() <= DICTIONARY_BYTES_MAX);
    }
    encoder.encode(&[7; 100_000], 100_000);
    assert_eq!(encoder.0.0.len(), DICTIONARY_BYTES_MAX);
}

#[test]
fn invalid_bytes_are_refused_or_decoded_within_bounds() {
    fn property(bytes: Vec<u8>) -> bool {
        match HeadDecoder::default().decode(&bytes) {
            Ok(message) => message.len() <= HEAD_BYTES_MAX + bytes.len(),
            Err(CodecError::Invalid { field, .. }) => field == "head",
            Err(_) => false,
        }
    }
    QuickCheck::new()
        .tests(2000)
        .rng(Gen::from_size_and_seed(60, 13))
        .quickcheck(property as fn(Vec<u8>) -> bool);
    let refused =
        |bytes: &[u8]| assert!(HeadDecoder::default().decode(bytes).is_err(), "{bytes:?}");
    refused(&[]);
    refused(&[0xff, 0xff, 0xff, 0xff]);
    refused(&[5, 9, 1, 2]);
    let mut encoder = HeadEncoder::default();
    encoder.encode(b"lap lap lap lap", 15);
    let second = encoder.encode(b"lap lap lap lap", 15);
    refused(&second);
    // A few kilobytes that would decompress to a head above the limit.
    let head = vec![0; HEAD_BYTES_MAX + 1];
    let compressed = compress_with_dict(&head, &[]);
    let mut bomb = Vec::new();
    push_length(&mut bomb, head.len());
    push_length(&mut bomb, compressed.len());
    bomb.extend_from_slice(&compressed);
    refused(&bomb);
}
