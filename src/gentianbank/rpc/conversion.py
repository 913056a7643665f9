"""Conversion between plain documents and protobuf messages.

Fields have the same names in both, so that a message becomes the document
that ``read_configuration`` checks.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from google.protobuf import json_format

from gentianbank.rpc import operators_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message


def to_message(document: dict[str, Any]) -> pb.Configuration:
    """Convert the plain document of a configuration to a message.

    Raises
    ------
    ValueError
        If the document does not fit ``operators.proto``.
    """
    try:
        return json_format.ParseDict(document, pb.Configuration())
    except json_format.ParseError as error:
        raise ValueError(str(error)) from error


def to_document(message: Message) -> dict[str, Any]:
    """Convert a message to a plain document, with all default values."""
    document: dict[str, Any] = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return document
