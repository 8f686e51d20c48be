//! Writes down the store of a deployment in which the coordinator has changed many times: one agent is started and
//! killed again and again. Takes about two minutes; case `fence` uses what it writes.

use std::{
    thread,
    time::{Duration, Instant},
};

use super::{SERVICE, config};
use crate::{
    json::Json,
    mesh::{Agent, Machine, Setup, free_port},
    store::Store,
};

/// The number of changes of the coordinator.
pub const CHANGES: u64 = 253;

/// The term in the coordinator object of the store.
pub fn term(store: &Store) -> Option<u64> {
    Json::parse(store.object("coordinators")?.as_bytes())?.get("term")?.whole()
}

pub fn run(setup: &Setup) -> Result<u8, String> {
    let error = |it: std::io::Error| it.to_string();
    let machine = Machine::new(setup, 0, "thika-rd", SERVICE);
    let address = free_port(machine.ip);
    let store = Store::start(address).map_err(error)?;
    store.put_config(&config(SERVICE, true));
    let mut agent = Agent::start(setup, &machine, address).map_err(error)?;
    let (mut last, mut changes) = (0, 0);
    let until = Instant::now() + Duration::from_secs(600);
    while changes < CHANGES && Instant::now() < until {
        let term = term(&store).unwrap_or(0);
        if term == last {
            thread::sleep(Duration::from_millis(1));
            continue;
        }
        changes += 1;
        last = term;
        setup.record.line(&format!("change {changes}: the term is {term}"));
        agent.kill();
        agent.spawn().map_err(error)?;
    }
    agent.kill();
    std::fs::write(format!("{}/store.json", setup.dir), store.dump()).map_err(error)?;
    Ok(u8::from(changes < CHANGES))
}
