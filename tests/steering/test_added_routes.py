"""Tests of routes that are added to a service in use."""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.support.steering import Path
from tests.support.steering import READ

ANSWERS = 60
NEW = replace(READ, name='new', prefix='/new/')
NO_OBJECT = {'key': ''}


@pytest.mark.parametrize('own_answers', [0, 1, 5])
def test_route_added_to_a_busy_service_waits_like_the_others(
    own_answers: int,
) -> None:
    # Its first guess never let it wait, so it was refused for good.
    path = Path(targets=1)
    path.put_table(2, READ, NEW)
    for _ in range(ANSWERS):
        assert path.ask(**NO_OBJECT).status == 200
    for _ in range(own_answers):
        assert path.ask(**NO_OBJECT, path='/new/1').status == 200
    replies = path.ask_many(
        [NO_OBJECT, NO_OBJECT, NO_OBJECT | {'path': '/new/1'}]
    )
    assert [reply.status for reply in replies] == [200, 200, 200]
