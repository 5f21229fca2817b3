"""Read resource files."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from turmericproxy.configuration.resources import FieldFault, Kind, parse_resource


@dataclass(frozen=True)
class Document:
    """One resource of a file; ``fields`` does not include its kind, name and revision."""

    kind: str
    name: str
    fields: dict[str, Any]


@dataclass(frozen=True)
class DocumentFault:
    """One fault, with its file and document; number 0 stands for the whole file."""

    file: str
    number: int
    fault: FieldFault

    def __str__(self) -> str:
        return f"{self.file}: document {self.number}: {self.fault}"


def read_documents(path: Path) -> tuple[Document, ...] | tuple[DocumentFault, ...]:
    """Return the resources in a YAML file, or all faults in it."""
    try:
        values = list(yaml.safe_load_all(path.read_text(encoding="utf-8")))
    except OSError as error:
        return (_create_fault(path, 0, "file", error.strerror or str(error)),)
    except (yaml.YAMLError, UnicodeDecodeError) as error:
        return (_create_fault(path, 0, "file", " ".join(str(error).split())),)
    numbered = [(n, value) for n, value in enumerate(values, 1) if value is not None]
    faults = tuple(
        DocumentFault(str(path), number, fault)
        for number, value in numbered
        for fault in _check_document(value)
    )
    if faults:
        return faults
    return tuple(_create_document(value) for _, value in numbered)


def _create_fault(path: Path, number: int, field: str, reason: str) -> DocumentFault:
    return DocumentFault(str(path), number, FieldFault(field, reason))


def _create_document(value: dict[str, Any]) -> Document:
    fields = {k: v for k, v in value.items() if k not in ("kind", "name", "revision")}
    return Document(value["kind"], value["name"], fields)


def _check_document(value: Any) -> Iterator[FieldFault]:
    if not isinstance(value, dict):
        yield FieldFault("document", "is not a mapping of fields")
        return
    if not isinstance(value.get("name"), str):
        yield FieldFault("name", "is missing or not a string")
    kinds = [kind.value for kind in Kind]
    if value.get("kind") not in kinds:
        yield FieldFault("kind", f"is not one of {', '.join(kinds)}")
    elif isinstance(value.get("name"), str):
        document = _create_document(value)
        parsed = parse_resource(Kind(document.kind), document.name, document.fields)
        yield from parsed if isinstance(parsed, tuple) else ()
