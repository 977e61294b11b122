//! The credentials in a caller's request.

use std::fmt;

use hyper::header::{AUTHORIZATION, HeaderMap, HeaderValue};
use wire::Header;

/// The authentication scheme of keys (RFC 6750, section 2.1), in any case.
const SCHEME: &[u8] = b"bearer";

/// A key that a caller presents. `Debug` and `Display` do not show it.
#[derive(Clone, PartialEq, Eq)]
pub struct BearerKey(Box<[u8]>);

/// The `Authorization` headers of a caller's request, apart from its other headers, so that
/// they are forwarded only on purpose. `Debug` does not show them.
#[derive(Default, PartialEq, Eq)]
pub struct Credentials {
    key: Option<BearerKey>,
    headers: Vec<Header>,
}

impl BearerKey {
    /// Returns the bytes of the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Parses the value of an `Authorization` header; `None` if it is of another scheme.
    fn parse(value: &HeaderValue) -> Option<Self> {
        let value = value.as_bytes();
        let (scheme, key) = value.split_at(value.iter().position(|byte| *byte == b' ')?);
        let key = key.trim_ascii();
        (scheme.eq_ignore_ascii_case(SCHEME) && !key.is_empty()).then(|| Self(key.into()))
    }
}

impl fmt::Debug for BearerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("BearerKey(redacted)")
    }
}

impl fmt::Display for BearerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("redacted")
    }
}

impl Credentials {
    /// Takes the credentials of a request with these `headers` out of those that are to be
    /// forwarded. A request with several `Authorization` headers presents no key: which one
    /// counts would depend on the reader.
    pub fn take(headers: &HeaderMap, forwarded: &mut Vec<Header>) -> Self {
        let mut values = headers.get_all(AUTHORIZATION).iter();
        let key = match (values.next(), values.next()) {
            (Some(only), None) => BearerKey::parse(only),
            _ => None,
        };
        let is_credential = |header: &mut Header| *header.name == *AUTHORIZATION.as_str();
        Self { key, headers: forwarded.extract_if(.., is_credential).collect() }
    }

    /// Returns the key that the caller presents, whether or not it is known.
    pub fn key(&self) -> Option<&BearerKey> {
        self.key.as_ref()
    }

    /// Returns the headers as they are forwarded where no organisations are configured.
    pub fn into_headers(self) -> Vec<Header> {
        self.headers
    }
}

impl fmt::Debug for Credentials {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Credentials").field("key", &self.key).finish_non_exhaustive()
    }
}
