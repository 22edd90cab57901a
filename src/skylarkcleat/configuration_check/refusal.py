"""Decodes a document as a front does, or says why a front refuses it."""

from __future__ import annotations

from skylarkcleat.configuration import content
from skylarkcleat.configuration_check import findings
from skylarkcleat.http_limits import limits
from skylarkcleat.platform import configuration_body
from skylarkcleat.platform import configuration_place


class RefusedError(Exception):
    """Fronts refuse the document.

    Attributes:
        finding: The reason, as an error.
    """

    def __init__(self, text: str, line: int = 0) -> None:
        super().__init__(text)
        severity = findings.Severity.ERROR
        entry = findings.Entry()
        self.finding = findings.Finding(severity, entry, text, "", line)


def decode_document(body: bytes) -> content.Configuration:
    """Decodes a document by the rules of the front that receives it.

    Raises:
        RefusedError: Fronts refuse it.
    """
    if len(body) > limits.CONTROL_BODY_BYTES:
        raise RefusedError(
            f"a front reads no more than {limits.CONTROL_BODY_BYTES} bytes"
        )
    try:
        configuration = configuration_body.decode_configuration(body)
        content.encode(configuration)
    except configuration_body.ConfigurationError as error:
        line = configuration_place.find_error_line(body, error)
        raise RefusedError(str(error), line) from error
    except content.ContentError as error:
        raise RefusedError(str(error)) from error
    return configuration
