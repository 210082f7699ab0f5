//! Exhaustive check of the order lease; see `docs/spec/lease.md`.

mod checker;

use std::time::Duration;

use checker::{Model, count_states, expect_violation};
use verbenaring_policy::lease::*;
use verbenaring_policy::time::Moment;

/// Time step of the model; all durations of the lease are multiples of it.
const TICK: Duration = Duration::from_secs(5);
const TTL_TICKS: u8 = 3;
const TRANSIT_TICKS: u8 = 2;

const OVERLAP: &str = "an engine that ignores tokens obeyed an earlier holder after a later one";
const STALE_TOKEN: &str = "an engine that checks tokens obeyed an old token";

/// Safeguard that the model disables, to show that the checker detects its absence.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mutation {
    None,
    /// The holder sends orders for the whole time to live, counted from the answer.
    HoldFromAnswer,
    /// A new holder sends orders at once.
    NoSettling,
    /// A new holder waits for the time to live only.
    SettlingWithoutTransit,
    /// Orders to engines that ignore tokens may take any time.
    UnboundedTransit,
    /// The engine that checks tokens accepts all of them.
    NoTokenCheck,
    /// A late answer is mistaken for the answer to the open request.
    AnswerWithoutSerial,
    /// The clock of the new holder runs at twice the true rate.
    FastSuccessor,
    /// Disables nothing: asserts that no new holder sends orders, to show that the model
    /// reaches such a state.
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
struct SystemState {
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
    calls_left: [u32; 2],
    /// Serial of the latest call of each node.
    latest_serials: [u32; 2],
    check: FencingCheck,
    /// Highest token that the engine obeyed.
    highest_obeyed: u64,
    violated: Option<&'static str>,
}

#[derive(Debug, Clone, Copy)]
#[expect(dead_code, reason = "the fields are read by the printed trace")]
enum Step {
    Tick(u8),
    Request(usize),
    Store(usize, Message),
    Answer(usize, Message),
    TimeOut(usize),
    Crash(usize),
    ExpireEarly,
    Order(usize, Order),
    Arrive(Order),
}

struct LeaseModel {
    /// Ticks after the first node may send orders to all engines.
    ticks: u8,
    /// Largest number of lost answers, early expiries and crashes, together.
    faults: u8,
    /// Calls that the first and the second node may make, at any time.
    max_calls: [u32; 2],
    /// Whether the engines check tokens.
    checks_tokens: bool,
    /// Rate of each node's clock as a fraction of the true rate.
    rates: [(u32, u32); 2],
    mutation: Mutation,
}

impl LeaseModel {
    fn timing(&self) -> LeaseTiming {
        let timing = LeaseTiming::default();
        match self.mutation {
            // The hold time, two thirds of this time to live, is the true time to live. The
            // settling time is 22.5 s, which the ticks round up to the true 25 s.
            Mutation::HoldFromAnswer => LeaseTiming {
                ttl: timing.ttl * 3 / 2,
                max_transit: Duration::ZERO,
            },
            Mutation::SettlingWithoutTransit => LeaseTiming {
                max_transit: Duration::ZERO,
                ..timing
            },
            _ => timing,
        }
    }

    fn clock(&self, node: usize, now: u8) -> Moment {
        let (numerator, denominator) = match (self.mutation, node) {
            (Mutation::FastSuccessor, 1) => (2, 1),
            _ => self.rates[node],
        };
        let ticks = u32::from(now) * numerator / denominator;
        Moment::default() + TICK * ticks
    }

    fn store(&self, state: &mut SystemState, index: usize) {
        let (node, message) = state.messages.remove(index);
        let Message::Request(kind, serial) = message else {
            unreachable!("only requests reach the store");
        };
        let end = state.now + TTL_TICKS;
        let reply = match (kind, state.lease) {
            (LeaseKind::Acquire, None) => {
                state.tokens += 1;
                state.lease = Some((state.tokens, node, end));
                LeaseReply::Granted(state.tokens)
            }
            (LeaseKind::Renew(token), Some((held, owner, _))) if token == held => {
                state.lease = Some((held, owner, end));
                LeaseReply::Renewed
            }
            _ => LeaseReply::Refused,
        };
        state.messages.push((node, Message::Answer(reply, serial)));
        state.messages.sort();
    }

