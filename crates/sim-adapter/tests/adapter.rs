//! Tests of the adapter as a process: batches on standard input, replies on standard output, errors on standard error
//! and the exit status.
use std::io::Write;
use std::process::{Command, Stdio};

/// Runs the adapter on `input`. Returns whether it exited successfully, its standard output and its standard error.
fn run_adapter(input: &str) -> (bool, String, String) {
    let mut child = Command::new(env!("CARGO_BIN_EXE_leadrelay-sim-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("failed to start the adapter");
    let mut stdin = child.stdin.take().unwrap();
    stdin.write_all(input.as_bytes()).unwrap();
    drop(stdin);
    let output = child.wait_with_output().unwrap();
    let to_text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (output.status.success(), to_text(output.stdout), to_text(output.stderr))
}

const PARAMS: &str = r#"{"classes":[{"name":"page","effect":"idempotent","promise":300,"deadline":900},{"name":"odd","effect":"newfangled","promise":300,"deadline":900}],"nInstances":1,"myNumber":0,"unheard":{"of":[1]},"zone":"a","zones":["a"],"flavors":["k"],"rules":{"drainGrace":100,"cold":1000,"fall":500,"fallMultiple":3,"startCapacity":0.5},"ceilings":{"maxAttempts":3,"secondCopies":true}}"#;

/// Returns the lines that start an instance and give it two endpoints. After one `FRAME` line, they are lines 2 to 5.
fn start(instance: u32) -> String {
    format!(
        "UP\ti={instance}\trandomSeed=5\tparams={PARAMS}\nTOPOLOGY\ti={instance}\tscope=cached\tstamp=1\tnodesList=2\n\
         ITEM\tbackend=b.one\tfailureDomain=a\tshape=k\tcell=0\tstate=up\trating=1\n\
         ITEM\tbackend=b.two\tfailureDomain=a\tshape=k\tcell=0\tstate=up\trating=1\n"
    )
}

/// Guards against extra output for a batch without messages and for an input without batches.
#[test]
fn empty_batch_and_empty_input() {
    assert_eq!(run_adapter("FRAME\tts=1.5\nGO\n"), (true, "EOR\n".into(), String::new()));
    assert_eq!(run_adapter(""), (true, String::new(), String::new()));
}

/// Guards against executing a request twice: the settings and the outcome contain values that this version does not
/// know, and neither may count as safe to retry.
#[test]
fn failed_non_idempotent_request_is_not_retried() {
    let input = format!(
        "FRAME\tts=10\n{}ARRIVAL\ti=0\trid=r-x\ttierClass=odd\ttimeBudget=900\nGO\n\
         FRAME\tts=40\nOUTCOME\ti=0\trid=r-x\tbackend=b.one\tlatency=30\tsendNo=0\treason=never-heard-of\nGO\n",
        start(0)
    );
    let (success, stdout, stderr) = run_adapter(&input);
    assert!(success, "{stderr}");
    let replies: Vec<&str> = stdout.split("EOR\n").collect();
    assert!(replies[0].contains("SUBMIT_TO\ti=0\trid=r-x\tbackend=b."), "{stdout}");
    // An unknown `effect` counts as non-idempotent, and after an unknown `reason` the request may have been executed.
    assert!(replies[1].contains("REPORT_FAILURE\ti=0\trid=r-x"), "{stdout}");
    assert!(!replies[1].contains("SUBMIT_TO") && !replies[1].contains("TURN_AWAY"), "{stdout}");
}

/// Guards against exiting with an error on messages and fields that this version does not know, and on messages for an
/// instance that is not running.
#[test]
fn unknown_messages_fields_and_instances_are_skipped() {
    let input = format!(
        "FRAME\tts=10\tmore=1\n{}NOVELTY\ti=0\tx=1\nITEM\tq=1\nDEADLINE_HIT\ti=9\tkeyBack=0\n\
         ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\tcolour=red\nGO\n",
        start(0)
    );
    let (success, stdout, stderr) = run_adapter(&input);
    assert!(success, "{stderr}");
    assert!(stdout.contains("rid=r-1"), "{stdout}");
}

/// Guards against accepting a malformed line and against reporting it with a wrong line number. The malformed line is
/// line 6; the list in it lacks its item at line 7.
#[test]
fn malformed_line_is_reported_with_its_number() {
    for (line, expected_line) in [
        ("ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=soon\n", "line 6"),
        ("ARRIVAL\ti=0\trid=r-1\ttierClass=page\n", "line 6"),
        ("ARRIVAL\ti=0\trid=r-1\ttierClass=none\ttimeBudget=5\n", "line 6"),
        ("ARRIVAL\ti=zero\trid=r-1\n", "line 6"),
        ("ARRIVAL\tnonsense\n", "line 6"),
        ("TOPOLOGY\ti=0\tscope=delta\tnodesList=1\nGO\n", "line 7"),
        ("NOTE_FROM\ti=0\twho=1\tmsg=***\n", "line 6"),
    ] {
        let (success, _, stderr) = run_adapter(&format!("FRAME\tts=10\n{}{line}GO\n", start(0)));
        assert!(!success, "accepted {line}");
        assert!(stderr.contains(expected_line), "{line}: {stderr}");
    }
}

/// Guards against state shared between instances, and against state that outlives a crash: an instance must reply as if
/// it were alone, and must not reply to the outcome of a request from before its restart.
#[test]
fn restarted_instance_is_empty_and_others_are_unaffected() {
    let arrival = |instance: u32, request: &str| {
        format!("ARRIVAL\ti={instance}\trid={request}\ttierClass=page\ttimeBudget=900\n")
    };
    let alone = format!("FRAME\tts=10\n{}{}GO\n", start(1), arrival(1, "r-1"));
    let both =
        format!("FRAME\tts=10\n{}{}{}{}GO\n", start(0), start(1), arrival(0, "r-0"), arrival(1, "r-1"));
    let replies_of_instance_1 = |stdout: &str| {
        stdout.lines().filter(|line| line.contains("\ti=1\t")).map(str::to_owned).collect::<Vec<_>>()
    };
    assert_eq!(replies_of_instance_1(&run_adapter(&alone).1), replies_of_instance_1(&run_adapter(&both).1));
    let with_restart = format!(
        "{alone}FRAME\tts=20\nCRASH_NOW\ti=1\n{}OUTCOME\ti=1\trid=r-1\tbackend=b.one\tsendNo=0\treason=completed\nGO\n",
        start(1)
    );
    let (success, stdout, stderr) = run_adapter(&with_restart);
    assert!(success, "{stderr}");
    assert!(!stdout.split("EOR\n").nth(1).unwrap().contains("r-1"), "{stdout}");
}

/// Guards against panics in the balancer, which the adapter reports as `EXCEPTION`, on settings and endpoint weights
/// out of range. A timer token that is not a number must make the adapter exit with an error.
#[test]
fn out_of_range_numbers_cause_no_exception() {
    for (original, replacement) in [
        ("\"nInstances\":1", "\"nInstances\":1e18"),
        ("\"myNumber\":0", "\"myNumber\":-4"),
        ("\"promise\":300", "\"promise\":-1"),
        ("\"cold\":1000", "\"cold\":0"),
        ("\"fallMultiple\":3", "\"fallMultiple\":1e300"),
        ("rating=1", "rating=1e300"),
        ("rating=1", "rating=-3"),
    ] {
        let input = format!(
            "FRAME\tts=10\n{}ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\nGO\n\
             FRAME\tts=2000\nDEADLINE_HIT\ti=0\tkeyBack=0\nGO\n",
            start(0).replace(original, replacement)
        );
        let (success, stdout, stderr) = run_adapter(&input);
        assert!(success, "{replacement}: {stderr}");
        assert!(!stdout.contains("EXCEPTION"), "{replacement}: {stdout}");
    }
    let input = format!("FRAME\tts=10\n{}DEADLINE_HIT\ti=0\tkeyBack=NaN\nGO\n", start(0));
    assert!(!run_adapter(&input).0, "accepted a timer token that is not a number");
}

/// Guards against an instance that no longer serves after a crash and a start in the same batch, and against replies
/// about ended requests: an outcome from before the restart and a repeated `HANGUP` must be ignored.
#[test]
fn instance_restarted_within_a_batch_serves_requests() {
    let arrival = "ARRIVAL\ti=0\trid=r-1\ttierClass=page\ttimeBudget=900\n";
    let outcome = "OUTCOME\ti=0\trid=r-1\tbackend=b.one\tlatency=9\tsendNo=0\tclosed=1\treason=completed\n";
    let input = format!(
        "FRAME\tts=10\n{}{arrival}GO\nFRAME\tts=20\nCRASH_NOW\ti=0\n{}GO\n\
         FRAME\tts=30\n{}GO\nFRAME\tts=40\n{outcome}HANGUP\ti=0\trid=r-2\nHANGUP\ti=0\trid=r-2\nGO\n",
        start(0),
        start(0),
        arrival.replace("r-1", "r-2")
    );
    let (success, stdout, stderr) = run_adapter(&input);
    assert!(success, "{stderr}");
    let replies: Vec<&str> = stdout.split("EOR\n").collect();
    assert!(
        replies[2].contains("SUBMIT_TO\ti=0\trid=r-2"),
        "the restarted instance does not serve r-2: {stdout}"
    );
    assert!(
        !replies[3].contains("r-1") && !replies[3].contains("r-2"),
        "a reply for an ended request: {stdout}"
    );
}
