//! Fault injection library, loaded into a proxy under test by `LD_PRELOAD`. It makes system calls fail in ways that
//! their manual pages allow, and shifts the wall clock. The control file, named by `LEADRELAY_FAULTS` and mapped into
//! the process, holds the faults that are active; its fields are those of `src/syscall_faults.rs`. The library must not
//! call the functions that it replaces, so it uses the standard library for atomics only.

use std::ffi::{c_char, c_int, c_long, c_void};
use std::sync::atomic::{AtomicPtr, AtomicU64, AtomicUsize, Ordering::Relaxed};

/// Makes `dlsym` search the libraries that are loaded after this one.
const RTLD_NEXT: *mut c_void = -1isize as *mut c_void;
const CLOCK_REALTIME: c_int = 0;
const MSG_PEEK: c_int = 2;
const EINTR: c_int = 4;
const SOL_SOCKET: c_int = 1;
const SO_DOMAIN: c_int = 39;
const AF_INET: c_int = 2;
const ENFILE: c_int = 23;
const O_CREAT: c_int = 0o100;
const O_RDWR: c_int = 2;
const PROT_READ_WRITE: c_int = 3;
const MAP_SHARED: c_int = 1;
const MAP_FAILED: isize = -1;
/// Size of the control file in bytes: one page.
const FILE_SIZE: usize = 4096;
const NANOSECONDS_PER_SECOND: c_long = 1_000_000_000;

// Indices of the fields in the control file, of eight bytes each.
const CLOCK_OFFSET_NS: usize = 0;
const ACCEPT_ERRNO: usize = 1;
const SOCKET_ERRNO: usize = 2;
const CONNECT_ERRNO: usize = 3;
const FAILING_PERCENT: usize = 4;
const INTERRUPTED_PERCENT: usize = 5;
const SHORT_PERCENT: usize = 6;
const FILE_ERRNO: usize = 7;

#[repr(C)]
pub struct Timespec {
    seconds: c_long,
    nanoseconds: c_long,
}

#[repr(C)]
pub struct IoVec {
    base: *mut c_void,
    length: usize,
}

unsafe extern "C" {
    fn dlsym(handle: *mut c_void, name: *const c_char) -> *mut c_void;
    fn getenv(name: *const c_char) -> *const c_char;
    fn mmap(
        address: *mut c_void, size: usize, protection: c_int, flags: c_int, fd: c_int, offset: c_long,
    ) -> *mut c_void;
    fn strstr(text: *const c_char, part: *const c_char) -> *const c_char;
    fn getsockopt(fd: c_int, level: c_int, name: c_int, value: *mut c_int, size: *mut u32) -> c_int;
    fn __errno_location() -> *mut c_int;
}

/// The fields of the mapped control file; null until the file is mapped.
static FIELDS: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// Number of samples drawn, which is the state of the random number generator.
static SAMPLES: AtomicU64 = AtomicU64::new(0);

/// Makes the dynamic linker call [`map_control_file`] when it loads the library.
#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZER: extern "C" fn() = map_control_file;

extern "C" fn map_control_file() {
    type Open = unsafe extern "C" fn(*const c_char, c_int, ...) -> c_int;
    unsafe {
        let path = getenv(c"LEADRELAY_FAULTS".as_ptr());
        let open = dlsym(RTLD_NEXT, c"open64".as_ptr());
        if path.is_null() || open.is_null() {
            return;
        }
        let open: Open = std::mem::transmute(open);
        let fd = open(path, O_RDWR);
        if fd >= 0 {
            let address = mmap(std::ptr::null_mut(), FILE_SIZE, PROT_READ_WRITE, MAP_SHARED, fd, 0);
            if address as isize != MAP_FAILED {
                FIELDS.store(address.cast(), Relaxed);
            }
        }
    }
}

fn read_field(index: usize) -> u64 {
    let fields = FIELDS.load(Relaxed);
    if fields.is_null() {
        return 0;
    }
    unsafe { (*fields.add(index)).load(Relaxed) }
}

/// Whether calls on a socket may be interrupted. This holds for TCP sockets only: the async runtime aborts the process
/// if a read from its internal pair of Unix sockets is interrupted. Such a read never blocks, so the operating system
/// never interrupts it.
fn is_interruptible(fd: c_int) -> bool {
    let mut domain = 0;
    let mut size = size_of::<c_int>() as u32;
    let result = unsafe { getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &raw mut domain, &raw mut size) };
    result == 0 && domain == AF_INET
}

/// Decides at random whether a fault that affects the given percentage of calls affects the current call.
fn is_selected(percent: u64) -> bool {
    if percent == 0 {
        return false;
    }
    // SplitMix64 without its last mixing step.
    let state = SAMPLES.fetch_add(1, Relaxed).wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    (mixed >> 33) % 100 < percent
}

/// Decides whether the current call fails; returns its `errno` if so.
fn injected_errno(errno_field: usize) -> Option<c_int> {
    let errno = read_field(errno_field) as c_int;
    (errno != 0 && is_selected(read_field(FAILING_PERCENT))).then_some(errno)
}

/// Sets `errno` and returns -1, the result of a failed call.
fn fail_with(errno: c_int) -> isize {
    unsafe { *__errno_location() = errno };
    -1
}

