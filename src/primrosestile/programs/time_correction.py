"""The service that follows the VM's time of day and logs its corrections."""

import structlog

from primrosestile.clock import follow_time_of_day

_log = structlog.get_logger()


async def follow_vm_clock() -> None:
    """Adopt changes of the VM's time of day until cancelled."""
    await follow_time_of_day(_log_correction)


def _log_correction(seconds: float) -> None:
    _log.warning("time_of_day_corrected", seconds=round(seconds, 3))
