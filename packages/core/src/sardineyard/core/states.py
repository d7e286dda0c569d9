"""States that several packages share."""

from enum import Enum, unique


@unique
class ProcessState(Enum):
    """Lifecycle state of a process, which decides whether it accepts requests."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"


@unique
class UpstreamState(Enum):
    """State of an upstream as an entry sees it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    GONE = "gone"


@unique
class FinishReason(Enum):
    """Reason for the end of a completion."""

    STOP = "stop"
    LENGTH = "length"


@unique
class UpstreamKind(Enum):
    """Protocol of an upstream."""

    MODEL_RUNNER = "model_runner"
    PLAIN_SERVICE = "plain_service"


@unique
class ProcessRole(Enum):
    """Role of a process."""

    ENTRY = "entry"
    AGENT = "agent"
