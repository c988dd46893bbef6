"""Reading, comparing and storing manifests."""

import json
from pathlib import Path

from gypsum_model.errors import UserError
from gypsum_model.manifest import parse_manifest

KIND = "databases"


def read_manifest(path):
    """A checked manifest from a file."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise UserError(exc.strerror or str(exc), step="read", peer=str(path)) from None
    return parse_manifest(text, source=str(path))


def flatten(data, prefix=""):
    """A nested document as `path: value`, list items by their id or name."""
    if isinstance(data, dict):
        flat = {}
        for key, value in data.items():
            flat.update(flatten(value, f"{prefix}.{key}" if prefix else key))
        return flat
    if isinstance(data, list):
        flat = {}
        for place, item in enumerate(data):
            name = place
            if isinstance(item, dict):
                name = item.get("id") or item.get("name") or place
            flat.update(flatten(item, f"{prefix}[{name}]"))
        return flat
    return {prefix: data}


def plain(manifest):
    """A manifest as a plain document, without what apply adds."""
    document = json.loads(manifest.model_dump_json())
    document.pop("applied_by", None)
    return document


def differences(old, new):
    """Lines that say what changes from one manifest to another (None: absent)."""
    before = flatten(plain(old)) if old else {}
    after = flatten(plain(new)) if new else {}
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

    What goes wrong without it: a group whose members are swapped all at once has
    majorities before and after the change that share no member, so the new ones
    can elect a primary that lacks what the old ones confirmed.
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
