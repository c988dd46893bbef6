"""Reading and comparing manifests."""

import json
from pathlib import Path

from gypsum_model.errors import UserError
from gypsum_model.manifest import parse_manifest

OBJECT_KIND = "databases"


def read_manifest(path):
    """Read and validate a manifest file; raises UserError."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise UserError(exc.strerror or str(exc), step="read", peer=str(path)) from None
    return parse_manifest(text, source=str(path))


def flatten(data, prefix=""):
    """Flatten a document to `{path: value}`; list items are keyed by id or name."""
    if isinstance(data, dict):
        flat = {}
        for key, value in data.items():
            flat.update(flatten(value, f"{prefix}.{key}" if prefix else key))
        return flat
    if isinstance(data, list):
        flat = {}
        for position, item in enumerate(data):
            name = position
            if isinstance(item, dict):
                name = item.get("id") or item.get("name") or position
            flat.update(flatten(item, f"{prefix}[{name}]"))
        return flat
    return {prefix: data}


def to_document(manifest):
    """Convert a manifest to a JSON document, without the field that `apply` adds."""
    document = json.loads(manifest.model_dump_json())
    document.pop("applied_by", None)
    return document


def differences(old, new):
    """Return a line for each difference between two manifests (None: absent)."""
    before = flatten(to_document(old)) if old else {}
    after = flatten(to_document(new)) if new else {}
    lines = []
    for path in sorted(before.keys() | after.keys()):
        if path not in after:
            lines.append(f"- {path}: {before[path]}")
        elif path not in before:
            lines.append(f"+ {path}: {after[path]}")
        elif before[path] != after[path]:
            lines.append(f"~ {path}: {before[path]} -> {after[path]}")
    return lines


def check_change(old, new):
    """Refuse a change that could lose confirmed writes.

    If all members of a group are replaced at once, a majority before the change and one
    after it need not share a member. The new members could then elect a primary that
    lacks writes which the old ones confirmed.
    """
    if old is None:
        return
    before = {item.id for item in old.upstreams}
    after = {item.id for item in new.upstreams}
    if len(before ^ after) > 1:
        raise UserError(
            "changes more than one upstream; add or remove them one at a time",
            step="check",
            peer=new.database,
        )
