//! The operators' bearer token.

use salvo::http::HeaderValue;
use std::fs;
use std::io;
use std::path::Path;
use subtle::ConstantTimeEq;

const SCHEME: &[u8] = b"Bearer ";

/// A bearer token.
pub(crate) struct Token(Vec<u8>);

impl Token {
    /// Reads a token from a file, ignoring surrounding white space.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or is empty.
    pub(crate) fn read(path: &Path) -> io::Result<Self> {
        let error = |why: &str| io::Error::other(format!("{}: {why}", path.display()));
        let bytes = fs::read(path).map_err(|err| error(&err.to_string()))?;
        let token = bytes.trim_ascii().to_vec();
        match token.is_empty() {
            true => Err(error("the token file is empty")),
            false => Ok(Self(token)),
        }
    }

    /// Returns whether a request's `authorization` header carries the token. The
    /// comparison takes constant time, so that it does not leak the token.
    pub(crate) fn matches(&self, header: Option<&HeaderValue>) -> bool {
        let token = header.and_then(|h| h.as_bytes().strip_prefix(SCHEME));
        token.is_some_and(|token| bool::from(token.ct_eq(&self.0)))
    }
}
