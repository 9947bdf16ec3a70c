//! How an attempt ends.

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Served,
    /// The endpoint responded with an error.
    Error,
    /// The endpoint rejected it without processing it, as it has no capacity left.
    Rejected,
    /// No response in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Withdrawn before anything was sent.
    Withdrawn,
}

impl Outcome {
    /// How many there are.
    pub const COUNT: usize = Outcome::Withdrawn as usize + 1;

    /// All of them.
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

    /// Its name in metrics and logs.
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
