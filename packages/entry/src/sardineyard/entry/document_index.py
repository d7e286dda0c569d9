"""Look-ups of teams, priorities, services and models in one document."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError

if TYPE_CHECKING:
    from returns.result import Result

    from sardineyard.core.ids import ModelName
    from sardineyard.document.model import Document, Priority, Service, Team

_BEARER = "bearer "


class DocumentIndex:
    """Index of one document, used to admit and dispatch requests of callers."""

    def __init__(self, document: Document) -> None:
        self._teams = {team.key_sha256: team for team in document.teams}
        self._priorities = {priority.name: priority for priority in document.priorities}
        self._services = {service.name: service for service in document.services}
        self._models = sorted(
            {model for upstream in document.upstreams for model in upstream.models}
        )

    @property
    def models(self) -> list[ModelName]:
        """Return the names of the models that upstreams serve."""
        return self._models

    def team(self, authorization: str) -> Result[Team, RequestError]:
        """Return the team of the bearer key in an Authorization header."""
        if authorization[: len(_BEARER)].lower() == _BEARER:
            key = authorization[len(_BEARER) :].strip()
            team = self._teams.get(hashlib.sha256(key.encode()).hexdigest())
            if team is not None:
                return Success(team)
        return Failure(RequestError(ErrorKind.UNAUTHENTICATED))

    def priority(self, name: str) -> Result[Priority, RequestError]:
        """Return a priority by its name."""
        for known, priority in self._priorities.items():
            if known == name:
                return Success(priority)
        allowed = ", ".join(self._priorities)
        return Failure(
            RequestError(ErrorKind.UNKNOWN_PRIORITY, f"{name!r}; allowed: {allowed}")
        )

    def service(self, name: str) -> Result[Service, RequestError]:
        """Return a plain service by its name."""
        for known, service in self._services.items():
            if known == name:
                return Success(service)
        return Failure(RequestError(ErrorKind.NOT_FOUND, f"no service {name!r}"))
