"""Settings files: JSON documents that are validated against a schema."""

import dataclasses
import json
import pathlib
import typing as t

import jsonschema
from result import Err
from result import Ok
from result import Result


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """One validation error of a document.

    :param path: JSON path of the invalid value, such as
        ``$.limits.max_body_bytes``.
    :param expected: description of the expected value, or the message of
        the failed check.
    """

    path: str
    expected: str

    def __str__(self) -> str:
        return f'{self.path}: {self.expected}'


def read(
    path: pathlib.Path, schema: dict[str, t.Any]
) -> Result[dict[str, t.Any], list[Problem]]:
    """Read a settings file and validate it.

    :param schema: JSON schema, draft 2020-12.
    :return: the document, or all its validation errors.
    """
    try:
        text = path.read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        return Err(
            [
                Problem(
                    '$', f'a readable UTF-8 file, but reading failed: {error}'
                )
            ]
        )
    return parse(text, schema)


def parse(
    text: str | bytes, schema: dict[str, t.Any]
) -> Result[dict[str, t.Any], list[Problem]]:
    """Parse JSON text and validate it against a schema."""
    try:
        document = json.loads(text)
        problems = check(document, schema)
    except (ValueError, RecursionError) as error:
        return Err([Problem('$', f'valid JSON, but parsing failed: {error}')])
    if problems:
        return Err(problems)
    return Ok(document)


def check(document: t.Any, schema: dict[str, t.Any]) -> list[Problem]:
    """Return all validation errors of a document, ordered by path."""
    validator = jsonschema.Draft202012Validator(schema)
    problems = [_describe(error) for error in validator.iter_errors(document)]
    return sorted(problems, key=lambda problem: problem.path)


def _describe(error: jsonschema.ValidationError) -> Problem:
    return Problem(error.json_path, error.message)
