//! Compression of configuration pages, which consist of many similar entries.

use crate::heartbeat::ConfigDelta;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use prost::Message;
use std::io::{self, Read, Write};

/// Maximum size of a page after decompression, in bytes.
const MAX_PAGE_BYTES: u64 = 64 * 1024 * 1024;

impl ConfigDelta {
    /// Returns the page, encoded and compressed with zlib.
    ///
    /// # Errors
    ///
    /// Returns an error if the compression fails.
    pub fn compress(&self) -> io::Result<Bytes> {
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&self.encode_to_vec())?;
        Ok(encoder.finish()?.into())
    }

    /// Returns the page that [`Self::compress`] compressed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no compressed page, or one of over 64 MiB.
    pub fn decompress(compressed: &[u8]) -> io::Result<Self> {
        let mut encoded = Vec::new();
        let mut decoder = ZlibDecoder::new(compressed).take(MAX_PAGE_BYTES + 1);
        let read = decoder.read_to_end(&mut encoded)?;
        if read as u64 > MAX_PAGE_BYTES {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the page is too large",
            ));
        }
        Self::decode(encoded.as_slice()).map_err(io::Error::other)
    }
}
