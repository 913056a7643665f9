"""Mutants of the handling of restores that the machine must catch."""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from typing import TYPE_CHECKING

from gentianbank.steering.store_following import store_sync
from gentianbank.steering.store_following.catch_up import StoreCatchUp
from gentianbank.steering.store_following.catch_up import StoreChanges
from gentianbank.steering.store_following.catch_up import StoreChangesRequest
from gentianbank.steering.store_following.following import StoreFollowing
from gentianbank.steering.store_following.store_sync import StoreSync
from tests.steering.store_following.test_machine import catch

if TYPE_CHECKING:
    import pytest

    from gentianbank.steering.store_following.messages import StoreUpdate
    from gentianbank.storage.prefix_store import Changes
    from gentianbank.storage.prefix_store import Listing


def test_mutant_that_ignores_the_era_in_a_watch_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def is_older(
        answer: Changes | Listing, held_era: int, held_revision: int
    ) -> bool:
        return answer.revision < held_revision

    monkeypatch.setattr(store_sync, '_is_other_history', is_older)
    catch('copy differs|copy went back')


def test_mutant_that_ignores_the_era_of_a_follower_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    on_update = StoreFollowing._on_update

    def take_for_own(self: Any, vm: str, update: StoreUpdate) -> None:
        on_update(self, vm, replace(update, era=self._sync.era))

    monkeypatch.setattr(StoreFollowing, '_on_update', take_for_own)
    catch('copy differs|copy went back|age of the copy')


def test_mutant_that_ignores_the_era_of_a_peer_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    on_message = StoreCatchUp.on_message

    def take_for_own(
        self: Any, vm: str, message: StoreChanges | StoreChangesRequest
    ) -> None:
        on_message(self, vm, replace(message, era=self._sync.era))

    monkeypatch.setattr(StoreCatchUp, 'on_message', take_for_own)
    catch('copy differs|copy went back')


def test_mutant_that_hands_on_changes_of_an_earlier_era_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def forget_none(self: Any, revision: int) -> None:
        self._recent_after_revision = min(
            revision, self._recent_after_revision
        )

    monkeypatch.setattr(StoreSync, '_forget_changes', forget_none)
    catch('copy differs')


def test_mutant_that_trusts_confirmations_of_an_earlier_era_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def trust(self: Any, vm: str, update: StoreUpdate) -> None:
        self._trust.confirm(vm, update.confirmed_ms)
        self._ask(vm, update, self._boot_clock())
        self._update_role(self._boot_clock())

    monkeypatch.setattr(StoreFollowing, '_on_other_era', trust)
    catch('change late')


def test_mutant_whose_listing_does_not_change_the_era_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    apply_listing = StoreSync._apply_listing

    def keep_era(self: Any, listing: Listing) -> None:
        era = self._era
        apply_listing(self, listing)
        self._era = era or listing.era

    monkeypatch.setattr(StoreSync, '_apply_listing', keep_era)
    catch('copy differs|copy went back')


def test_mutant_that_takes_the_operators_keys_for_changes_is_caught(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def apply(self: Any, values: Changes) -> None:
        if values.era == self._era:
            self._apply_changes(values)
            return
        replace_values(self, values)

    def is_news(self: Any, answer: StoreChanges) -> bool:
        held = self._sync.era, self._sync.revision
        return (answer.era, answer.revision) > held

    replace_values = StoreSync.replace_operator_values
    monkeypatch.setattr(StoreSync, 'replace_operator_values', apply)
    monkeypatch.setattr(StoreCatchUp, '_is_news', is_news)
    catch('copy differs', 2_000)
