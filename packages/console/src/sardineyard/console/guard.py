"""Protection of the forms against requests that another site causes."""

from __future__ import annotations

import secrets
from ipaddress import ip_address
from typing import TYPE_CHECKING
from urllib.parse import urlsplit

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sardineyard.httpio.messages import HttpRequest

TOKEN_FIELD = "form_token"
_TOKEN_BYTES = 32


class Guard:
    """Hold the token of this process and judge requests."""

    def __init__(self) -> None:
        self.token = secrets.token_urlsafe(_TOKEN_BYTES)

    def refuses(self, request: HttpRequest) -> str | None:
        """Return why a request is refused, or None.

        A page of another site can reach a loopback address under its own name, which
        it resolves to 127.0.0.1. Hosts that are names are refused for that reason.
        """
        host = request.headers.get("host", "")
        if not _is_local_name(host):
            return "the Host header must be an IP address or localhost"
        origin = request.headers.get("origin")
        if origin is not None and urlsplit(origin).netloc != host:
            return "the request comes from another site"
        elsewhere = request.headers.get("sec-fetch-site") in ("cross-site", "same-site")
        if elsewhere and request.method != "GET":
            return "the request comes from another site"
        return None

    def refuses_form(self, form: Mapping[str, str]) -> str | None:
        """Return why a form is refused, or None."""
        given = form.get(TOKEN_FIELD, "").encode()
        if not secrets.compare_digest(given, self.token.encode()):
            return "the form is from an earlier run of the console; open it again"
        return None


def _is_local_name(host: str) -> bool:
    name = urlsplit(f"//{host}").hostname or ""
    if name == "localhost":
        return True
    try:
        ip_address(name)
    except ValueError:
        return False
    return True