    fn answer(&self, state: &mut SystemState, index: usize) {
        let (node, message) = state.messages.remove(index);
        let Message::Answer(reply, mut serial) = message else {
            unreachable!("only answers reach a node");
        };
        let answer = match reply {
            LeaseReply::Granted(token) => LeaseAnswer::Granted(FencingToken(token)),
            LeaseReply::Renewed => LeaseAnswer::Renewed,
            LeaseReply::Refused => LeaseAnswer::Refused,
        };
        let now = self.clock(node, state.now);
        if self.mutation == Mutation::AnswerWithoutSerial {
            serial = (serial..serial + 8)
                .find(|&serial| {
                    let mut probed = state.holders[node].clone();
                    probed.answer(serial, answer, now);
                    probed != state.holders[node]
                })
                .unwrap_or(serial);
        }
        if self.mutation == Mutation::HoldFromAnswer && reply != LeaseReply::Refused {
            // Requests again at the instant of the answer, so that the hold time starts there.
            state.holders[node].answer(serial, LeaseAnswer::Lost, now);
            serial = state.holders[node]
                .request(now)
                .map_or(serial, |call| call.serial);
            state.latest_serials[node] = serial;
        }
        state.holders[node].answer(serial, answer, now);
    }

    fn arrive(&self, state: &mut SystemState, order: Order) {
        if self.checks_tokens && self.mutation != Mutation::NoTokenCheck {
            let accepted = state.check.accept(FencingToken(order.token), 1);
            if accepted.is_err() {
                return;
            }
        }
        if order.token < state.highest_obeyed {
            state.violated = Some(if self.checks_tokens {
                STALE_TOKEN
            } else {
                OVERLAP
            });
        }
        if self.mutation == Mutation::ExpectNoSuccessor && order.token > 1 && !self.checks_tokens {
            state.violated = Some("a successor sent orders");
        }
        state.highest_obeyed = state.highest_obeyed.max(order.token);
    }

    /// Renews the lease of the second node without delay, so that it may send its first
    /// order at the earliest instant.
    fn renew_successor(&self, state: &mut SystemState) {
        let now = self.clock(1, state.now);
        let mut holder = state.holders[1].clone();
        let Some(call) = holder.request(now) else {
            return;
        };
        if let LeaseRequest::Renew(token) = call.request {
            let lease = state.lease.as_mut().filter(|lease| lease.0 == token.0);
            let answer = match lease {
                Some(lease) => {
                    lease.2 = state.now + TTL_TICKS;
                    LeaseAnswer::Renewed
                }
                None => LeaseAnswer::Refused,
            };
            holder.answer(call.serial, answer, now);
            state.holders[1] = holder;
        }
    }

    fn overdue(&self, order: &Order, now: u8) -> bool {
        let bounded = !self.checks_tokens && self.mutation != Mutation::UnboundedTransit;
        bounded && now > order.sent + TRANSIT_TICKS
    }
}

impl Model for LeaseModel {
    type State = SystemState;
    type Step = Step;

    fn initial_state(&self) -> SystemState {
        let mut state = SystemState {
            now: 0,
            end: 0,
            holders: vec![LeaseHolder::new(self.timing()); 2],
            lease: None,
            tokens: 0,
            messages: vec![],
            orders: vec![],
            faults: self.faults,
            calls_left: self.max_calls,
            latest_serials: [0; 2],
            check: FencingCheck::default(),
            highest_obeyed: 0,
            violated: None,
        };
        // The first node acquires the lease and renews it until it may send all orders.
        loop {
            let now = self.clock(0, state.now);
            let call = state.holders[0].request(now).unwrap();
            let message = match call.request {
                LeaseRequest::Acquire => Message::Request(LeaseKind::Acquire, call.serial),
                LeaseRequest::Renew(token) => {
                    Message::Request(LeaseKind::Renew(token.0), call.serial)
                }
            };
            state.messages.push((0, message));
            self.store(&mut state, 0);
            self.answer(&mut state, 0);
            if state.holders[0].permit(now).unwrap().unfenced {
                state.end = state.now + self.ticks;
                return state;
            }
            state.now += 1;
        }
    }

    fn successors(&self, state: &SystemState, successors: &mut Vec<(Step, SystemState)>) {
        let mut add = |step, change: &dyn Fn(&mut SystemState)| {
            let mut next = state.clone();
            change(&mut next);
            successors.push((step, next));
        };
        if state.now < state.end {
            add(Step::Tick(state.now + 1), &|next| {
                next.now += 1;
                next.lease = next.lease.filter(|(_, _, end)| *end > next.now);
                let now = next.now;
                next.orders.retain(|order| !self.overdue(order, now));
                self.renew_successor(next);
            });
        }
        if state.lease.is_some() && state.faults > 0 {
            // The store may end a lease early, for example after its own restart.
            add(Step::ExpireEarly, &|next| {
                next.faults -= 1;
                next.lease = None;
            });
        }
        for (index, &(node, message)) in state.messages.iter().enumerate() {
            match message {
                Message::Request(..) => {
                    add(Step::Store(node, message), &|next| self.store(next, index))
                }
                Message::Answer(..) => add(Step::Answer(node, message), &|next| {
                    self.answer(next, index)
                }),
            }
        }
        for &order in &state.orders {
            add(Step::Arrive(order), &|next| {
                next.orders.retain(|other| *other != order);
                self.arrive(next, order);
            });
        }
        for node in 0..state.holders.len() {
            self.node_steps(state, node, &mut add);
        }
    }

