"""Split of a route's requests between services by weight."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from gentianbank.domain.route_table import SplitPart


@dataclass(slots=True)
class WeightedRoundRobin:
    """Smooth weighted round robin, which keeps shares in short spans too."""

    _credit: dict[str, float] = field(default_factory=dict)

    def choose(self, parts: tuple[SplitPart, ...]) -> str:
        """Return the service for the next request."""
        if len(parts) == 1:
            return parts[0].service
        total = sum(part.weight for part in parts)
        credit = {
            part.service: self._credit.get(part.service, 0.0)
            + part.weight / total
            for part in parts
            if part.weight > 0
        }
        chosen = max(credit, key=lambda service: credit[service])
        credit[chosen] -= 1.0
        self._credit = credit
        return chosen
