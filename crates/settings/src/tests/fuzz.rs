//! Parsing of mutated examples does not panic, and every problem has a position within the text.

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_pcg::Pcg64Mcg;

use super::examples::{DOCUMENTS, SETTINGS};
use crate::{AgentSettings, Problems, ServiceDocument};

const MUTANTS_PER_TEXT: u64 = 400;

/// Fragments with a meaning for the parser or for a rule.
const FRAGMENTS: [&str; 16] = [
    "{",
    "}",
    "[",
    "]",
    "\"",
    ":",
    ",",
    "//",
    "/*",
    "null",
    "-1",
    "1e999",
    "18446744073709551616",
    "\u{1F3C1}",
    "\"keyed\": true,",
    "\\u0000",
];

fn mutate(text: &str, rng: &mut Pcg64Mcg) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for _ in 0..rng.random_range(1..6) {
        let at = rng.random_range(0..chars.len());
        let end = (at + rng.random_range(0..12)).min(chars.len());
        match rng.random_range(0..4) {
            0 => drop(chars.drain(at..end)),
            1 => drop(chars.splice(at..at, FRAGMENTS.choose(rng).unwrap().chars())),
            2 => drop(chars.splice(at..end, FRAGMENTS.choose(rng).unwrap().chars())),
            _ => {
                let copy = chars[at..end].to_vec();
                chars.splice(at..at, copy);
            }
        }
        if chars.is_empty() {
            break;
        }
    }
    chars.into_iter().collect()
}

fn check<T>(text: &str, seed: u64, parse: impl Fn(&str) -> Result<T, Problems>) -> usize {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let text = mutate(text, &mut rng);
    let Err(problems) = parse(&text) else { return 0 };
    assert!(
        !problems.is_empty(),
        "seed {seed}: expected at least one problem in the error:\n{text}"
    );
    let lines: Vec<&str> = text.split('\n').collect();
    for problem in problems.iter() {
        let line = lines.get(problem.position.line as usize - 1);
        let columns = line.expect("a line of the text").chars().count() + 1;
        let column = problem.position.column as usize;
        assert!((1..=columns).contains(&column), "seed {seed}: {problem}\n{text}");
        assert!(!problem.message.is_empty(), "seed {seed}: {problem}");
    }
    problems.len()
}

#[test]
fn mutated_documents_are_parsed_or_refused_with_positions() {
    let mut found = 0;
    for (_, text) in DOCUMENTS {
        found +=
            (0..MUTANTS_PER_TEXT).map(|it| check(text, it, ServiceDocument::parse)).sum::<usize>();
    }
    assert!(found > 0, "no mutated text had a problem, expected some");
}

#[test]
fn mutated_settings_are_parsed_or_refused_with_positions() {
    let found: usize =
        (0..MUTANTS_PER_TEXT).map(|it| check(SETTINGS, it, AgentSettings::parse)).sum();
    assert!(found > 0, "no mutated text had a problem, expected some");
}
