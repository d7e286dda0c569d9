"""States that several libraries share."""

from enum import Enum, unique


@unique
class ProcessState(Enum):
    """Say whether a process takes new work."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


@unique
class UpstreamState(Enum):
    """Say what an entry believes about an upstream."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@unique
class FinishReason(Enum):
    """Say why a generation ended."""

    STOP = "stop"
    LENGTH = "length"


@unique
class UpstreamKind(Enum):
    """Name the protocol that an upstream speaks."""

    MODEL_RUNNER = "model_runner"
    PLAIN_SERVICE = "plain_service"


@unique
class ProcessRole(Enum):
    """Name what a process of the system does."""

    ENTRY = "entry"
    AGENT = "agent"
