"""Reads a settings file and turns each fault into a problem."""

from __future__ import annotations

import collections.abc
import difflib
import pathlib
import tomllib
import typing as t

import pydantic
import pydantic_core

from skylarkcleat import problem as problem_lib

Raw = dict[str, t.Any]
Clash = tuple[str, str]
ClashCheck = collections.abc.Callable[[Raw], collections.abc.Iterator[Clash]]

_DETAILS = {
    "missing": "is missing",
    "greater_than_equal": "must be at least {ge}, is {input!r}",
    "less_than_equal": "must be at most {le}, is {input!r}",
    "int_type": "must be a whole number, is {input!r}",
    "float_type": "must be a number, is {input!r}",
    "string_type": "must be a text, is {input!r}",
    "bool_type": "must be true or false, is {input!r}",
    "list_type": "must be a list, is {input!r}",
    "dict_type": "must be a table, is {input!r}",
    "literal_error": "must be {expected}, is {input!r}",
    "string_pattern_mismatch": "must match {pattern}, is {input!r}",
    "too_short": "must have at least {min_length} items, has {actual_length}",
    "too_long": "must have at most {max_length} items, has {actual_length}",
    "value_error": "{error}",
}


def read_table(path: str) -> Raw:
    """Returns a file's tables as TOML gives them.

    Raises:
        SettingsError: The file cannot be read or is not TOML.
    """
    try:
        return tomllib.loads(pathlib.Path(path).read_text("utf-8"))
    except OSError as error:
        detail = f"cannot be read: {error.strerror}"
    except UnicodeDecodeError as error:
        detail = f"is not UTF-8 at byte {error.start}"
    except tomllib.TOMLDecodeError as error:
        detail = f"is not TOML: {error}"
    raise problem_lib.SettingsError([problem_lib.Problem(path, "", detail)])


def find_problems(
    path: str,
    raw: Raw,
    adapter: pydantic.TypeAdapter[t.Any],
    checks: collections.abc.Iterable[ClashCheck],
) -> list[problem_lib.Problem]:
    """Returns every fault of a table, also where several meet.

    Args:
        path: The file's path as it was given.
        raw: The file's tables.
        adapter: The shape that the tables must have.
        checks: What must hold between several keys; each yields key and
            detail, and passes over keys that are absent or of a wrong type.
    """
    problems = []
    try:
        adapter.validate_python(raw)
    except pydantic.ValidationError as error:
        known = _collect_keys(adapter)
        for fault in error.errors(include_url=False):
            key = _join_key(fault["loc"])
            detail = _describe(fault, known)
            problems.append(problem_lib.Problem(path, key, detail))
    faulty = {problem.key for problem in problems}
    for check in checks:
        for key, detail in check(raw):
            if key not in faulty:
                problems.append(problem_lib.Problem(path, key, detail))
    return problems


def find_value(raw: Raw, key: str, kind: type[t.Any]) -> t.Any:
    """Returns the value at a dotted key, or None if it is not of a kind."""
    value: t.Any = raw
    for part in key.split("."):
        if not isinstance(value, dict):
            return None
        value = value.get(part)
    if isinstance(value, bool) and kind is not bool:
        return None
    return value if isinstance(value, kind) else None


def find_tables(raw: Raw, key: str) -> list[tuple[int, Raw]]:
    """Returns the tables of a list of tables with their positions."""
    items = find_value(raw, key, list) or []
    return [(i, item) for i, item in enumerate(items) if isinstance(item, dict)]


def _join_key(loc: tuple[int | str, ...]) -> str:
    key = ""
    for part in loc:
        if isinstance(part, int):
            key += f"[{part}]"
        else:
            key += f".{part}" if key else part
    return key


def _describe(fault: pydantic_core.ErrorDetails, known: set[str]) -> str:
    if fault["type"] == "extra_forbidden":
        return _describe_unknown(str(fault["loc"][-1]), known)
    template = _DETAILS.get(fault["type"])
    if template is None:
        return fault["msg"]
    return template.format(input=fault["input"], **fault.get("ctx", {}))


def _describe_unknown(name: str, known: set[str]) -> str:
    near = difflib.get_close_matches(name, sorted(known), n=1)
    if near:
        return f"is not a known key; did you mean {near[0]!r}?"
    return "is not a known key"


def _collect_keys(adapter: pydantic.TypeAdapter[t.Any]) -> set[str]:
    schema = adapter.json_schema()
    tables = [schema, *schema.get("$defs", {}).values()]
    return {key for table in tables for key in table.get("properties", ())}
