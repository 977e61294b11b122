//! `bronzeport`: the operators' command-line tool.

use std::process::ExitCode;

use cli::{args, commands};

/// Exit code if the command line is invalid.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    match args::parse(std::env::args_os().skip(1)) {
        Ok(args) => ExitCode::from(commands::run(&args) as u8),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(USAGE_ERROR)
        }
    }
}
