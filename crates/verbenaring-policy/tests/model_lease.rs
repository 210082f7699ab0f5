//! Exhaustive check of the order lease; see `docs/spec/lease.md`.

mod checker;

use std::time::Duration;

use checker::{Model, count_states, expect_broken};
use verbenaring_policy::lease::*;
use verbenaring_policy::time::Moment;

/// One step of time; all times of the lease are multiples of it.
const TICK: Duration = Duration::from_secs(5);
const TTL_TICKS: u8 = 3;
const TRANSIT_TICKS: u8 = 2;

const OVERLAP: &str = "an engine that ignores tokens obeyed an earlier holder after a later one";
const STALE: &str = "an engine that checks tokens obeyed an old token";

/// Safeguard that the environment disables.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Flaw {
    None,
    /// The holder gives orders for the whole time to live, counted from the answer.
    HoldFromAnswer,
    /// The successor gives orders at once.
    NoSettling,
    /// The successor waits for the time to live only.
    SettlingWithoutTransit,
    /// Orders to engines that ignore tokens take any time.
    UnboundedTransit,
    /// The engine that checks tokens accepts all of them.
    NoTokenCheck,
    /// A late answer is taken for the answer to the open request.
    AnswerWithoutSerial,
    /// The clock of the successor runs at twice the true rate.
    FastSuccessor,
    /// No safeguard: asserts that no successor gives orders, to show that one does.
    ExpectNoSuccessor,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request(LeaseKind, u32),
    Answer(LeaseReply, u32),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum LeaseKind {
    Acquire,
    Renew(u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum LeaseReply {
    Granted(u64),
    Renewed,
    Refused,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Order {
    token: u64,
    sent: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    end: u8,
    holders: Vec<LeaseHolder>,
    /// Token, node and end of the lease in the store.
    lease: Option<(u64, usize, u8)>,
    tokens: u64,
    messages: Vec<(usize, Message)>,
    orders: Vec<Order>,
    faults: u8,
    /// Calls that each node may still make.
    calls: [u32; 2],
    /// Serial of the latest call of each node.
    serials: [u32; 2],
    check: FencingCheck,
    /// Highest token that the engine obeyed.
    obeyed: u64,
    broken: Option<&'static str>,
}

#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "the fields are read by the printed trace")]
enum Step {
    Tick(u8),
    Ask(usize),
    Store(usize, Message),
    Answer(usize, Message),
    TimeOut(usize),
    Crash(usize),
    Lapse,
    Order(usize, Order),
    Arrive(Order),
}

struct LeaseModel {
    /// Ticks after the first node has become an established holder.
    ticks: u8,
    /// Lost answers, early lapses and crashes, together.
    faults: u8,
    /// Calls that the first node and the second node make at any time.
    calls: [u32; 2],
    /// Whether the engines check tokens.
    checked: bool,
    /// Rate of each node's clock as a fraction of the true rate.
    rates: [(u32, u32); 2],
    flaw: Flaw,
}

impl LeaseModel {
    fn terms(&self) -> LeaseTiming {
        let terms = LeaseTiming::default();
        match self.flaw {
            // The hold is two thirds of the time to live, the settling time its sum with the transit.
            Flaw::HoldFromAnswer => LeaseTiming {
                ttl: terms.ttl * 3 / 2,
                max_transit: Duration::ZERO,
            },
            Flaw::SettlingWithoutTransit => LeaseTiming {
                max_transit: Duration::ZERO,
                ..terms
            },
            _ => terms,
        }
    }

    fn clock(&self, node: usize, now: u8) -> Moment {
        let (numerator, denominator) = match (self.flaw, node) {
            (Flaw::FastSuccessor, 1) => (2, 1),
            _ => self.rates[node],
        };
        let ticks = u32::from(now) * numerator / denominator;
        Moment::default() + TICK * ticks
    }

    fn store(&self, world: &mut World, index: usize) {
        let (node, message) = world.messages.remove(index);
        let Message::Request(kind, serial) = message else {
            unreachable!("only requests reach the store");
        };
        let end = world.now + TTL_TICKS;
        let reply = match (kind, world.lease) {
            (LeaseKind::Acquire, None) => {
                world.tokens += 1;
                world.lease = Some((world.tokens, node, end));
                LeaseReply::Granted(world.tokens)
            }
            (LeaseKind::Renew(token), Some((held, owner, _))) if token == held => {
                world.lease = Some((held, owner, end));
                LeaseReply::Renewed
            }
            _ => LeaseReply::Refused,
        };
        world.messages.push((node, Message::Answer(reply, serial)));
        world.messages.sort();
    }

    fn answer(&self, world: &mut World, index: usize) {
        let (node, message) = world.messages.remove(index);
        let Message::Answer(reply, mut serial) = message else {
            unreachable!("only answers reach a node");
        };
        let answer = match reply {
            LeaseReply::Granted(token) => LeaseAnswer::Granted(FencingToken(token)),
            LeaseReply::Renewed => LeaseAnswer::Renewed,
            LeaseReply::Refused => LeaseAnswer::Refused,
        };
        let now = self.clock(node, world.now);
        if self.flaw == Flaw::AnswerWithoutSerial {
            serial = (serial..serial + 8)
                .find(|&serial| {
                    let mut probe = world.holders[node].clone();
                    probe.answer(serial, answer, now);
                    probe != world.holders[node]
                })
                .unwrap_or(serial);
        }
        if self.flaw == Flaw::HoldFromAnswer && reply != LeaseReply::Refused {
            // Ask again at the instant of the answer, so that the hold starts there.
            world.holders[node].answer(serial, LeaseAnswer::Lost, now);
            serial = world.holders[node]
                .request(now)
                .map_or(serial, |call| call.serial);
            world.serials[node] = serial;
        }
        world.holders[node].answer(serial, answer, now);
    }

    fn arrive(&self, world: &mut World, order: Order) {
        if self.checked && self.flaw != Flaw::NoTokenCheck {
            let accepted = world.check.accept(FencingToken(order.token), 1);
            if accepted.is_err() {
                return;
            }
        }
        if order.token < world.obeyed {
            world.broken = Some(if self.checked { STALE } else { OVERLAP });
        }
        if self.flaw == Flaw::ExpectNoSuccessor && order.token > 1 && !self.checked {
            world.broken = Some("a successor gave orders");
        }
        world.obeyed = world.obeyed.max(order.token);
    }

    /// Renews the lease of the second node without delay: a successor that
    /// behaves well gives its first order at the earliest instant.
    fn renew_successor(&self, world: &mut World) {
        let now = self.clock(1, world.now);
        let mut holder = world.holders[1].clone();
        let Some(call) = holder.request(now) else {
            return;
        };
        if let LeaseRequest::Renew(token) = call.request {
            let lease = world.lease.as_mut().filter(|lease| lease.0 == token.0);
            let answer = match lease {
                Some(lease) => {
                    lease.2 = world.now + TTL_TICKS;
                    LeaseAnswer::Renewed
                }
                None => LeaseAnswer::Refused,
            };
            holder.answer(call.serial, answer, now);
            world.holders[1] = holder;
        }
    }

    fn overdue(&self, order: &Order, now: u8) -> bool {
        let bounded = !self.checked && self.flaw != Flaw::UnboundedTransit;
        bounded && now > order.sent + TRANSIT_TICKS
    }
}

impl Model for LeaseModel {
    type State = World;
    type Step = Step;

    fn start(&self) -> World {
        let mut world = World {
            now: 0,
            end: 0,
            holders: vec![LeaseHolder::new(self.terms()); 2],
            lease: None,
            tokens: 0,
            messages: vec![],
            orders: vec![],
            faults: self.faults,
            calls: self.calls,
            serials: [0; 2],
            check: FencingCheck::default(),
            obeyed: 0,
            broken: None,
        };
        // The first node acquires the lease and renews it until it may give all orders.
        loop {
            let now = self.clock(0, world.now);
            let call = world.holders[0].request(now).unwrap();
            let message = match call.request {
                LeaseRequest::Acquire => Message::Request(LeaseKind::Acquire, call.serial),
                LeaseRequest::Renew(token) => {
                    Message::Request(LeaseKind::Renew(token.0), call.serial)
                }
            };
            world.messages.push((0, message));
            self.store(&mut world, 0);
            self.answer(&mut world, 0);
            if world.holders[0].permit(now).unwrap().unfenced {
                world.end = world.now + self.ticks;
                return world;
            }
            world.now += 1;
        }
    }

    fn successors(&self, world: &World, into: &mut Vec<(Step, World)>) {
        let mut add = |step, change: &dyn Fn(&mut World)| {
            let mut next = world.clone();
            change(&mut next);
            into.push((step, next));
        };
        if world.now < world.end {
            add(Step::Tick(world.now + 1), &|next| {
                next.now += 1;
                next.lease = next.lease.filter(|(_, _, end)| *end > next.now);
                let now = next.now;
                next.orders.retain(|order| !self.overdue(order, now));
                self.renew_successor(next);
            });
        }
        if world.lease.is_some() && world.faults > 0 {
            // The store may lapse a lease early, for example after its own restart.
            add(Step::Lapse, &|next| {
                next.faults -= 1;
                next.lease = None;
            });
        }
        for (index, &(node, message)) in world.messages.iter().enumerate() {
            match message {
                Message::Request(..) => {
                    add(Step::Store(node, message), &|next| self.store(next, index))
                }
                Message::Answer(..) => add(Step::Answer(node, message), &|next| {
                    self.answer(next, index)
                }),
            }
        }
        for &order in &world.orders {
            add(Step::Arrive(order), &|next| {
                next.orders.retain(|other| *other != order);
                self.arrive(next, order);
            });
        }
        for node in 0..world.holders.len() {
            self.node_steps(world, node, &mut add);
        }
    }

    fn check(&self, world: &World) -> Result<(), &'static str> {
        world.broken.map_or(Ok(()), Err)
    }
}

impl LeaseModel {
    fn node_steps(
        &self,
        world: &World,
        node: usize,
        add: &mut impl FnMut(Step, &dyn Fn(&mut World)),
    ) {
        let now = self.clock(node, world.now);
        let mut asked = world.holders[node].clone();
        match asked.request(now) {
            Some(call) if world.calls[node] > 0 => add(Step::Ask(node), &|next| {
                next.calls[node] -= 1;
                next.serials[node] = call.serial;
                let kind = match call.request {
                    LeaseRequest::Acquire => LeaseKind::Acquire,
                    LeaseRequest::Renew(token) => LeaseKind::Renew(token.0),
                };
                next.holders[node] = asked.clone();
                next.messages
                    .push((node, Message::Request(kind, call.serial)));
                next.messages.sort();
            }),
            None if world.faults > 0 => add(Step::TimeOut(node), &|next| {
                next.faults -= 1;
                next.holders[node].answer(world.serials[node], LeaseAnswer::Lost, now);
            }),
            _ => {}
        }
        let Some(permit) = world.holders[node].permit(now) else {
            return;
        };
        if world.faults > 0 {
            add(Step::Crash(node), &|next| {
                next.faults -= 1;
                next.holders[node] = LeaseHolder::new(self.terms());
                // Requests may still reach the store, but no answer reaches the new process.
                for (_, message) in next.messages.iter_mut().filter(|(other, _)| *other == node) {
                    let (Message::Request(_, serial) | Message::Answer(_, serial)) = message;
                    *serial = 0;
                }
            });
        }
        if self.checked || permit.unfenced || self.flaw == Flaw::NoSettling {
            let order = Order {
                token: permit.token.0,
                sent: if self.checked { 0 } else { world.now },
            };
            let same = |other: &&Order| other.token == order.token;
            // One order of each holder in transit shows every overlap.
            if world.orders.iter().find(same).is_none() {
                add(Step::Order(node, order), &|next| {
                    next.orders.push(order);
                    next.orders.sort();
                });
            }
        }
    }
}

const DEFAULT: LeaseModel = LeaseModel {
    ticks: 8,
    faults: 1,
    calls: [2, 1],
    checked: false,
    rates: [(1, 1); 2],
    flaw: Flaw::None,
};

/// Guards against two holders whose orders take effect at the same time.
#[test]
fn orders_of_two_holders_never_mix() {
    count_states("lease, engines that ignore tokens, 1 fault", &DEFAULT);
}

/// Guards against an order that arrives after any delay and undoes a newer one.
#[test]
fn old_tokens_take_no_effect() {
    let model = LeaseModel {
        checked: true,
        ticks: 6,
        faults: 1,
        ..DEFAULT
    };
    count_states("lease, engines that check tokens, 1 fault", &model);
}

/// Guards against margins that are too small for a slow clock of the holder
/// or a fast clock of the successor.
#[test]
fn clocks_of_different_rates_are_covered() {
    let slow = LeaseModel {
        rates: [(2, 3), (1, 1)],
        ..DEFAULT
    };
    count_states("lease, clock of the holder slow by a third, 1 fault", &slow);
    let fast = LeaseModel {
        rates: [(1, 1), (5, 4)],
        ..DEFAULT
    };
    count_states(
        "lease, clock of the successor fast by a quarter, 1 fault",
        &fast,
    );
}

/// Guards against a check that passes because it cannot see a fault.
#[test]
fn every_removed_safeguard_is_found() {
    let flaws = [
        (Flaw::HoldFromAnswer, OVERLAP),
        (Flaw::NoSettling, OVERLAP),
        (Flaw::SettlingWithoutTransit, OVERLAP),
        (Flaw::UnboundedTransit, OVERLAP),
        (Flaw::NoTokenCheck, STALE),
        (Flaw::AnswerWithoutSerial, OVERLAP),
        (Flaw::FastSuccessor, OVERLAP),
        (Flaw::ExpectNoSuccessor, "a successor gave orders"),
    ];
    for (flaw, property) in flaws {
        let checked = flaw == Flaw::NoTokenCheck;
        let model = LeaseModel {
            checked,
            flaw,
            ..DEFAULT
        };
        expect_broken(&format!("{flaw:?}"), &model, property);
    }
}
