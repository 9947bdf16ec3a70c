//! Requests that the frontend rejects, with the status code and message of each rejection's response.

use hyper::StatusCode;

use crate::body_upload::BodyError;

/// The reason for which a request is rejected before it is submitted to the driver. The message is the body of the
/// response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The path does not name a configured class.
    #[error("no such class")]
    UnknownClass,
    /// No class has a route for the path and method.
    #[error("no class takes this path and method")]
    NoRoute,
    /// The method is not the one that the class requires.
    #[error("not the method of this class")]
    WrongMethod,
    /// An idempotency key is present although the class does not use one, or missing although the class requires one.
    #[error("Idempotency-Key does not fit the class")]
    IdempotencyKeyMismatch,
    /// A mandatory header is missing.
    #[error("{0} is missing")]
    MissingHeader(&'static str),
    /// A header is malformed, or present more than once.
    #[error("a header is malformed or stands twice")]
    InvalidHeader,
    /// A numeric header is not a finite number, or is negative.
    #[error("a header is no number")]
    InvalidNumber,
    /// The tenant is not configured.
    #[error("no such tenant")]
    UnknownTenant,
    /// The method is CONNECT, or the request asks for an upgrade of the connection.
    #[error("no tunnels and no upgrades")]
    TunnelOrUpgrade,
    /// The request is chunked and also has a Content-Length, or its raw head can't prove that it has none.
    #[error("the length must be told, and once")]
    AmbiguousLength,
    /// The announced length of the body exceeds the maximum size.
    #[error("the body is too large")]
    BodyTooLarge,
    /// Another open request has the same id.
    #[error("a request with this id is open")]
    IdInUse,
    /// The body did not arrive in time.
    #[error("the body came too slowly")]
    BodyTooSlow,
    /// The body is malformed, or a body of unannounced length exceeds the maximum size.
    #[error("the body is malformed")]
    BodyMalformed,
}

impl Rejection {
    /// The status code of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Rejection::UnknownClass | Rejection::NoRoute => StatusCode::NOT_FOUND,
            Rejection::WrongMethod => StatusCode::METHOD_NOT_ALLOWED,
            Rejection::TunnelOrUpgrade => StatusCode::NOT_IMPLEMENTED,
            Rejection::AmbiguousLength => StatusCode::LENGTH_REQUIRED,
            Rejection::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Rejection::IdInUse => StatusCode::CONFLICT,
            Rejection::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Rejection::IdempotencyKeyMismatch
            | Rejection::MissingHeader(_)
            | Rejection::InvalidHeader
            | Rejection::InvalidNumber
            | Rejection::UnknownTenant
            | Rejection::BodyMalformed => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<BodyError> for Rejection {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooSlow => Rejection::BodyTooSlow,
            BodyError::Malformed => Rejection::BodyMalformed,
        }
    }
}

#[cfg(test)]
mod tests;
