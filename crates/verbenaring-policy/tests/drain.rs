//! Leaving servers and planned stops.

use std::time::Duration;

use verbenaring_policy::drain::{
    DrainSchedule, NOTICE_LIMIT, NoticeSource, PEER_NOTICE_TIME, Placement, PlannedStop, StopPhase,
    StopScope,
};
use verbenaring_policy::id::{CentreName, DataCentre, RegionName, ServerId, VmId};
use verbenaring_policy::time::Moment;

const REQUEST: Duration = Duration::from_secs(30);

fn at(seconds: u64) -> Moment {
    Moment(seconds * 1_000_000)
}

fn centre(name: &str) -> DataCentre {
    DataCentre {
        region: RegionName::new("cork").unwrap(),
        name: CentreName::new(name).unwrap(),
    }
}

/// Any first notice must stop new work on this node and, by its report, on its peers (I7).
#[test]
fn first_notice_of_any_source_counts() {
    let server = ServerId::new("s1").unwrap();
    let centre = centre("c1");
    let place = Placement {
        centre: &centre,
        rack: None,
    };
    for source in [
        NoticeSource::Server,
        NoticeSource::Platform,
        NoticeSource::Operator,
    ] {
        let (mut schedule, mut peer) = (DrainSchedule::default(), DrainSchedule::default());
        assert!(schedule.accepts(&server, place, REQUEST, at(10)));
        assert!(schedule.record_notice(&server, source, Duration::ZERO, at(10)));
        assert!(!schedule.accepts(&server, place, REQUEST, at(10)));
        // The platform's lagging list still shows the server as live.
        if source != NoticeSource::Platform {
            schedule.withdraw_notice(&server, NoticeSource::Platform);
        }
        let reports = schedule.reports(at(12));
        peer.merge(&reports[0], at(1));
        assert!(!peer.accepts(&server, place, REQUEST, at(1)));
        assert!(peer.leaving_for(&server, at(2)).unwrap() <= NOTICE_LIMIT);
        assert!(
            peer.reports(at(1)).is_empty(),
            "a relayed notice would never end"
        );
        peer.expire(at(1) + PEER_NOTICE_TIME);
        assert!(peer.accepts(&server, place, REQUEST, at(61)));
        schedule.withdraw_notice(&server, source);
        assert!(schedule.accepts(&server, place, REQUEST, at(13)));
    }
}

/// Work that outlasts the start of a stop would be cut (I8); work elsewhere must go on.
#[test]
fn planned_stops_cover_their_scope() {
    let (inside, outside) = (centre("c1"), centre("c2"));
    let (server, vm) = (ServerId::new("s1").unwrap(), VmId::new("v1").unwrap());
    let place = |centre, rack| Placement {
        centre,
        rack: Some(rack),
    };
    let rack = StopScope::Rack {
        centre: inside.clone(),
        rack: "r1".into(),
    };
    // Expected effect on the server, on the VM, on rack r2 and on the other data centre.
    for (scope, effect) in [
        (StopScope::Server(server.clone()), [true, false, true, true]),
        (StopScope::Vm(vm.clone()), [false, true, false, false]),
        (rack, [true, true, false, false]),
        (StopScope::Centre(inside.clone()), [true, true, true, false]),
    ] {
        let mut schedule = DrainSchedule::default();
        let (starts, ends) = (at(100), Some(at(200)));
        schedule.plan_stop(
            "stop",
            PlannedStop {
                scope,
                starts,
                ends,
            },
        );
        let accepts = |place, now| schedule.accepts(&server, place, REQUEST, now);
        let phase =
            |in_flight, now| schedule.vm_phase(&vm, place(&inside, "r1"), REQUEST, in_flight, now);
        for now in [at(69), at(200)] {
            assert!(accepts(place(&inside, "r1"), now));
            assert_eq!(phase(1, now), StopPhase::Open);
        }
        let stopped = [
            !accepts(place(&inside, "r1"), at(70)),
            phase(1, at(70)) == StopPhase::Draining && phase(0, at(70)) == StopPhase::Drained,
            !accepts(place(&inside, "r2"), at(70)),
            !accepts(place(&outside, "r1"), at(70)),
        ];
        assert_eq!(stopped, effect);
    }
}
