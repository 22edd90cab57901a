"""Parses and validates the body of a request that applies a profile."""

from __future__ import annotations

import typing as t

import pydantic
import typing_extensions as te

from skylarkcleat.directory import admin_problem
from skylarkcleat.model import profile as profile_lib

MAX_UPSTREAMS = 64
MAX_ATTEMPTS = 10
MAX_WEIGHT = 1_000
MAX_DEADLINE_MS = 3_600_000

NAME_PATTERN = r"^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$"

_Name = t.Annotated[str, pydantic.Field(pattern=NAME_PATTERN)]


@pydantic.with_config(pydantic.ConfigDict(strict=True, extra="forbid"))
class ProfileBody(te.TypedDict):
    """A profile without its name and version."""

    upstreams: t.Annotated[
        list[_Name], pydantic.Field(min_length=1, max_length=MAX_UPSTREAMS)
    ]
    urgency: te.NotRequired[
        t.Annotated[
            int,
            pydantic.Field(
                ge=profile_lib.MIN_URGENCY, le=profile_lib.MAX_URGENCY
            ),
        ]
    ]
    idempotent: te.NotRequired[bool]
    weight: te.NotRequired[
        t.Annotated[int, pydantic.Field(ge=1, le=MAX_WEIGHT)]
    ]
    deadline_ms: te.NotRequired[
        t.Annotated[int, pydantic.Field(ge=1, le=MAX_DEADLINE_MS)]
    ]
    max_attempts: te.NotRequired[
        t.Annotated[int, pydantic.Field(ge=1, le=MAX_ATTEMPTS)]
    ]
    team: te.NotRequired[_Name]


class InvalidBodyError(ValueError):
    """A body that is not a valid profile.

    Attributes:
        faults: All faults in the body.
    """

    def __init__(self, faults: list[admin_problem.BodyFault]):
        super().__init__(f"{len(faults)} faults in the body")
        self.faults = faults


_BODY = pydantic.TypeAdapter(ProfileBody)
_NAME = pydantic.TypeAdapter(_Name)


def is_name(text: str) -> bool:
    """Returns whether a text is a valid profile name."""
    try:
        _NAME.validate_python(text)
    except pydantic.ValidationError:
        return False
    return True


def parse_profile(name: str, body: bytes) -> profile_lib.Profile:
    """Returns the profile that a body describes, with version 0.

    Raises:
        InvalidBodyError: The body is invalid; lists all of its faults.
    """
    try:
        fields = _BODY.validate_json(body)
    except pydantic.ValidationError as error:
        raise InvalidBodyError(
            [
                admin_problem.BodyFault(
                    ".".join(map(str, fault["loc"])), fault["msg"]
                )
                for fault in error.errors(include_url=False)
            ]
        ) from error
    fields["upstreams"] = tuple(dict.fromkeys(fields["upstreams"]))
    return profile_lib.Profile(name, 0, **fields)
