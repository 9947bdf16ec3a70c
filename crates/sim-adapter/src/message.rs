//! The messages that the simulator sends, and their names in its protocol.

/// A message that this version supports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Message {
    /// A batch begins. The time in this message applies to all messages of the batch.
    BatchStart,
    /// A batch ends, and the simulator expects the replies to it.
    BatchEnd,
    /// A message for one simulated proxy.
    Instance(InstanceMessage),
}

/// A message for one simulated proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceMessage {
    /// The proxy starts.
    Start,
    /// The proxy crashes without notice, and its instance is discarded.
    Crash,
    /// A message for the balancer of a running proxy.
    Event(EventMessage),
}

/// A message that is translated to an event for the balancer of a running proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventMessage {
    /// The endpoint list or changes to it have arrived from discovery, or a call to discovery has failed.
    EndpointList,
    /// A client has sent a request.
    Request,
    /// The connection of an attempt has been established.
    AttemptStarted,
    /// An attempt has ended.
    AttemptEnded,
    /// A client has closed its connection.
    ClientClosed,
    /// A timer has expired.
    Timer,
    /// A peer has sent a gossip message.
    Gossip,
}

impl Message {
    /// Returns the message with the given name, or `None` if this version does not know the name. The adapter skips
    /// unknown messages.
    pub fn from_wire(name: &str) -> Option<Self> {
        Some(match name {
            "FRAME" => Message::BatchStart,
            "GO" => Message::BatchEnd,
            "UP" => Message::Instance(InstanceMessage::Start),
            "CRASH_NOW" => Message::Instance(InstanceMessage::Crash),
            _ => Message::Instance(InstanceMessage::Event(EventMessage::from_wire(name)?)),
        })
    }
}

impl InstanceMessage {
    /// Returns the name of the message in the simulator's protocol.
    pub fn wire_name(self) -> &'static str {
        match self {
            InstanceMessage::Start => "UP",
            InstanceMessage::Crash => "CRASH_NOW",
            InstanceMessage::Event(message) => message.wire_name(),
        }
    }
}

impl EventMessage {
    /// All messages of this type, for the lookup by name.
    const ALL: [EventMessage; 7] = [
        EventMessage::EndpointList,
        EventMessage::Request,
        EventMessage::AttemptStarted,
        EventMessage::AttemptEnded,
        EventMessage::ClientClosed,
        EventMessage::Timer,
        EventMessage::Gossip,
    ];

    fn wire_name(self) -> &'static str {
        match self {
            EventMessage::EndpointList => "TOPOLOGY",
            EventMessage::Request => "ARRIVAL",
            EventMessage::AttemptStarted => "ESTABLISHED",
            EventMessage::AttemptEnded => "OUTCOME",
            EventMessage::ClientClosed => "HANGUP",
            EventMessage::Timer => "DEADLINE_HIT",
            EventMessage::Gossip => "NOTE_FROM",
        }
    }

    fn from_wire(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|message| message.wire_name() == name)
    }
}
