"""Decodes records that others may have written, field by field."""

from __future__ import annotations

from typing import Final, TypeVar

import msgspec

# Deeply nested JSON raises RecursionError.
UNDECODABLE: Final = (msgspec.MsgspecError, RecursionError)

SchemaT = TypeVar("SchemaT", bound=msgspec.Struct)


class RecordError(Exception):
    """A value in the store is invalid.

    Attributes:
        field: Name of the invalid field; empty if the value is no object or
            the fault lies in none of its fields.
    """

    def __init__(self, detail: str, field: str = "") -> None:
        super().__init__(detail)
        self.field = field


def decode_fields(value: bytes, schema: type[SchemaT], name: str) -> SchemaT:
    """Returns the record in `value`; ignores unknown fields.

    Args:
        value: The encoded record.
        schema: Its fields.
        name: What the record is, for the error.

    Raises:
        RecordError: A field is missing or has another type or range.
    """
    try:
        # The decoder skips the bytes of unknown fields unread.
        value.decode()
    except UnicodeDecodeError as exc:
        raise RecordError(f"{name}: {exc}") from exc
    try:
        return msgspec.json.decode(value, type=schema)
    except UNDECODABLE as exc:
        field = _find_invalid_field(value, schema)
        raise RecordError(f"{name}: {exc}", field) from exc


def _find_invalid_field(value: bytes, schema: type[msgspec.Struct]) -> str:
    try:
        found = msgspec.json.decode(value, type=dict[str, msgspec.Raw])
    except UNDECODABLE:
        return ""
    for field in msgspec.structs.fields(schema):
        if field.encode_name not in found:
            if field.required:
                return field.encode_name
            continue
        try:
            msgspec.json.decode(found[field.encode_name], type=field.type)
        except UNDECODABLE:
            return field.encode_name
    return ""
