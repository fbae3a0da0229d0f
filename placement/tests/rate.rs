//! The smoothed event rate.

use shaletrail_placement::rate::Rate;

#[test]
fn rate_falls_more_slowly_than_it_rises() {
    let mut rate = Rate::default();
    for now in (0..40_000).step_by(100) {
        rate.add(now, 1.0);
    }
    let steady = rate.per_second(40_000);
    assert!((9.0..11.0).contains(&steady), "{steady}");
    let mut rising = Rate::default();
    for now in (0..2_000).step_by(100) {
        rising.add(now, 1.0);
    }
    let (risen, fallen) = (rising.per_second(2_000), rate.per_second(42_000));
    assert!(risen > 0.7 * steady, "{risen}");
    assert!(fallen > 0.8 * steady, "{fallen}");
}
