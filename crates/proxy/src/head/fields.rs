//! Parsers of single headers and of the query.

use hyper::Uri;
use hyper::header::HeaderMap;
use leadrelay_core::AffinityKey;
use leadrelay_core::names::hash_name;

use crate::rejection::Rejection;

/// Returns the value of a header that may be present at most once, if it is present.
pub(super) fn single<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().map(|value| value.to_str()).transpose();
    match (value, values.next()) {
        (Ok(value), None) => Ok(value),
        _ => Err(Rejection::InvalidHeader),
    }
}

/// Returns the value of a header that is a non-negative number and may be present at most once, if it is present.
pub(super) fn number(headers: &HeaderMap, name: &str) -> Result<Option<f64>, Rejection> {
    let Some(text) = single(headers, name)? else { return Ok(None) };
    let number = text.trim().parse::<f64>().map_err(|_| Rejection::InvalidNumber)?;
    if number.is_finite() && number >= 0.0 { Ok(Some(number)) } else { Err(Rejection::InvalidNumber) }
}

/// Returns the affinity key: a hash of the session id, the parameter `sid` of the query.
pub(super) fn affinity_key(uri: &Uri) -> Option<AffinityKey> {
    let query = uri.query().unwrap_or_default();
    let session_id = query.split('&').find_map(|parameter| parameter.strip_prefix("sid="))?;
    Some(AffinityKey(hash_name(session_id)))
}
