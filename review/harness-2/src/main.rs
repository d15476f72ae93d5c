//! Runs one case of the second review: `review-cases CASE FOLDER PROGRAM`.
//!
//! FOLDER receives `record.txt`, and PROGRAM is the program of the deploy file. `TROUBLE=0` in the
//! environment leaves the disruption out. Exits with 1 if the rule was broken, 0 if it held, and 2 if
//! the case could not run.

use std::{path::PathBuf, process::ExitCode};

use crate::record::Record;

mod caller;
mod crashed_domain;
mod crowd;
mod gateway;
mod many_fields;
mod record;
mod replaced_machines;

/// Result of a case: whether the rule held, or why the case could not run.
type CaseResult = Result<bool, String>;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, program] = args.as_slice() else {
        eprintln!("usage: review-cases CASE FOLDER PROGRAM");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let program = PathBuf::from(program);
    let mut record = match Record::create(folder) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record cannot be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let result = match case.as_str() {
        "crashed-domain" => crashed_domain::run(&program, has_trouble, &mut record),
        "replaced-machines" => replaced_machines::run(&program, has_trouble, &mut record),
        "crowd" => crowd::run(&program, has_trouble, &mut record),
        "many-fields" => many_fields::run(&program, has_trouble, &mut record),
        _ => Err(format!("there is no case {case}")),
    };
    let (text, code) = match result {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
