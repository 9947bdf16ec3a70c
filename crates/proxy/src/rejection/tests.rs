//! Tests of the responses to rejected requests.

use super::*;

/// Clients see the status code and message of each rejection, so neither may change unnoticed.
#[test]
fn rejections_have_their_status_and_message() {
    let cases = [
        (Rejection::UnknownClass, 404, "no such class"),
        (Rejection::NoRoute, 404, "no class takes this path and method"),
        (Rejection::WrongMethod, 405, "not the method of this class"),
        (Rejection::IdempotencyKeyMismatch, 400, "Idempotency-Key does not fit the class"),
        (Rejection::MissingHeader("X-Timeout"), 400, "X-Timeout is missing"),
        (Rejection::InvalidHeader, 400, "a header is malformed or stands twice"),
        (Rejection::InvalidNumber, 400, "a header is no number"),
        (Rejection::UnknownTenant, 400, "no such tenant"),
        (Rejection::TunnelOrUpgrade, 501, "no tunnels and no upgrades"),
        (Rejection::AmbiguousLength, 411, "the length must be told, and once"),
        (Rejection::BodyTooLarge, 413, "the body is too large"),
        (Rejection::IdInUse, 409, "a request with this id is open"),
        (BodyError::TooSlow.into(), 408, "the body came too slowly"),
        (BodyError::Malformed.into(), 400, "the body is malformed"),
    ];
    for (rejection, status, message) in cases {
        assert_eq!(rejection.status().as_u16(), status, "{rejection:?}");
        assert_eq!(rejection.to_string(), message);
    }
}
