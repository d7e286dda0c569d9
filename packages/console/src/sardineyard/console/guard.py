"""Protection against cross-site request forgery and DNS rebinding."""

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


class CrossSiteGuard:
    """Check of requests against cross-site forgery, with a token per process."""

    def __init__(self) -> None:
        self.token = secrets.token_urlsafe(_TOKEN_BYTES)

    def refusal_reason(self, request: HttpRequest) -> str | None:
        """Return the reason to refuse a request, or None.

        Another site can make its own host name resolve to 127.0.0.1 (DNS rebinding)
        and so reach the console. Host names other than localhost are therefore refused.
        """
        host = request.headers.get("host", "")
        if not _is_local_name(host):
            return "the Host header must be an IP address or localhost"
        origin = request.headers.get("origin")
        if origin is not None and urlsplit(origin).netloc != host:
            return "the request comes from another site"
        is_cross_origin = request.headers.get("sec-fetch-site") in (
            "cross-site",
            "same-site",
        )
        if is_cross_origin and request.method != "GET":
            return "the request comes from another site"
        return None

    def form_refusal_reason(self, form: Mapping[str, str]) -> str | None:
        """Return the reason to refuse a form, or None."""
        token = form.get(TOKEN_FIELD, "").encode()
        if not secrets.compare_digest(token, self.token.encode()):
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
