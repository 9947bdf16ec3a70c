use super::super::live_count::LiveCount;
use super::*;

/// A send buffer in bytes that is larger than the default limit.
const SEND_BUFFER: u64 = 6 << 20;
/// The time that a client at the minimum rate takes for the default limit.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(128);

/// Runs a test whose clock advances only while it waits.
fn run_paused(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    runtime.expect("a runtime").block_on(test);
}

/// Guards against a watchdog that is never armed, because the wait for it begins before the response does.
#[test]
fn client_that_takes_nothing_expires_also_if_the_wait_began_before_the_response() {
    run_paused(async {
        let watchdog = WriteWatchdog::new(Instant::now());
        let responses = LiveCount::default();
        let start_response = async {
            tokio::time::sleep(Duration::from_secs(1)).await;
            watchdog.start(responses.start());
            Instant::now()
        };
        let expired = async {
            watchdog.expired(|| 0).await;
            Instant::now()
        };
        let (started_at, expired_at) = tokio::join!(start_response, expired);
        assert_eq!((expired_at - started_at).as_secs(), DEFAULT_TIMEOUT.as_secs());
    });
}

/// Guards against the disconnection of a client that takes its response slowly.
#[test]
fn write_restarts_the_timeout_and_larger_send_buffer_extends_it() {
    run_paused(async {
        let watchdog = WriteWatchdog::new(Instant::now());
        let responses = LiveCount::default();
        watchdog.start(responses.start());
        let started_at = Instant::now();
        let write = async {
            tokio::time::sleep(DEFAULT_TIMEOUT).await;
            watchdog.record_write();
        };
        tokio::join!(write, watchdog.expired(|| SEND_BUFFER));
        let expected = DEFAULT_TIMEOUT + DEFAULT_TIMEOUT * 3 / 2;
        assert_eq!(started_at.elapsed().as_secs(), expected.as_secs());
    });
}

/// Guards against the disconnection of a client between two responses.
#[test]
fn nothing_expires_without_a_streamed_response() {
    run_paused(async {
        let watchdog = WriteWatchdog::new(Instant::now());
        let responses = LiveCount::default();
        watchdog.start(responses.start());
        watchdog.stop();
        let expired = tokio::time::timeout(10 * DEFAULT_TIMEOUT, watchdog.expired(|| 0)).await;
        assert!(expired.is_err());
    });
}
