//! Parsing of the credential in a request's headers.

use std::fmt;

/// A key as a caller sent it. Its debug output does not contain the key.
#[derive(Clone, PartialEq, Eq)]
pub struct Key(Box<[u8]>);

impl Key {
    /// Creates a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(key.into())
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// What a request presents as its credential.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Presented {
    /// Nothing.
    #[default]
    Missing,
    /// Something that is not one credential of the expected scheme.
    Malformed,
    /// A key, which may be unknown.
    Key(Key),
}

impl Presented {
    /// Returns the presented key.
    #[must_use]
    pub fn key(&self) -> Option<&Key> {
        match self {
            Self::Key(key) => Some(key),
            Self::Missing | Self::Malformed => None,
        }
    }
}

/// Parses the values of the credential header: `SCHEME KEY`, with one or more spaces
/// between them. As in other authentication schemes of HTTP, letter case of the scheme is
/// ignored. A repeated header is malformed, because other programs may read another one of
/// its values.
#[must_use]
pub fn parse<'a>(scheme: &str, values: impl IntoIterator<Item = &'a [u8]>) -> Presented {
    let mut values = values.into_iter();
    let Some(value) = values.next() else {
        return Presented::Missing;
    };
    match (parse_value(scheme, value), values.next()) {
        (Some(key), None) => Presented::Key(key),
        _ => Presented::Malformed,
    }
}

fn parse_value(scheme: &str, value: &[u8]) -> Option<Key> {
    let (name, rest) = value.split_at_checked(scheme.len())?;
    let key = rest.trim_ascii();
    let is_separated = rest.first() == Some(&b' ');
    let is_scheme = name.eq_ignore_ascii_case(scheme.as_bytes());
    (is_scheme && is_separated && !key.is_empty()).then(|| Key::new(key))
}
