"""Mean load over a window."""

from __future__ import annotations

from gentianbank.policy.fair_shares.load_samples import LoadSamples
from gentianbank.policy.fair_shares.load_samples import SAMPLE_PERIOD_MS


def test_mean_starts_again_with_each_window() -> None:
    samples = LoadSamples()
    assert samples.pop_mean() is None
    samples.add(1.0, 0.0)
    samples.add(2.0, SAMPLE_PERIOD_MS)
    assert samples.pop_mean() == 1.5
    assert samples.pop_mean() is None


def test_samples_are_not_taken_at_every_tick() -> None:
    samples = LoadSamples()
    samples.add(1.0, 0.0)
    assert not samples.is_due(SAMPLE_PERIOD_MS - 1.0)
    assert samples.is_due(SAMPLE_PERIOD_MS)
