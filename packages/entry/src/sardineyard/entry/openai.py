"""OpenAI-compatible completion API: request bodies, responses and stream events."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec
from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError

if TYPE_CHECKING:
    from returns.result import Result

DEFAULT_MAX_TOKENS = 256
_MAX_OUTPUT_TOKENS = 32_768


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of the conversation in a chat completion request."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Body of a chat completion request."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    # Number of choices to generate; only 1 is supported.
    n: int = 1

    @property
    def prompt(self) -> str:
        """Return the conversation as one prompt, one line for each message."""
        return "\n".join(
            f"{message.role}: {message.content}" for message in self.messages
        )


class TextBody(msgspec.Struct, frozen=True):
    """Body of a text completion request."""

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    # Number of choices to generate; only 1 is supported.
    n: int = 1


Completion = ChatBody | TextBody
ResponseObject = Literal["chat.completion", "chat.completion.chunk", "text_completion"]


def parse_completion(
    body: bytes, body_type: type[Completion]
) -> Result[Completion, RequestError]:
    """Decode and validate the body of a completion request."""
    try:
        completion = msgspec.json.decode(body, type=body_type)
    except msgspec.MsgspecError as error:
        return Failure(RequestError(ErrorKind.BAD_REQUEST, str(error)))
    if not 0 < completion.max_tokens <= _MAX_OUTPUT_TOKENS:
        detail = f"max_tokens must be between 1 and {_MAX_OUTPUT_TOKENS}"
        return Failure(RequestError(ErrorKind.BAD_REQUEST, detail))
    if completion.n != 1:
        return Failure(RequestError(ErrorKind.BAD_REQUEST, "n must be 1"))
    return Success(completion)


class _Message(msgspec.Struct, omit_defaults=True):
    content: str = ""
    role: str = ""


class Choice(msgspec.Struct, omit_defaults=True):
    """One choice of a completion response."""

    index: int
    finish_reason: str | None
    text: str | None = None
    delta: _Message | None = None
    message: _Message | None = None


class Usage(msgspec.Struct):
    """Token usage of a completion response."""

    completion_tokens: int


class CompletionResponse(msgspec.Struct, omit_defaults=True):
    """Body of a complete completion response, or data of one streamed chunk."""

    id: str
    object: ResponseObject
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage | None = None


class ResponseEncoder:
    """Encodes the response of one completion, complete or in chunks."""

    def __init__(
        self, request_id: str, model: str, created: int, *, is_chat: bool
    ) -> None:
        self._id = request_id
        self._model = model
        self._created = created
        self._is_chat = is_chat

    def chunk(self, text: str, finish_reason: str | None = None) -> bytes:
        """Return the server-sent event of one chunk."""
        choice = Choice(0, finish_reason)
        if self._is_chat:
            choice.delta = _Message(content=text)
        else:
            choice.text = text
        object_type: ResponseObject = (
            "chat.completion.chunk" if self._is_chat else "text_completion"
        )
        return _event(msgspec.json.encode(self._response(object_type, choice)))

    def complete_body(self, text: str, finish_reason: str, tokens: int) -> bytes:
        """Return the body of a complete, not streamed response."""
        choice = Choice(0, finish_reason)
        if self._is_chat:
            choice.message = _Message(role="assistant", content=text)
        else:
            choice.text = text
        object_type: ResponseObject = (
            "chat.completion" if self._is_chat else "text_completion"
        )
        response = self._response(object_type, choice)
        response.usage = Usage(tokens)
        return msgspec.json.encode(response)

    def _response(
        self,
        object_type: ResponseObject,
        choice: Choice,
    ) -> CompletionResponse:
        return CompletionResponse(
            id=self._id,
            object=object_type,
            created=self._created,
            model=self._model,
            choices=(choice,),
        )


def _event(data: bytes) -> bytes:
    return b"data: " + data + b"\n\n"


def error_event(problem: bytes) -> bytes:
    """Return the server-sent event that ends a stream with an error."""
    return b"event: error\n" + _event(problem)


DONE_EVENT = b"data: [DONE]\n\n"
