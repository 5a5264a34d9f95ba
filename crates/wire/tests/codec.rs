//! Framing: split reads, oversized and malformed input.

use bytes::BytesMut;
use tokio_util::codec::{Decoder, Encoder};
use wire::{Body, CodecError, Data, Frame, FrameCodec, MAX_FRAME_BYTES};

fn data_frame(stream: u64) -> Frame {
    Frame::new(Body::Data(Data {
        stream,
        offset: 7,
        bytes: "hello".into(),
        end: true,
        load: None,
    }))
}

#[test]
fn decode_split_frame() {
    let mut buf = BytesMut::new();
    let mut codec = FrameCodec::new();
    codec.encode(data_frame(3), &mut buf).unwrap();
    let mut partial = buf.split_to(4);
    assert_eq!(codec.decode(&mut partial).unwrap(), None);
    partial.unsplit(buf);
    assert_eq!(codec.decode(&mut partial).unwrap(), Some(data_frame(3)));
}

#[test]
fn decode_oversized_frame() {
    let len = u32::try_from(MAX_FRAME_BYTES + 1).unwrap();
    let mut buf = BytesMut::from(&len.to_be_bytes()[..]);
    let err = FrameCodec::new().decode(&mut buf).unwrap_err();
    assert!(matches!(err, CodecError::Io(_)), "{err}");
}

#[test]
fn decode_malformed_frame() {
    let mut buf = BytesMut::from(&[0, 0, 0, 2, 0xff, 0xff][..]);
    let err = FrameCodec::new().decode(&mut buf).unwrap_err();
    assert!(matches!(err, CodecError::Malformed(_)), "{err}");
}

#[test]
fn fingerprint_depends_on_part_boundaries() {
    let a = wire::fingerprint("ab", "c", "GET", "/", b"", None);
    let b = wire::fingerprint("a", "bc", "GET", "/", b"", None);
    assert_ne!(a, b);
}
