//! Builds the library that is loaded into proxies under test. Cargo can't hand the file of a `cdylib` to another package,
//! so the compiler is called here.

use std::path::Path;
use std::process::Command;

fn main() {
    let source = "shim/faults.rs";
    println!("cargo:rerun-if-changed={source}");
    let folder = std::env::var("OUT_DIR").expect("set by cargo");
    let library = Path::new(&folder).join("libleadrelay_faults.so");
    let rustc = std::env::var("RUSTC").expect("set by cargo");
    let status = Command::new(rustc)
        .args(["--edition=2024", "--crate-type=cdylib", "-Copt-level=2", "-Cpanic=abort", "-o"])
        .arg(&library)
        .arg(source)
        .status()
        .expect("rustc starts");
    assert!(status.success(), "the library does not compile");
    println!("cargo:rustc-env=FAULTS_LIBRARY={}", library.display());
}
