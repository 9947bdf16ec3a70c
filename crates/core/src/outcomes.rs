//! Outcomes of attempts.

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint responded with an error.
    Error,
    /// The endpoint rejected the attempt without processing it, because it has no capacity left.
    Rejected,
    /// No response arrived within the timeout of the attempt.
    TimedOut,
    /// No connection to the endpoint could be established.
    ConnectFailed,
    /// The connection to the endpoint broke.
    Reset,
    /// The proxy cancelled the attempt after it was sent.
    Cancelled,
    /// The proxy withdrew the attempt before anything was sent.
    Withdrawn,
}

impl Outcome {
    /// The number of outcomes.
    pub const COUNT: usize = Outcome::Withdrawn as usize + 1;

    /// All outcomes, in the order of declaration.
    pub const ALL: [Outcome; Outcome::COUNT] = [
        Outcome::Served,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::Withdrawn,
    ];

    /// The name of the outcome in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Served => "served",
            Outcome::Error => "error",
            Outcome::Rejected => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::Withdrawn => "moot",
        }
    }

    /// Whether the endpoint may have executed the request.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::Withdrawn)
    }
}