    fn check(&self, state: &SystemState) -> Result<(), &'static str> {
        state.violated.map_or(Ok(()), Err)
    }
}

impl LeaseModel {
    fn node_steps(
        &self,
        state: &SystemState,
        node: usize,
        add: &mut impl FnMut(Step, &dyn Fn(&mut SystemState)),
    ) {
        let now = self.clock(node, state.now);
        let mut requested = state.holders[node].clone();
        match requested.request(now) {
            Some(call) if state.calls_left[node] > 0 => add(Step::Request(node), &|next| {
                next.calls_left[node] -= 1;
                next.latest_serials[node] = call.serial;
                let kind = match call.request {
                    LeaseRequest::Acquire => LeaseKind::Acquire,
                    LeaseRequest::Renew(token) => LeaseKind::Renew(token.0),
                };
                next.holders[node] = requested.clone();
                next.messages
                    .push((node, Message::Request(kind, call.serial)));
                next.messages.sort();
            }),
            None if state.faults > 0 => add(Step::TimeOut(node), &|next| {
                next.faults -= 1;
                next.holders[node].answer(state.latest_serials[node], LeaseAnswer::Lost, now);
            }),
            _ => {}
        }
        let Some(permit) = state.holders[node].permit(now) else {
            return;
        };
        if state.faults > 0 {
            add(Step::Crash(node), &|next| {
                next.faults -= 1;
                next.holders[node] = LeaseHolder::new(self.timing());
                // Requests may still reach the store, but no answer reaches the new process.
                for (_, message) in next.messages.iter_mut().filter(|(other, _)| *other == node) {
                    let (Message::Request(_, serial) | Message::Answer(_, serial)) = message;
                    *serial = 0;
                }
            });
        }
        if self.checks_tokens || permit.unfenced || self.mutation == Mutation::NoSettling {
            let order = Order {
                token: permit.token.0,
                sent: if self.checks_tokens { 0 } else { state.now },
            };
            let is_same_token = |other: &&Order| other.token == order.token;
            // One order per holder in transit is enough to show every overlap.
            if state.orders.iter().find(is_same_token).is_none() {
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
    max_calls: [2, 1],
    checks_tokens: false,
    rates: [(1, 1); 2],
    mutation: Mutation::None,
};

/// Guards against an order of an earlier holder that takes effect after one of a later
/// holder at an engine that ignores tokens.
#[test]
fn orders_of_two_holders_never_overlap() {
    count_states("lease, engines that ignore tokens, 1 fault", &DEFAULT);
}

/// Guards against an order that arrives after any delay and undoes a newer one at an
/// engine that checks tokens.
#[test]
fn orders_with_old_tokens_have_no_effect() {
    let model = LeaseModel {
        checks_tokens: true,
        ticks: 6,
        faults: 1,
        ..DEFAULT
    };
    count_states("lease, engines that check tokens, 1 fault", &model);
}

/// Guards against margins that are too small for a slow clock of the earlier holder or
/// a fast clock of the later one.
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

/// Guards against a model that cannot detect a fault: the check must fail for each
/// disabled safeguard.
#[test]
fn every_disabled_safeguard_is_detected() {
    let mutations = [
        (Mutation::HoldFromAnswer, OVERLAP),
        (Mutation::NoSettling, OVERLAP),
        (Mutation::SettlingWithoutTransit, OVERLAP),
        (Mutation::UnboundedTransit, OVERLAP),
        (Mutation::NoTokenCheck, STALE_TOKEN),
        (Mutation::AnswerWithoutSerial, OVERLAP),
        (Mutation::FastSuccessor, OVERLAP),
        (Mutation::ExpectNoSuccessor, "a successor sent orders"),
    ];
    for (mutation, property) in mutations {
        let checks_tokens = mutation == Mutation::NoTokenCheck;
        let model = LeaseModel {
            checks_tokens,
            mutation,
            ..DEFAULT
        };
        expect_violation(&format!("{mutation:?}"), &model, property);
    }
}
