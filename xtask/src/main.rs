//! Command line of the development tasks: `cargo xtask tidy` and
//! `cargo xtask test`.

use std::{
    env,
    path::{Path, PathBuf},
    process::ExitCode,
};

use xtask::{known_red, tidy};

fn main() -> ExitCode {
    let root = project_root();
    match env::args().nth(1).as_deref() {
        Some("tidy") => run_tidy(&root),
        Some("test") => known_red::run_tests(&root),
        _ => {
            eprintln!("usage: cargo xtask tidy | test");
            ExitCode::from(2)
        }
    }
}

fn run_tidy(root: &Path) -> ExitCode {
    let findings = tidy::check_tree(root);
    for finding in &findings {
        eprintln!("{finding}");
    }
    if findings.is_empty() {
        println!("tidy: no findings");
        return ExitCode::SUCCESS;
    }
    eprintln!("tidy: {} findings", findings.len());
    ExitCode::FAILURE
}

fn project_root() -> PathBuf {
    // This crate's folder is a direct child of the project root.
    let manifest = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    manifest
        .parent()
        .map_or_else(|| manifest.clone(), PathBuf::from)
}
