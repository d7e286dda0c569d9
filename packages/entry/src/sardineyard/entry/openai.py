"""The completion protocol that callers of model engines use."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec
from returns.result import Failure, Success

from sardineyard.core.errors import ErrorKind, RequestError

if TYPE_CHECKING:
    from returns.result import Result

DEFAULT_MAX_TOKENS = 256
_LONGEST_ANSWER_TOKENS = 32_768


class ChatMessage(msgspec.Struct, frozen=True):
    """Decode one message of a conversation."""

    role: str
    content: str


class ChatBody(msgspec.Struct, frozen=True):
    """Decode the body of a chat completion."""

    model: str
    messages: tuple[ChatMessage, ...]
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    # Choices that are asked for; a generation makes one.
    n: int = 1

    @property
    def prompt(self) -> str:
        """Return the conversation as one prompt."""
        return "\n".join(f"{turn.role}: {turn.content}" for turn in self.messages)


class TextBody(msgspec.Struct, frozen=True):
    """Decode the body of a text completion."""

    model: str
    prompt: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False
    # Choices that are asked for; a generation makes one.
    n: int = 1


Completion = ChatBody | TextBody
AnswerKind = Literal["chat.completion", "chat.completion.chunk", "text_completion"]


def parse_completion(
    body: bytes, kind: type[Completion]
) -> Result[Completion, RequestError]:
    """Decode and check the body of a completion."""
    try:
        completion = msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        return Failure(RequestError(ErrorKind.BAD_REQUEST, str(error)))
    if not 0 < completion.max_tokens <= _LONGEST_ANSWER_TOKENS:
        detail = f"max_tokens must be between 1 and {_LONGEST_ANSWER_TOKENS}"
        return Failure(RequestError(ErrorKind.BAD_REQUEST, detail))
    if completion.n != 1:
        return Failure(RequestError(ErrorKind.BAD_REQUEST, "n must be 1"))
    return Success(completion)


class _Message(msgspec.Struct, omit_defaults=True):
    content: str = ""
    role: str = ""


class Choice(msgspec.Struct, omit_defaults=True):
    """Encode one choice of a completion."""

    index: int
    finish_reason: str | None
    text: str | None = None
    delta: _Message | None = None
    message: _Message | None = None


class Usage(msgspec.Struct):
    """Encode the number of tokens of an answer."""

    completion_tokens: int


class CompletionAnswer(msgspec.Struct, omit_defaults=True):
    """Encode a whole completion or one chunk of it."""

    id: str
    object: AnswerKind
    created: int
    model: str
    choices: tuple[Choice, ...]
    usage: Usage | None = None


class Renderer:
    """Encode the answer of one completion."""

    def __init__(
        self, request_id: str, model: str, created: int, *, is_chat: bool
    ) -> None:
        self._id = request_id
        self._model = model
        self._created = created
        self._is_chat = is_chat

    def chunk(self, text: str, finish_reason: str | None = None) -> bytes:
        """Return one server-sent event with tokens."""
        choice = Choice(0, finish_reason)
        if self._is_chat:
            choice.delta = _Message(content=text)
        else:
            choice.text = text
        kind: AnswerKind = (
            "chat.completion.chunk" if self._is_chat else "text_completion"
        )
        return _event(msgspec.json.encode(self._answer(kind, choice)))

    def whole(self, text: str, finish_reason: str, tokens: int) -> bytes:
        """Return the body of a whole answer."""
        choice = Choice(0, finish_reason)
        if self._is_chat:
            choice.message = _Message(role="assistant", content=text)
        else:
            choice.text = text
        kind: AnswerKind = "chat.completion" if self._is_chat else "text_completion"
        answer = self._answer(kind, choice)
        answer.usage = Usage(tokens)
        return msgspec.json.encode(answer)

    def _answer(
        self,
        kind: AnswerKind,
        choice: Choice,
    ) -> CompletionAnswer:
        return CompletionAnswer(
            id=self._id,
            object=kind,
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
