//! Names of the messages that come on the wire.

/// A message that this version reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A batch begins, with the time of all its messages.
    BatchStart,
    /// A batch ends; replies are due.
    BatchEnd,
    /// A message for one proxy.
    Instance(InstanceMessage),
}

/// A message for one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceMessage {
    /// The proxy starts.
    Start,
    /// The proxy ends without notice.
    Crash,
    /// Anything that goes to a running proxy.
    Input(InputMessage),
}

/// A message that becomes an event of a running proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InputMessage {
    /// The endpoint list, or changes of it.
    EndpointList,
    /// A request of a client.
    Request,
    /// An attempt's connection has been established.
    AttemptStarted,
    /// An attempt has ended.
    AttemptEnded,
    /// A client has closed its connection.
    ClientClosed,
    /// A timer is due.
    Timer,
    /// A gossip message of a peer.
    Gossip,
}

impl Message {
    /// The message of that name; `None` for those that this version does not know, which are skipped.
    pub fn from_wire(name: &str) -> Option<Self> {
        Some(match name {
            "FRAME" => Message::BatchStart,
            "GO" => Message::BatchEnd,
            "UP" => Message::Instance(InstanceMessage::Start),
            "CRASH_NOW" => Message::Instance(InstanceMessage::Crash),
            _ => Message::Instance(InstanceMessage::Input(InputMessage::from_wire(name)?)),
        })
    }
}

impl InstanceMessage {
    /// Its name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            InstanceMessage::Start => "UP",
            InstanceMessage::Crash => "CRASH_NOW",
            InstanceMessage::Input(message) => message.wire_name(),
        }
    }
}

impl InputMessage {
    const ALL: [InputMessage; 7] = [
        InputMessage::EndpointList,
        InputMessage::Request,
        InputMessage::AttemptStarted,
        InputMessage::AttemptEnded,
        InputMessage::ClientClosed,
        InputMessage::Timer,
        InputMessage::Gossip,
    ];

    fn wire_name(self) -> &'static str {
        match self {
            InputMessage::EndpointList => "TOPOLOGY",
            InputMessage::Request => "ARRIVAL",
            InputMessage::AttemptStarted => "ESTABLISHED",
            InputMessage::AttemptEnded => "OUTCOME",
            InputMessage::ClientClosed => "HANGUP",
            InputMessage::Timer => "DEADLINE_HIT",
            InputMessage::Gossip => "NOTE_FROM",
        }
    }

    fn from_wire(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|message| message.wire_name() == name)
    }
}
