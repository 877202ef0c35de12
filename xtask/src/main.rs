//! Command line of the development tasks: `cargo xtask tidy`, `cargo xtask test` and
//! `cargo xtask scores`.

use std::{
    env,
    path::{Path, PathBuf},
    process::ExitCode,
};

use xtask::{
    known_red,
    scores::{self, ScoreRun},
    tidy,
};

/// File with the worth of the days that were played last, below the project root.
const SCORES_FILE: &str = "docs/dev/scores.txt";

fn main() -> ExitCode {
    let root = project_root();
    match env::args().nth(1).as_deref() {
        Some("tidy") => run_tidy(&root),
        Some("test") => known_red::run_tests(&root),
        Some("scores") => run_scores(&root, env::args().skip(2).collect()),
        _ => usage(),
    }
}

fn usage() -> ExitCode {
    eprintln!("usage: cargo xtask tidy | test | scores [--save] BENCH SITE...");
    ExitCode::from(2)
}

fn run_scores(root: &Path, mut arguments: Vec<String>) -> ExitCode {
    let saves = arguments.first().is_some_and(|first| first == "--save");
    if saves {
        arguments.remove(0);
    }
    let mut paths = arguments.into_iter().map(PathBuf::from);
    let Some(bench) = paths.next() else {
        return usage();
    };
    let options = ScoreRun {
        bench,
        sites: paths.collect(),
        baseline: root.join(SCORES_FILE),
        saves,
    };
    scores::run(root, &options)
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
