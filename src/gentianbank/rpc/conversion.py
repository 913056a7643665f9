"""Conversion between documents and messages of the schema file.

Fields have the same names on both sides, so a message passes through its
plain document, which the checks of the domain read.
"""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING

from google.protobuf import json_format

from gentianbank.rpc import operators_pb2 as pb

if TYPE_CHECKING:
    from google.protobuf.message import Message


def to_message(document: dict[str, Any]) -> pb.Configuration:
    """Return the message of a configuration's document.

    Raises
    ------
    ValueError
        If the document does not fit the schema file.
    """
    try:
        return json_format.ParseDict(document, pb.Configuration())
    except json_format.ParseError as error:
        raise ValueError(str(error)) from error


def to_document(message: Message) -> dict[str, Any]:
    """Return the plain document of a message."""
    document: dict[str, Any] = json_format.MessageToDict(
        message,
        preserving_proto_field_name=True,
        always_print_fields_with_no_presence=True,
    )
    return document
