//! Random runs of editors, coordinators and agents over one store: versions never go back and all
//! agents end at the last sound document.

use std::collections::BTreeMap;

use model::{ObjectVersion, ServiceName};
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use super::document::MINIMAL;
use crate::{AcceptedDocument, DocumentDecision, DocumentTable, ServiceDocument, decide_document};

const RUNS: u64 = 300;
const STEPS: usize = 400;
const EDITORS: usize = 2;
const COORDINATORS: usize = 3;
const AGENTS: usize = 5;

/// The platform: every object has a version from one counter.
#[derive(Default)]
struct Store {
    revision: u64,
    document: (ObjectVersion, String),
    accepted: (ObjectVersion, Option<AcceptedDocument>),
    /// Every text that was ever written, by its version.
    written: BTreeMap<u64, String>,
}

/// What a coordinator knew when it last read; it may be long out of date.
#[derive(Clone, Default)]
struct Read {
    document: (ObjectVersion, String),
    accepted: (ObjectVersion, Option<AcceptedDocument>),
}

struct World {
    rng: Pcg64Mcg,
    service: ServiceName,
    store: Store,
    platform_is_up: bool,
    /// The version that each editor began from.
    bases: [ObjectVersion; EDITORS],
    reads: [Read; COORDINATORS],
    agents: [DocumentTable; AGENTS],
}

impl World {
    fn new(seed: u64) -> World {
        World {
            rng: Pcg64Mcg::seed_from_u64(seed),
            service: ServiceName::new("standings").unwrap(),
            store: Store::default(),
            platform_is_up: true,
            bases: Default::default(),
            reads: Default::default(),
            agents: Default::default(),
        }
    }

    fn next(&mut self) -> ObjectVersion {
        self.store.revision += 1;
        ObjectVersion(self.store.revision)
    }

    /// An editor writes on condition of its base, or reads a new base.
    fn edit(&mut self) {
        let editor = self.rng.random_range(0..EDITORS);
        let current = self.store.document.0;
        if self.bases[editor] != current {
            self.bases[editor] = current;
            return;
        }
        let version = self.next();
        let text = match self.rng.random_bool(0.3) {
            true => MINIMAL.replace("true", "1"),
            false => MINIMAL.replace("karerang", &format!("team-{version}")),
        };
        self.store.written.insert(version.0, text.clone());
        self.store.document = (version, text);
    }

    fn read(&mut self) {
        let coordinator = self.rng.random_range(0..COORDINATORS);
        self.reads[coordinator] =
            Read { document: self.store.document.clone(), accepted: self.store.accepted.clone() };
    }

    /// A coordinator judges what it has read, fresh or stale, and updates on condition of it. It
    /// never learns whether the update took effect, as if each answer were lost.
    fn accept(&mut self) {
        let read = self.reads.choose(&mut self.rng).unwrap().clone();
        let (version, text) = &read.document;
        let verdict =
            decide_document(&self.service, read.accepted.1.as_ref(), *version, text.as_bytes());
        let DocumentDecision::Raise(raised) = verdict else { return };
        if read.accepted.0 != self.store.accepted.0 {
            return;
        }
        let former = self.store.accepted.1.as_ref().map(|it| it.version);
        assert!(former.is_none_or(|it| it < raised.version), "accepted/S went back");
        self.store.accepted = (self.next(), Some(raised));
    }

    /// An agent is handed a document by a coordinator's read, by a peer, or starts anew.
    fn spread(&mut self) {
        let (agent, peer) = (self.rng.random_range(0..AGENTS), self.rng.random_range(0..AGENTS));
        let of_peer = || {
            let it = self.agents[peer].in_force(&self.service)?;
            Some((it.version, it.text.to_string()))
        };
        let offered = match self.rng.random_range(0..10) {
            0 => {
                self.agents[agent] = DocumentTable::default();
                return;
            }
            1..5 => {
                let read = self.reads.choose(&mut self.rng).unwrap();
                read.accepted.1.as_ref().map(|it| (it.version, it.document.clone()))
            }
            _ => of_peer(),
        };
        let Some((version, text)) = offered else { return };
        let before = self.agents[agent].version(&self.service);
        let raised = self.agents[agent].raise(&self.service, version, &text);
        assert_eq!(raised, Ok(version > before), "an accepted document can be read");
        let after = self.agents[agent].in_force(&self.service).expect("a document");
        assert_eq!(after.version, before.max(version), "an agent went back");
        assert_eq!(*self.store.written[&after.version.0], *after.text, "text of another version");
    }

    fn step(&mut self) {
        match self.rng.random_range(0..12) {
            0 => self.platform_is_up = !self.platform_is_up,
            1 if self.platform_is_up => self.edit(),
            2..4 if self.platform_is_up => self.read(),
            4..6 if self.platform_is_up => self.accept(),
            _ => self.spread(),
        }
    }

    /// Faults end: a coordinator reads, accepts, and its document reaches everyone.
    fn settle(&mut self) {
        for _ in 0..2 {
            let fresh = Read {
                document: self.store.document.clone(),
                accepted: self.store.accepted.clone(),
            };
            self.reads.fill(fresh);
            self.accept();
        }
        let Some(accepted) = self.store.accepted.1.clone() else { return };
        let AcceptedDocument { service, version, document } = accepted;
        self.agents.iter_mut().for_each(|it| _ = it.raise(&service, version, &document));
    }

    /// The highest version that is sound.
    fn last_sound(&self) -> Option<u64> {
        let sound = |it: &(&u64, &String)| ServiceDocument::parse(it.1).is_ok();
        self.store.written.iter().rev().find(sound).map(|it| *it.0)
    }
}

/// Runs one seed; tells whether the newest text was one that is refused.
fn check(seed: u64) -> bool {
    let mut world = World::new(seed);
    (0..STEPS).for_each(|_| world.step());
    world.settle();
    let newest = world.store.written.keys().next_back().copied();
    let refused = newest != world.last_sound();
    for agent in &world.agents {
        let version = agent.in_force(&world.service).map(|it| it.version.0);
        match refused {
            // What was overwritten before a coordinator read it is never accepted.
            true => assert!(version <= world.last_sound(), "seed {seed}"),
            false => assert_eq!(version, newest, "seed {seed}"),
        }
    }
    refused
}

#[test]
fn versions_never_go_back_and_agents_agree_at_the_end() {
    let refused = (0..RUNS).filter(|seed| check(*seed)).count();
    assert!(0 < refused && refused < RUNS as usize, "{refused} of {RUNS} runs end in a refusal");
}
