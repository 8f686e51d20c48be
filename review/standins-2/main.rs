//! The stand-ins of the second review, and the cases that use them.

mod case_memory;
mod case_owner;
mod case_quarantine;
mod client;
mod http;
mod json;
mod record;
mod store;
mod target;
mod world;

use std::{net::TcpListener, path::Path, process::ExitCode, time::Duration};

use crate::{
    record::Record,
    target::{TargetSettings, options},
};

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let Some((role, rest)) = words.split_first() else {
        eprintln!("usage: standin-2 store|target|owner|quarantine|memory ...");
        return ExitCode::from(2);
    };
    let options = options(rest);
    let option = |name: &str| options.get(name).map(String::as_str).unwrap_or_default();
    let address = |name: &str| option(name).parse().expect("an address");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let case = match role.as_str() {
        "store" => store::run(TcpListener::bind(option("listen")).expect("the address is free")),
        "target" => target::run(
            TargetSettings {
                id: option("id").to_owned(),
                service: option("service").to_owned(),
                zone: option("zone").to_owned(),
                address: address("address"),
                admin: address("admin"),
                capacity: option("capacity").parse().expect("a number"),
                sharded: option("sharded") == "true",
                work: Duration::from_millis(option("work-ms").parse().expect("a number")),
                heartbeat: Duration::from_millis(870),
            },
            Record::open(Path::new(option("record"))),
        ),
        "owner" => case_owner::run,
        "quarantine" => case_quarantine::run,
        "memory" => case_memory::run,
        _ => return ExitCode::from(2),
    };
    match case(Path::new(option("record")), has_trouble) {
        Ok(true) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
