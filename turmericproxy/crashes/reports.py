"""Keep the reports of a host about ended engines, for the other hosts."""

from collections.abc import Callable

from turmericproxy.crashes.evidence import MAX_REPORTS, EndReport, ModelPart

# Time for which reports are sent again with the full state, since a lost hub may have kept them.
REPEATED_SECONDS = 10.0


class OwnReports:
    """Hold the newest reports with the time of the event loop at which each was written.

    ``is_cleared_since`` returns whether a part was answered after a time; such parts are left out.
    """

    def __init__(self, is_cleared_since: Callable[[ModelPart, float], bool]) -> None:
        self._is_cleared_since = is_cleared_since
        self._reports: list[tuple[float, EndReport]] = []
        self._unsent: list[tuple[float, EndReport]] = []

    def add(self, report: EndReport, now: float) -> None:
        """Add a report, which is to be sent."""
        self._reports.append((now, report))
        del self._reports[:-MAX_REPORTS]
        self._unsent.append((now, report))

    def take_unsent(self, now: float) -> tuple[EndReport, ...]:
        """Return reports that were not sent yet, as many as fit into a message."""
        taken = self._unsent[:MAX_REPORTS]
        del self._unsent[:MAX_REPORTS]
        return tuple(self._age(report, at, now) for at, report in taken)

    def list_all(self, now: float) -> tuple[EndReport, ...]:
        """Return all reports, for a host that has started."""
        return tuple(self._age(report, at, now) for at, report in self._reports)

    def list_recent(self, now: float) -> tuple[EndReport, ...]:
        """Return the reports that are repeated with the full state."""
        recent = [(at, r) for at, r in self._reports if now - at < REPEATED_SECONDS]
        return tuple(self._age(report, at, now) for at, report in recent)

    def _age(self, report: EndReport, at: float, now: float) -> EndReport:
        """Return a report as of now."""
        prompts = []
        for prompt in report.prompts:
            parts = tuple(
                part
                for part in prompt.parts
                if not self._is_cleared_since(ModelPart(prompt.model, part), at)
            )
            if parts:
                prompts.append(prompt._replace(parts=parts, seconds=prompt.seconds + now - at))
        return report._replace(seconds=report.seconds + now - at, prompts=tuple(prompts))
