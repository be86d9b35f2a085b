"""Room that bodies reserve."""

from __future__ import annotations

from knapweedwharf import errors
from knapweedwharf.web import body as body_module

SHARE = body_module.SHARE_BYTES


def _body(budget: body_module.BodyBudget) -> body_module.Body:
    return body_module.Body(budget=budget, max_bytes=SHARE + 1_000)


def test_a_small_body_needs_no_room():
    budget = body_module.BodyBudget(1_000)
    _body(budget).reserve_up_to(SHARE + 1_000).unwrap()
    small = _body(budget)
    small.add(b"x" * SHARE).unwrap()
    assert isinstance(small.add(b"x").failure(), errors.DidNotRun)
    assert small.take() == b"x" * SHARE


def test_a_body_that_was_taken_keeps_its_room_until_it_is_released():
    budget = body_module.BodyBudget(1_000)
    body = _body(budget)
    body.add(b"x" * (SHARE + 600)).unwrap()
    assert len(body.take()) == SHARE + 600
    assert body.take() == b""
    assert budget.reserved_bytes == 600
    body.release()
    body.release()
    assert budget.reserved_bytes == 0


def test_a_body_over_its_limit_is_too_large():
    body = _body(body_module.BodyBudget(10_000))
    assert isinstance(
        body.reserve_up_to(SHARE + 1_001).failure(), errors.TooLarge
    )
    body.add(b"x" * (SHARE + 1_000)).unwrap()
    assert isinstance(body.add(b"x").failure(), errors.TooLarge)


def test_room_is_made_where_the_limit_is_reached():
    budget = body_module.BodyBudget(1_000)
    first = _body(budget)
    budget.set_make_room(lambda _count: first.release())
    first.reserve_up_to(SHARE + 700).unwrap()
    _body(budget).reserve_up_to(SHARE + 800).unwrap()
    assert budget.reserved_bytes == 800
