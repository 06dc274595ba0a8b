//! Compares the published state with a plain model that scans everything each time.

use std::collections::{BTreeMap, BTreeSet};

use amberarch_books::{Bind, DesiredState, Proxy, ProxyDemand, PublishedState, Reach, ReachRules, TableKey};
use amberarch_core::{ClassId, ClassSet, HostId, ProxyId, RequestClass, ZoneId, Zones};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const ZONES: u16 = 3;
const HOSTS: u32 = 5;
const PROXIES: u16 = 5;
const CLASSES: u16 = 3;
const ALL_CLASSES: ClassSet = ClassSet(0b111);

#[derive(Clone, Debug)]
enum Step {
    Joined(ProxyId, ZoneId),
    Left(ProxyId),
    Bind(ProxyId, TableKey, ClassSet),
    SetEntries(TableKey, Vec<(HostId, f64)>),
    Withdrawn(HostId, bool),
    DropUnused(Vec<Bind>),
    ForgetHosts(Vec<HostId>),
    SetRule(ZoneId, ClassId, Zones),
}

fn proxy() -> impl Strategy<Value = ProxyId> {
    (0..PROXIES).prop_map(ProxyId)
}

fn host() -> impl Strategy<Value = HostId> {
    (0..HOSTS).prop_map(HostId)
}

fn table() -> impl Strategy<Value = TableKey> {
    let reach = prop_oneof![
        2 => Just(Reach::AnyZone),
        1 => Just(Reach::HomeZone),
        2 => (0u128..8).prop_map(|zones| Reach::Only(Zones(zones))),
    ];
    ((0..ZONES).prop_map(ZoneId), reach, 1u32..4)
}

fn binds() -> impl Strategy<Value = Vec<Bind>> {
    let bind = ((proxy(), table()), (1u64..8).prop_map(ClassSet));
    prop::collection::btree_map(bind.0, bind.1, 0..6).prop_map(|binds| binds.into_iter().collect())
}

fn step() -> impl Strategy<Value = Step> {
    let zone = || (0..ZONES).prop_map(ZoneId);
    let zones = prop_oneof![2 => (0u128..8).prop_map(Zones), 1 => Just(Zones::ALL)];
    prop_oneof![
        2 => (proxy(), zone()).prop_map(|(proxy, zone)| Step::Joined(proxy, zone)),
        1 => proxy().prop_map(Step::Left),
        6 => (proxy(), table(), 1u64..8)
            .prop_map(|(proxy, table, of)| Step::Bind(proxy, table, ClassSet(of))),
        6 => (
            table(),
            prop::collection::btree_map(host(), prop_oneof![Just(0.0), Just(1.0), Just(2.0)], 1..4),
        )
            .prop_map(|(table, entries)| Step::SetEntries(table, entries.into_iter().collect())),
        2 => (host(), any::<bool>()).prop_map(|(host, withdrawn)| Step::Withdrawn(host, withdrawn)),
        1 => binds().prop_map(Step::DropUnused),
        2 => prop::collection::vec(host(), 0..4).prop_map(Step::ForgetHosts),
        1 => (zone(), 0u16..3, zones).prop_map(|(zone, id, zones)| Step::SetRule(zone, ClassId(id), zones)),
    ]
}

#[derive(Default)]
struct Model {
    withdrawn: BTreeSet<HostId>,
    tables: BTreeMap<TableKey, BTreeMap<HostId, f64>>,
    binds: BTreeMap<(ProxyId, TableKey), ClassSet>,
}

impl Model {
    fn binds_of(&self, proxy: ProxyId) -> Vec<(TableKey, ClassSet)> {
        let own_binds = self.binds.iter().filter(|bind| bind.0 .0 == proxy);
        own_binds.map(|((_, table), of)| (*table, *of)).collect()
    }

    fn is_bound(&self, proxy: ProxyId) -> bool {
        let is_bound_for =
            |class: &ClassId| self.binds_of(proxy).iter().any(|(_, of)| of.0 & ClassSet::one(*class).0 != 0);
        (0..CLASSES).map(ClassId).all(|class| is_bound_for(&class))
    }

    fn bind(&mut self, proxy: ProxyId, table: TableKey, classes: ClassSet) {
        self.binds.iter_mut().filter(|bind| bind.0 .0 == proxy).for_each(|bind| bind.1 .0 &= !classes.0);
        self.binds.entry((proxy, table)).or_insert(ClassSet(0)).0 |= classes.0;
        self.binds.retain(|_, of| of.0 != 0);
    }

    fn set_entries(&mut self, table: TableKey, entries: Vec<(HostId, f64)>) {
        let in_force = self.tables.entry(table).or_default();
        in_force.extend(entries);
        in_force.retain(|_, weight| *weight > 0.0);
    }

    fn remove_unused_tables(&mut self, desired: &[Bind]) -> BTreeSet<TableKey> {
        let used: BTreeSet<TableKey> =
            self.binds.keys().chain(desired.iter().map(|bind| &bind.0)).map(|bind| bind.1).collect();
        let is_unused = |table: &TableKey| matches!(table.1, Reach::Only(_)) && !used.contains(table);
        let gone = self.tables.keys().filter(|table| is_unused(table)).copied().collect();
        self.tables.retain(|table, _| !is_unused(table));
        gone
    }

    fn forget_hosts(&mut self, gone: &[HostId], joined: &BTreeMap<ProxyId, Proxy>) -> BTreeSet<HostId> {
        let named = |id: &HostId| self.tables.values().any(|entries| entries.contains_key(id));
        let bound = joined.keys().all(|id| self.is_bound(*id));
        let gone: BTreeSet<HostId> = gone.iter().filter(|id| bound && !named(id)).copied().collect();
        self.withdrawn.retain(|id| !gone.contains(id));
        gone
    }

