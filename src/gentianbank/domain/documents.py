"""Safe loading of YAML documents."""

from __future__ import annotations

from typing import Any

from expression import Error
from expression import Ok
from expression import Result
import yaml

from gentianbank.domain.errors import FieldError
from gentianbank.domain.errors import InvalidDocument

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024


class _StrictLoader(yaml.SafeLoader):
    """Safe loader that rejects duplicate or non-text keys, and aliases."""

    def compose_node(self, parent: Any, index: Any) -> Any:
        if self.check_event(yaml.events.AliasEvent):
            event = self.peek_event()  # type: ignore[no-untyped-call]
            raise yaml.MarkedYAMLError(
                problem='aliases are not allowed',
                problem_mark=event.start_mark,
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node: Any, deep: bool = False) -> Any:
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if not isinstance(key, str) or key in seen:
                raise yaml.MarkedYAMLError(
                    problem=f'duplicate or complex key {key!r:.60}',
                    problem_mark=key_node.start_mark,
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def load_yaml(data: bytes | str, source: str) -> Result[Any, InvalidDocument]:
    """Load one YAML document.

    Parameters
    ----------
    data
        Text of the document, at most ``MAX_DOCUMENT_BYTES`` long.
    source
        Name of the file, for errors.

    Returns
    -------
    Result
        The document as mappings, lists and scalars, or the line and cause
        of the error.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        cause = f'{len(data)} bytes are over {MAX_DOCUMENT_BYTES}'
        return _invalid_document(source, '(document)', cause)
    try:
        return Ok(yaml.load(data, Loader=_StrictLoader))
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        location = f'line {mark.line + 1}' if mark else '(document)'
        return _invalid_document(source, location, str(error.problem))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        return _invalid_document(source, '(document)', str(error))


def _invalid_document(
    source: str, path: str, cause: str
) -> Result[Any, InvalidDocument]:
    return Error(InvalidDocument(source, (FieldError(path, cause),)))
