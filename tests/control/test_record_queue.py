"""Tests of the queue of member records."""

from __future__ import annotations

from dataclasses import replace

from gentianbank.control.record_queue import RecordQueue
from gentianbank.domain.member import Member
from gentianbank.domain.member import READY

RECORD = Member(
    vm='vm-1',
    region='east',
    failure_domain='east-1',
    http='10.0.0.1:1',
    peer='10.0.0.1:2',
    incarnation='1',
    generation=1,
    version=1,
    state=READY,
)


def test_records_go_to_all_peers_but_their_source() -> None:
    queue = RecordQueue()
    other = replace(RECORD, vm='vm-2')
    queue.add([RECORD], 'vm-3')
    queue.add([other], None)
    assert queue.take_for(['vm-3', 'vm-4']) == {
        'vm-3': (other,),
        'vm-4': (RECORD, other),
    }
    assert queue.take_for(['vm-3', 'vm-4']) == {}


def test_latest_record_of_a_vm_replaces_earlier_ones() -> None:
    queue = RecordQueue()
    latest = replace(RECORD, version=2)
    queue.add([RECORD], 'vm-3')
    queue.add([latest], 'vm-4')
    assert queue.take_for(['vm-3', 'vm-4']) == {'vm-3': (latest,)}