    fn possible_holders(&self, host: HostId, joined: &BTreeMap<ProxyId, Proxy>) -> Vec<ProxyId> {
        let names =
            |table: &TableKey| self.tables.get(table).is_some_and(|entries| entries.contains_key(&host));
        let holds =
            |id: &&ProxyId| !self.is_bound(**id) || self.binds_of(**id).iter().any(|(table, _)| names(table));
        joined.keys().filter(holds).copied().collect()
    }

    fn narrowing_binds(&self, desired: &[Bind], rules: &ReachRules) -> Vec<Bind> {
        let narrows = |&((proxy, table), of): &Bind| {
            let keeps = self.binds_of(proxy).into_iter().filter(|(has, _)| has.1.is_within(table.1, table.0));
            let keeps = keeps.fold(0, |all, (_, of)| all | of.0);
            let leaves = ClassSet(rules.governed(table.0, of).0 & !keeps);
            (leaves.0 != 0 && table.1 != Reach::AnyZone).then_some(((proxy, table), leaves))
        };
        desired.iter().filter_map(narrows).collect()
    }

    fn tables_outside_reach(&self, rules: &ReachRules) -> BTreeSet<TableKey> {
        let used: BTreeSet<TableKey> = self.binds.keys().map(|bind| bind.1).collect();
        let named = |table: &TableKey| self.tables.get(table).into_iter().flat_map(BTreeMap::keys);
        let outside = |table: &TableKey| named(table).any(|id| rules.forbids(table, zone_of(*id)));
        used.into_iter().filter(outside).collect()
    }
}

fn zone_of(host: HostId) -> ZoneId {
    ZoneId((host.0 % u32::from(ZONES)) as u16)
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None, cases: 150, rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default()
    })]
    #[test]
    fn the_published_state_matches_a_model_that_scans_everything(
        steps in prop::collection::vec((step(), binds()), 1..60),
    ) {
        let classes: Vec<RequestClass> = vec![];
        let (mut state, mut model, mut rules) =
            (PublishedState::new(ZONES, ALL_CLASSES), Model::default(), ReachRules::new(&classes, ZONES));
        let (mut joined, mut tables) = (BTreeMap::new(), BTreeSet::new());
        for (step, binds) in steps {
            match step {
                Step::Joined(proxy, zone) => {
                    state.proxy_left(proxy);
                    model.binds.retain(|bind, _| bind.0 != proxy);
                    joined.insert(proxy, Proxy { demand: ProxyDemand::new(zone, 1.0), ..Proxy::default() });
                }
                Step::Left(proxy) => {
                    state.proxy_left(proxy);
                    model.binds.retain(|bind, _| bind.0 != proxy);
                    joined.remove(&proxy);
                }
                Step::Bind(proxy, table, classes) if joined.contains_key(&proxy) => {
                    state.bind(proxy, table, classes);
                    model.bind(proxy, table, classes);
                }
                Step::Bind(..) => {}
                Step::SetEntries(table, entries) => {
                    state.ensure_table(1_000.0, table);
                    tables.insert(table);
                    state.set_entries(table, entries.clone());
                    model.set_entries(table, entries);
                }
                Step::Withdrawn(host, true) => {
                    state.withdrawn.insert(host);
                    model.withdrawn.insert(host);
                }
                Step::Withdrawn(host, false) => {
                    state.withdrawn.remove(&host);
                    model.withdrawn.remove(&host);
                }
                Step::DropUnused(binds) => {
                    let gone = model.remove_unused_tables(&binds);
                    prop_assert_eq!(
                        state.remove_unused_tables(&DesiredState { binds, ..DesiredState::default() }).len(),
                        gone.len()
                    );
                }
                Step::ForgetHosts(hosts) => {
                    let gone = model.forget_hosts(&hosts, &joined);
                    prop_assert_eq!(state.forget_hosts(hosts.into_iter(), &joined), gone);
                }
                Step::SetRule(zone, class, zones) => drop(rules.set(zone, class, zones)),
            }
            prop_assert_eq!(state.tables(), &model.tables);
            prop_assert_eq!(&state.withdrawn, &model.withdrawn);
            let used: BTreeSet<TableKey> = model.binds.keys().map(|bind| bind.1).collect();
            prop_assert_eq!(state.used_tables().copied().collect::<BTreeSet<_>>(), used);
            for table in &tables {
                let users = model.binds.keys().filter(|bind| bind.1 == *table).map(|bind| bind.0);
                prop_assert_eq!(state.users(table), users.collect::<Vec<_>>());
            }
            for host in (0..HOSTS).map(HostId) {
                prop_assert_eq!(state.possible_holders(host, &joined), model.possible_holders(host, &joined));
            }
            for proxy in (0..PROXIES).map(ProxyId) {
                prop_assert_eq!(state.binds_of(proxy).collect::<Vec<_>>(), model.binds_of(proxy));
            }
            let missing = |(of, classes): &Bind| {
                let missing = classes.0 & !model.binds.get(of).map_or(0, |has| has.0);
                (missing != 0).then_some((*of, ClassSet(missing)))
            };
            let missing_binds: Vec<Bind> = binds.iter().filter_map(missing).collect();
            let narrowing_binds = model.narrowing_binds(&binds, &rules);
            let desired = DesiredState { binds, ..DesiredState::default() };
            prop_assert_eq!(state.missing_binds(&desired), missing_binds);
            prop_assert_eq!(state.narrowing_binds(&desired, &rules), narrowing_binds);
            prop_assert_eq!(
                state.tables_outside_reach(&rules, |id| Some(zone_of(*id))),
                model.tables_outside_reach(&rules)
            );
        }
    }
}
