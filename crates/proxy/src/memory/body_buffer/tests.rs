use super::super::MemoryPlan;
use super::*;

const LIMITS: BodyBufferLimits = BodyBufferLimits { unreserved: 16 << 10, max: 128 << 10 };
const CHUNK: [u8; 8 << 10] = [0; 8 << 10];

/// The memory of a process with 1,024 descriptors.
fn memory(megabytes: usize) -> ProcessMemory {
    ProcessMemory::new(MemoryPlan::new(megabytes * 1_000_000, 1024, false))
}

/// Appends chunks until the buffer is full or has `length` bytes, and asserts that its capacity is within `allowed`.
fn fill(buffer: &mut BodyBuffer, length: usize, allowed: impl Fn(&BufferedPart) -> usize) {
    while !buffer.is_full() && buffer.part.bytes.len() < length {
        buffer.append(&CHUNK[..CHUNK.len().min(length - buffer.part.bytes.len())]);
        let capacity = buffer.part.bytes.capacity();
        assert!(capacity <= allowed(&buffer.part), "{capacity} for {} bytes", buffer.part.bytes.len());
    }
}

/// Guards against buffers that are larger than what is reserved for them, as a growing buffer doubles.
#[test]
fn capacity_stays_within_the_reservation() {
    let memory = memory(192);
    let longest = LIMITS.max + BufferSizes::WIDE.read_buffer();
    for (known, length, full) in [(Some(60_000), 60_000, false), (None, 60_000, false), (None, 1 << 20, true)]
    {
        let mut buffer = BodyBuffer::new(&memory, LIMITS, known);
        fill(&mut buffer, length, |part| match part.reservation {
            Some(_) => known.map_or(longest, |known| known as usize),
            None => LIMITS.unreserved,
        });
        assert_eq!(buffer.is_full(), full, "{known:?}, {length}");
        assert!(buffer.part.reservation.is_some());
    }
}

/// Guards against a body that is buffered without memory for it.
#[test]
fn without_memory_only_a_small_body_is_buffered() {
    let memory = memory(32);
    let _rest: Vec<_> = std::iter::from_fn(|| memory.try_reserve(1 << 10)).collect();
    let mut small = BodyBuffer::new(&memory, LIMITS, None);
    fill(&mut small, LIMITS.unreserved, |_| LIMITS.unreserved);
    assert!(!small.is_full());
    let mut long = BodyBuffer::new(&memory, LIMITS, Some(60_000));
    fill(&mut long, 60_000, |_| LIMITS.unreserved + CHUNK.len());
    assert!(long.is_full() && long.into_part().reservation.is_none());
}
