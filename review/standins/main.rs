//! Stand-ins for the review: the platform's store, targets and clients, and the cases that use them.
//! Only the standard library is used, so that `rustc` alone builds it (`review/build.sh`).
//!
//! Usage: review-standins CASE MESH_PROGRAM TEMPLATE WORK_DIR RECORD TROUBLE
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod cases;
mod client;
mod http;
mod json;
mod mesh;
mod record;
mod store;
mod target;

use std::{env, process::ExitCode};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, program, template, dir, record, trouble] = &args[..] else {
        eprintln!("usage: review-standins CASE MESH_PROGRAM TEMPLATE WORK_DIR RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let setup = mesh::Setup {
        program: program.clone(),
        template: template.clone(),
        dir: dir.clone(),
        record: record::Record::create(record),
    };
    let trouble = trouble != "0";
    setup.record.line(&format!("case {case}, trouble {}", u8::from(trouble)));
    let verdict = cases::run(case, &setup, trouble);
    setup.record.line(&match verdict {
        0 => "verdict: the rule held".to_owned(),
        1 => "verdict: the rule was broken".to_owned(),
        _ => "verdict: the case could not run".to_owned(),
    });
    ExitCode::from(verdict)
}