/// Looks up the function that the process would call without this library. Has to be used in an unsafe block.
macro_rules! original {
    ($name:literal, $signature:ty) => {{
        static ADDRESS: AtomicUsize = AtomicUsize::new(0);
        let mut address = ADDRESS.load(Relaxed);
        if address == 0 {
            address = dlsym(RTLD_NEXT, $name.as_ptr()) as usize;
            ADDRESS.store(address, Relaxed);
        }
        std::mem::transmute::<usize, $signature>(address)
    }};
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: c_int, time: *mut Timespec) -> c_int {
    type GetTime = unsafe extern "C" fn(c_int, *mut Timespec) -> c_int;
    let result = unsafe { original!(c"clock_gettime", GetTime)(clock, time) };
    if clock == CLOCK_REALTIME && result == 0 {
        unsafe {
            let nanoseconds = (*time).nanoseconds + read_field(CLOCK_OFFSET_NS) as i64;
            (*time).seconds += nanoseconds.div_euclid(NANOSECONDS_PER_SECOND);
            (*time).nanoseconds = nanoseconds.rem_euclid(NANOSECONDS_PER_SECOND);
        }
    }
    result
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn accept4(
    fd: c_int, address: *mut c_void, length: *mut c_void, flags: c_int,
) -> c_int {
    type Accept = unsafe extern "C" fn(c_int, *mut c_void, *mut c_void, c_int) -> c_int;
    match injected_errno(ACCEPT_ERRNO) {
        Some(errno) => fail_with(errno) as c_int,
        None => unsafe { original!(c"accept4", Accept)(fd, address, length, flags) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn socket(domain: c_int, socket_type: c_int, protocol: c_int) -> c_int {
    type Socket = unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    match injected_errno(SOCKET_ERRNO) {
        Some(errno) => fail_with(errno) as c_int,
        None => unsafe { original!(c"socket", Socket)(domain, socket_type, protocol) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn connect(fd: c_int, address: *const c_void, length: u32) -> c_int {
    type Connect = unsafe extern "C" fn(c_int, *const c_void, u32) -> c_int;
    match injected_errno(CONNECT_ERRNO) {
        Some(errno) => fail_with(errno) as c_int,
        None => unsafe { original!(c"connect", Connect)(fd, address, length) },
    }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn recv(fd: c_int, buffer: *mut c_void, size: usize, flags: c_int) -> isize {
    type Receive = unsafe extern "C" fn(c_int, *mut c_void, usize, c_int) -> isize;
    if is_selected(read_field(INTERRUPTED_PERCENT)) && is_interruptible(fd) {
        return fail_with(EINTR);
    }
    let is_short = flags & MSG_PEEK == 0 && size > 1 && is_selected(read_field(SHORT_PERCENT));
    unsafe { original!(c"recv", Receive)(fd, buffer, if is_short { 1 } else { size }, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn send(fd: c_int, buffer: *const c_void, size: usize, flags: c_int) -> isize {
    type Send = unsafe extern "C" fn(c_int, *const c_void, usize, c_int) -> isize;
    if is_selected(read_field(INTERRUPTED_PERCENT)) {
        return fail_with(EINTR);
    }
    let is_short = size > 1 && is_selected(read_field(SHORT_PERCENT));
    unsafe { original!(c"send", Send)(fd, buffer, if is_short { 1 } else { size }, flags) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(fd: c_int, vectors: *const IoVec, count: c_int) -> isize {
    type WriteVectors = unsafe extern "C" fn(c_int, *const IoVec, c_int) -> isize;
    if is_selected(read_field(INTERRUPTED_PERCENT)) {
        return fail_with(EINTR);
    }
    let count = if count > 1 && is_selected(read_field(SHORT_PERCENT)) { 1 } else { count };
    unsafe { original!(c"writev", WriteVectors)(fd, vectors, count) }
}

#[unsafe(no_mangle)]
pub unsafe extern "C" fn epoll_wait(fd: c_int, events: *mut c_void, max_events: c_int, timeout: c_int) -> c_int {
    type Wait = unsafe extern "C" fn(c_int, *mut c_void, c_int, c_int) -> c_int;
    if is_selected(read_field(INTERRUPTED_PERCENT)) {
        return fail_with(EINTR) as c_int;
    }
    unsafe { original!(c"epoll_wait", Wait)(fd, events, max_events, timeout) }
}

/// Makes opening handover files fail. `ENFILE` (no descriptor left in the operating system) affects every open; other
/// errors affect only opens that create a file.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn open64(path: *const c_char, flags: c_int, mode: c_int) -> c_int {
    type Open = unsafe extern "C" fn(*const c_char, c_int, c_int) -> c_int;
    let errno = read_field(FILE_ERRNO) as c_int;
    let is_handover = errno != 0 && unsafe { !strstr(path, c"leadrelay-".as_ptr()).is_null() };
    let may_fail = is_handover && (errno == ENFILE || flags & O_CREAT != 0);
    if may_fail && is_selected(read_field(FAILING_PERCENT)) {
        return fail_with(errno) as c_int;
    }
    unsafe { original!(c"open64", Open)(path, flags, mode) }
}
