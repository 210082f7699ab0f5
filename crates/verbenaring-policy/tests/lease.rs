//! Safety margins of the lease and the token check of the engine.

use std::time::Duration;

use verbenaring_policy::lease::*;
use verbenaring_policy::time::Moment;

fn at(seconds: u64) -> Moment {
    Moment::default() + Duration::from_secs(seconds)
}

/// Guards against a holder that counts its time from the answer and so outlives its
/// lease in the store.
#[test]
fn hold_counts_from_before_the_request() {
    let mut holder = LeaseHolder::new(LeaseTiming::default());
    let call = holder.request(at(0)).unwrap();
    assert_eq!(holder.request(at(1)), None);
    holder.answer(call.serial, LeaseAnswer::Granted(FencingToken(7)), at(4));
    let token = FencingToken(7);
    let permit = |unfenced| Some(OrderPermit { token, unfenced });
    assert_eq!(holder.permit(at(9)), permit(false));
    assert_eq!(holder.permit(at(10)), None);
    for second in (5..30).step_by(5) {
        let call = holder.request(at(second)).unwrap();
        holder.answer(call.serial, LeaseAnswer::Renewed, at(second));
    }
    assert_eq!(holder.permit(at(28)), permit(false));
    assert_eq!(holder.permit(at(29)), permit(true));
    let call = holder.request(at(30)).unwrap();
    holder.answer(call.serial - 1, LeaseAnswer::Renewed, at(30));
    assert_eq!(holder.permit(at(35)), None, "a late answer must not renew");
}

/// Guards against a delayed order that undoes the order of a newer holder.
#[test]
fn older_orders_are_refused() {
    let mut check = FencingCheck::default();
    assert!(check.accept(FencingToken(7), 3).is_ok());
    assert!(check.accept(FencingToken(7), 3).is_ok());
    assert!(check.accept(FencingToken(7), 2).is_err());
    assert!(check.accept(FencingToken(8), 1).is_ok());
    assert!(check.accept(FencingToken(7), 9).is_err());
}
