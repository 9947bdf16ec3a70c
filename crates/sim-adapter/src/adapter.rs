//! The loop over batches: reads messages, hands them to instances and writes replies.

use std::any::Any;
use std::collections::BTreeMap;
use std::io::{BufRead, BufWriter, Write};
use std::panic::{AssertUnwindSafe, catch_unwind};

use leadrelay_core::Event;

use crate::error::{Error, LineError};
use crate::fields::Fields;
use crate::instance::Instance;
use crate::lines::{NumberedLine, NumberedLines};
use crate::message::{InputMessage, InstanceMessage, Message};

/// Bytes of the buffer before the output.
const OUTPUT_BUFFER: usize = 64 << 10;
/// What a line of a list begins with.
const LIST_ITEM_PREFIX: &str = "ITEM\t";

/// Reads batches and writes replies until the input ends.
///
/// # Errors
/// If a line can't be read or understood, if replies can't be written, or if the input ends inside a batch.
pub fn run(input: impl BufRead, output: impl Write) -> Result<(), Error> {
    let mut adapter = Adapter {
        lines: NumberedLines::new(input),
        output: BufWriter::with_capacity(OUTPUT_BUFFER, output),
        instances: BTreeMap::new(),
        now: None,
        reply: String::new(),
    };
    while let Some(line) = adapter.lines.next()? {
        adapter.handle_line(&line)?;
    }
    match adapter.now {
        Some(_) => Err(Error::UnfinishedBatch),
        None => Ok(()),
    }
}

struct Adapter<R, W: Write> {
    lines: NumberedLines<R>,
    output: BufWriter<W>,
    /// Running proxies, by their numbers.
    instances: BTreeMap<u64, Instance>,
    /// The time of the batch that is open.
    now: Option<f64>,
    /// Replies to the batch that is open.
    reply: String,
}

impl<R: BufRead, W: Write> Adapter<R, W> {
    fn handle_line(&mut self, line: &NumberedLine) -> Result<(), Error> {
        let (name, rest) = line.text.split_once('\t').unwrap_or((line.text.trim_end(), ""));
        let at_line = |error: LineError| error.at_line(line.number);
        let fields = Fields::parse(rest).map_err(at_line)?;
        match Message::from_wire(name) {
            Some(Message::BatchStart) => {
                self.now = Some(fields.number("ts").map_err(at_line)?);
                Ok(())
            }
            Some(Message::BatchEnd) => self.end_batch().map_err(at_line),
            Some(Message::Instance(message)) => self.handle_message(message, &fields, line.number),
            None => Ok(()),
        }
    }

    /// Writes the replies to a batch.
    fn end_batch(&mut self) -> Result<(), LineError> {
        self.now.take().ok_or(LineError::GoWithoutFrame)?;
        self.reply.push_str("EOR\n");
        self.output.write_all(self.reply.as_bytes())?;
        self.output.flush()?;
        self.reply.clear();
        Ok(())
    }

    fn handle_message(
        &mut self, message: InstanceMessage, fields: &Fields, line_number: usize,
    ) -> Result<(), Error> {
        let at_line = |error: LineError| error.at_line(line_number);
        let now = self.now.ok_or_else(|| at_line(LineError::OutsideBatch(message.wire_name())))?;
        let number = fields.integer("i").map_err(at_line)?;
        match message {
            InstanceMessage::Start => {
                let instance = Instance::start(fields).map_err(at_line)?;
                self.instances.insert(number, instance);
                Ok(())
            }
            InstanceMessage::Crash => {
                self.instances.remove(&number);
                Ok(())
            }
            InstanceMessage::Input(input) => {
                let items = self.read_list_items(input, fields, line_number)?;
                let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
                let event = instance.decode(input, fields, &items, line_number)?;
                if let Some(event) = event {
                    handle_event(instance, now, event, number, &mut self.reply);
                }
                Ok(())
            }
        }
    }

    /// Reads the lines of a list, without their prefix. Other messages have none.
    fn read_list_items(
        &mut self, message: InputMessage, fields: &Fields, line_number: usize,
    ) -> Result<Vec<NumberedLine>, Error> {
        if message != InputMessage::EndpointList {
            return Ok(Vec::new());
        }
        let at_line = |error: LineError| error.at_line(line_number);
        let count = fields.optional_integer("nodesList").map_err(at_line)?.unwrap_or(0);
        let mut items = Vec::new();
        for _ in 0..count {
            let item = self.lines.next()?.ok_or_else(|| at_line(LineError::TruncatedList))?;
            let text = item
                .text
                .strip_prefix(LIST_ITEM_PREFIX)
                .ok_or_else(|| LineError::ExpectedListItem.at_line(item.number))?;
            items.push(NumberedLine { number: item.number, text: text.to_owned() });
        }
        Ok(items)
    }
}

/// Lets an instance handle an event. A panic is reported in place of its replies.
fn handle_event(instance: &mut Instance, now: f64, event: Event, number: u64, reply: &mut String) {
    let length_before = reply.len();
    let result = catch_unwind(AssertUnwindSafe(|| instance.handle(now, event, number, reply)));
    if let Err(payload) = result {
        reply.truncate(length_before);
        let message = panic_message(payload.as_ref()).replace(['\n', '\t', '\r'], " ");
        reply.push_str(&format!("EXCEPTION\ti={number}\tmessage={message}\n"));
    }
}

fn panic_message(payload: &(dyn Any + Send)) -> &str {
    if let Some(text) = payload.downcast_ref::<String>() {
        return text;
    }
    payload.downcast_ref::<&str>().copied().unwrap_or("panic")
}
