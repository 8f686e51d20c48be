//! Tests of the fit and of the simulated group.

use std::time::Duration;

use super::{
    fit::{Fit, Point},
    group::{Group, GroupSize},
};

#[test]
fn points_on_a_line_are_fitted_exactly() {
    let points: Vec<Point> =
        [4.0, 8.0, 16.0, 32.0].into_iter().map(|x| Point { x, y: 3.0 + 0.5 * x }).collect();
    let fit = Fit::new(&points).unwrap();
    assert!((fit.base - 3.0).abs() < 1e-9 && (fit.slope - 0.5).abs() < 1e-9);
    assert!(fit.slope_error < 1e-9 && fit.r_squared > 0.999_999);
    assert_eq!(Fit::new(&points[..2]), None);
}

#[test]
fn a_group_settles_and_grants_all_slots() {
    let size = GroupSize { members: 5, slots: 32, hot_keys: 0 };
    let mut group = Group::new(size, 1);
    group.run(Duration::from_secs(10));
    assert_eq!(group.granted_slots(), 32);
    assert!(group.coordinator().is_some());
}
