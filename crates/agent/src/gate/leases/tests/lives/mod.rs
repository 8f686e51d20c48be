//! Calls about keys around the end of one life of an upstream and the start of the next one at its address, in each
//! order of events.
//!
//! Each cell is one order. The rules are: no life takes a key under a fence that is not above those of other lives;
//! nothing that is reported as closed or cleared is held by a running life; no slot is usable towards a known life that
//! does not hold it; and a life is given all keys soon after its first accepted announcement.

mod address;
mod agent;
mod cell;
mod client;
mod play;
mod process;

use self::{
    address::Delivery,
    cell::{
        AgentCourse, CallKind, Cell, End, FirstAnnouncement, Identity, NextLife, Progress, Return,
    },
    play::play,
};

/// The process that grants reach.
const DELIVERY: Delivery = Delivery::Process;

/// Plays all cells of a kind of call and a course of the agent, and prints those that break a rule.
fn check(call: CallKind, agent: AgentCourse) {
    let cells = Cell::all(call, agent);
    let broken: Vec<String> = cells
        .iter()
        .filter_map(|cell| {
            let faults = play(*cell, DELIVERY);
            (!faults.is_empty()).then(|| format!("{cell}: {}", faults.join("; ")))
        })
        .collect();
    assert!(
        broken.is_empty(),
        "{} of {} cells break a rule:\n{}",
        broken.len(),
        cells.len(),
        broken.join("\n")
    );
}

macro_rules! cells {
    ($($name:ident: $call:ident, $agent:ident;)*) => {
        $(
            #[test]
            fn $name() {
                check(CallKind::$call, AgentCourse::$agent);
            }
        )*
    };
}

cells! {
    grant_while_the_agent_lives_on: Grant, LivesOn;
    grant_after_the_agent_was_restarted: Grant, RestartedEarlier;
    grant_when_the_agent_is_restarted: Grant, RestartedAtEnd;
    grant_while_the_agent_is_frozen_briefly: Grant, FrozenBriefly;
    grant_while_the_agent_is_frozen_past_its_lease: Grant, FrozenPastLease;
    renewal_while_the_agent_lives_on: Renewal, LivesOn;
    renewal_after_the_agent_was_restarted: Renewal, RestartedEarlier;
    renewal_when_the_agent_is_restarted: Renewal, RestartedAtEnd;
    renewal_while_the_agent_is_frozen_briefly: Renewal, FrozenBriefly;
    renewal_while_the_agent_is_frozen_past_its_lease: Renewal, FrozenPastLease;
    release_while_the_agent_lives_on: Release, LivesOn;
    release_after_the_agent_was_restarted: Release, RestartedEarlier;
    release_when_the_agent_is_restarted: Release, RestartedAtEnd;
    release_while_the_agent_is_frozen_briefly: Release, FrozenBriefly;
    release_while_the_agent_is_frozen_past_its_lease: Release, FrozenPastLease;
    clear_while_the_agent_lives_on: Clear, LivesOn;
    clear_after_the_agent_was_restarted: Clear, RestartedEarlier;
    clear_when_the_agent_is_restarted: Clear, RestartedAtEnd;
    clear_while_the_agent_is_frozen_briefly: Clear, FrozenBriefly;
    clear_while_the_agent_is_frozen_past_its_lease: Clear, FrozenPastLease;
}

/// Guards against cells that cannot fail: with calls to the address, a renewal reaches the next life.
#[test]
fn a_renewal_that_is_a_call_to_the_address_breaks_a_rule() {
    let cell = Cell {
        call: CallKind::Renewal,
        progress: Progress::Answered,
        end: End::After,
        agent: AgentCourse::LivesOn,
        next: Some(NextLife {
            starts: Return::AtOnce,
            announcement: FirstAnnouncement::Lost,
            identity: Identity::NewId,
        }),
    };
    let faults = play(cell, Delivery::Address);
    assert!(faults.iter().any(|it| it.starts_with("rule 1")), "{faults:?}");
}
