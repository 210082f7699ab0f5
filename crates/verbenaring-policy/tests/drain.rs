//! Tests of leaving servers and planned stops.

use std::time::Duration;

use verbenaring_policy::drain::{
    DrainSchedule, NOTICE_PROPAGATION_LIMIT, NoticeSource, PEER_NOTICE_TTL, Placement, PlannedStop,
    StopPhase, StopScope,
};
use verbenaring_policy::id::{CentreName, DataCentre, RegionName, ServerId, VmId};
use verbenaring_policy::time::Moment;

const MAX_REQUEST_TIME: Duration = Duration::from_secs(30);

fn at(seconds: u64) -> Moment {
    Moment::default() + Duration::from_secs(seconds)
}

fn centre(name: &str) -> DataCentre {
    DataCentre {
        region: RegionName::new("cork").unwrap(),
        name: CentreName::new(name).unwrap(),
    }
}

/// Guards against new work for a leaving server, on the node with the first notice
/// or on a peer that has its report (invariant I7 of the design document).
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
        assert!(schedule.accepts(&server, place, MAX_REQUEST_TIME, at(10)));
        assert!(schedule.record_notice(&server, source, Duration::ZERO, at(10)));
        assert!(!schedule.accepts(&server, place, MAX_REQUEST_TIME, at(10)));
        // The platform's list lags behind and still shows the server as live.
        if source != NoticeSource::Platform {
            schedule.withdraw_notice(&server, NoticeSource::Platform);
        }
        let reports = schedule.reports(at(12));
        peer.merge(&reports[0], at(1));
        assert!(!peer.accepts(&server, place, MAX_REQUEST_TIME, at(1)));
        assert!(peer.leaving_for(&server, at(2)).unwrap() <= NOTICE_PROPAGATION_LIMIT);
        assert!(
            peer.reports(at(1)).is_empty(),
            "a relayed notice would never expire"
        );
        peer.expire(at(1) + PEER_NOTICE_TTL);
        assert!(peer.accepts(&server, place, MAX_REQUEST_TIME, at(61)));
        schedule.withdraw_notice(&server, source);
        assert!(schedule.accepts(&server, place, MAX_REQUEST_TIME, at(13)));
    }
}

/// Guards against work that is still in flight when a planned stop starts
/// (invariant I8 of the design document), and against refusing work elsewhere.
#[test]
fn planned_stops_drain_only_their_scope() {
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
    // Whether the server, the VM, rack r2 and the other data centre are expected
    // to stop taking work.
    for (scope, expected) in [
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
        let accepts = |place, now| schedule.accepts(&server, place, MAX_REQUEST_TIME, now);
        let phase = |in_flight, now| {
            schedule.vm_phase(&vm, place(&inside, "r1"), MAX_REQUEST_TIME, in_flight, now)
        };
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
        assert_eq!(stopped, expected);
    }
}
