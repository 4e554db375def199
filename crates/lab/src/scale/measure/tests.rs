use super::*;

#[test]
fn a_membership_that_is_measured_knows_all_of_its_members() {
    let shape = Shape { nodes: 300, zones: 9, tenants: 1, routes: 1, probe_ms: 1000, subset: None };
    for members in [2, 50, 300] {
        let core = membership(shape, members);
        assert_eq!(core.members(Duration::ZERO).len() as u32 + 1, members);
    }
}
