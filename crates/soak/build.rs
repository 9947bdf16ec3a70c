//! Builds the library that is loaded into proxies under test. It is no part of the workspace's own code: cargo can't hand
//! the file of a `cdylib` to another package, so the compiler is called here.

use std::path::Path;
use std::process::Command;

fn main() {
    let source = "shim/faults.rs";
    println!("cargo:rerun-if-changed={source}");
    let folder = std::env::var("OUT_DIR").expect("cargo sets it");
    let library = Path::new(&folder).join("libleadrelay_faults.so");
    let compiler = std::env::var("RUSTC").expect("cargo sets it");
    let status = Command::new(compiler)
        .args(["--edition=2024", "--crate-type=cdylib", "-Copt-level=2", "-Cpanic=abort", "-o"])
        .arg(&library)
        .arg(source)
        .status()
        .expect("the compiler runs");
    assert!(status.success(), "the shim compiles");
    println!("cargo:rustc-env=FAULTS_LIBRARY={}", library.display());
}
