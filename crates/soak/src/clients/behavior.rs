//! What clients do with their requests.

/// How many of a hundred requests clients treat in each unusual way.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClientBehavior {
    /// They cancel the request by closing the connection.
    pub cancel_percent: u32,
    /// They send the next request at once, behind the first.
    pub pipeline_percent: u32,
    /// They send a long body.
    pub upload_percent: u32,
    /// They ask for a long response and read it slowly.
    pub read_slowly_percent: u32,
    /// They stop in the middle of the request and keep the connection.
    pub stall_percent: u32,
    /// They write the request in pieces, with pauses.
    pub write_slowly_percent: u32,
}

impl ClientBehavior {
    /// What clients do without a fault.
    pub const USUAL: ClientBehavior = ClientBehavior {
        cancel_percent: 4,
        pipeline_percent: 2,
        upload_percent: 2,
        read_slowly_percent: 1,
        stall_percent: 1,
        write_slowly_percent: 4,
    };

    /// Chooses what a client does with its next request.
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

/// What a client does with one request.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum RequestBehavior {
    /// Waits for the response.
    Wait,
    /// Closes the connection before the response.
    Cancel,
    /// Sends another request behind it.
    Pipeline,
    /// Reads the response slowly.
    ReadSlowly,
    /// Sends only a part of it.
    Stall,
    /// Sends it in pieces, with pauses.
    WriteSlowly,
}
