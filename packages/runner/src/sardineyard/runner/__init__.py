"""Client side of the protocols of model runners and plain services."""

from sardineyard.runner.model import ModelRunner
from sardineyard.runner.service import PlainService

Runner = ModelRunner | PlainService

__all__ = ["ModelRunner", "PlainService", "Runner"]
