"""All models, by name."""

from specification import (
    answers,
    cancelling,
    claims,
    drain,
    fleet_lease,
    fleet_task,
    gang_lease,
    gang_start,
    leaving,
    moving,
    restart,
    settings,
    submission,
)
from specification.explore import Model

MODELS: dict[str, Model] = {
    module.MODEL.name: module.MODEL
    for module in (
        gang_start,
        gang_lease,
        moving,
        claims,
        submission,
        cancelling,
        answers,
        settings,
        restart,
        drain,
        leaving,
        fleet_task,
        fleet_lease,
    )
}
