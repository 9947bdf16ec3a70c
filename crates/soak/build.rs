//! Builds the shared library that is preloaded into proxies under test. Cargo can't pass the path of a `cdylib`
//! artifact to another package, so this script calls the compiler itself.

use std::path::Path;
use std::process::Command;

fn main() {
    let source = "shim/faults.rs";
    println!("cargo:rerun-if-changed={source}");
    let folder = std::env::var("OUT_DIR").expect("Cargo sets OUT_DIR");
    let library = Path::new(&folder).join("libleadrelay_faults.so");
    let rustc = std::env::var("RUSTC").expect("Cargo sets RUSTC");
    let status = Command::new(rustc)
        .args(["--edition=2024", "--crate-type=cdylib", "-Copt-level=2", "-Cpanic=abort", "-o"])
        .arg(&library)
        .arg(source)
        .status()
        .expect("rustc starts");
    assert!(status.success(), "the fault injection library does not compile");
    println!("cargo:rustc-env=FAULTS_LIBRARY={}", library.display());
}
