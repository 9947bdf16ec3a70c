//! Behavior of clients: how they send requests and read responses.

/// Percentage of requests for which clients show each kind of unusual behavior.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// Requests that the client cancels by closing the connection.
    pub cancel_percent: u32,
    /// Requests behind which the client pipelines a second one, without waiting for the response.
    pub pipeline_percent: u32,
    /// Requests with a long body.
    pub upload_percent: u32,
    /// Requests for a long response, which the client reads slowly.
    pub read_slowly_percent: u32,
    /// Requests that the client never completes although it keeps the connection open.
    pub stall_percent: u32,
    /// Requests that the client writes in pieces, with pauses.
    pub write_slowly_percent: u32,
}

impl ClientBehavior {
    /// Behavior of clients while no fault changes it.
    pub const NORMAL: ClientBehavior = ClientBehavior {
        cancel_percent: 4,
        pipeline_percent: 2,
        upload_percent: 2,
        read_slowly_percent: 1,
        stall_percent: 1,
        write_slowly_percent: 4,
    };

    /// Chooses at random how a client behaves during its next request.
    pub(super) fn choose(self) -> RequestBehavior {
        let choices = [
            (self.cancel_percent, RequestBehavior::Cancel),
            (self.pipeline_percent, RequestBehavior::Pipeline),
            (self.read_slowly_percent, RequestBehavior::ReadSlowly),
            (self.stall_percent, RequestBehavior::Stall),
            (self.write_slowly_percent, RequestBehavior::WriteSlowly),
        ];
        let mut sample = fastrand::u32(0..100);
        for (percent, behavior) in choices {
            if sample < percent {
                return behavior;
            }
            sample -= percent;
        }
        RequestBehavior::Wait
    }
}

/// Behavior of a client during one request.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestBehavior {
    /// Waits for the response.
    Wait,
    /// Closes the connection before the response arrives.
    Cancel,
    /// Pipelines a second request behind the first.
    Pipeline,
    /// Reads the response slowly.
    ReadSlowly,
    /// Sends only a part of the request.
    Stall,
    /// Sends the request in pieces, with pauses.
    WriteSlowly,
}
