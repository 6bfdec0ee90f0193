"""Each program follows its VM's time of day, and says so when that was corrected."""

import structlog

from primrosestile.clock import follow_time_of_day

_log = structlog.get_logger()


async def keep_time() -> None:
    """Follow the VM's time of day until cancelled."""
    await follow_time_of_day(_note_correction)


def _note_correction(seconds: float) -> None:
    _log.warning("time_of_day_corrected", seconds=round(seconds, 3))
