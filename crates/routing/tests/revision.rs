//! Revisions of several eras.

use redwingrill_routing::Era;
use redwingrill_routing::Revision;

#[test]
fn later_era_is_higher_whatever_the_number() {
    let revision = |era, number| Revision::new(Era(era), number).expect("a small revision");
    assert!(revision(0, 900) < revision(1, 700));
    assert!(revision(1, 700) < revision(1, 701));
    assert!(Revision::ABSENT < revision(0, 1));
    let parts = (revision(3, 120).era(), revision(3, 120).number());
    assert_eq!(parts, (Era(3), 120));
    assert_eq!(revision(0, 120).as_u64(), 120);
    assert_eq!(Revision::from_u64(revision(3, 120).as_u64()), revision(3, 120));
}

#[test]
fn revision_beyond_its_bits_is_none() {
    assert!(Revision::new(Era(0), (1 << 40) - 1).is_some());
    assert!(Revision::new(Era(0), 1 << 40).is_none());
    assert!(Revision::new(Era((1 << 24) - 1), 1).is_some());
    assert!(Revision::new(Era(1 << 24), 1).is_none());
}
