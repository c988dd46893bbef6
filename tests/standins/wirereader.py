"""Reads statements to upstreams by the pages, apart from the product's reader."""

from gypsum_core.position import Position
from gypsum_sessions.statements import Statement, StatementKind

# Number of fields of each statement; the last one extends to the end of the line.
FIELDS = {
    "BEGIN": (0, 1),
    "COMMIT": (0, 0),
    "ROLLBACK": (0, 0),
    "RESET": (0, 0),
    "STATUS": (0, 0),
    "RESUME": (0, 0),
    "PAUSE": (1, 1),
    "STEPDOWN": (1, 1),
    "READ": (1, 1),
    "WRITE": (2, 2),
    "SET": (2, 2),
    "PREPARE": (3, 3),
    "EXECUTE": (2, 3),
}
KIND_BY_WORD = {
    "RESUME": StatementKind.RESUME_REPLICATION,
    "PAUSE": StatementKind.PAUSE_REPLICATION,
    "STEPDOWN": StatementKind.STEP_DOWN,
}


class NotAllowed(Exception):
    """A statement that the pages do not allow."""


def read_message(line):
    """Id, required position and statement of a QUERY line; raises NotAllowed."""
    word, _, rest = line.partition(" ")
    request, _, text = rest.partition(" ")
    if word != "QUERY" or not request:
        raise NotAllowed(line)
    position = None
    if text.startswith("SYNCTO "):
        _, position, text = text.split(" ", 2)
        term, index = position.split(".")
        position = Position(term=int(term), index=int(index))
    return request, position, read_text(text)


def read_text(text):
    """A statement from its text; raises NotAllowed."""
    word, blank, rest = text.partition(" ")
    least, most = FIELDS.get(word, (None, None))
    if least is None:
        raise NotAllowed(text)
    fields = rest.split(" ", max(most - 1, 0)) if blank else []
    if not least <= len(fields) <= most or any(not item for item in fields[:-1]):
        raise NotAllowed(text)
    kind = KIND_BY_WORD.get(word) or StatementKind(word.lower())
    match word, fields:
        case "BEGIN", [*access]:
            if access not in ([], ["READ"]):
                raise NotAllowed(text)
            return Statement(kind=kind, writes=not access)
        case (("PAUSE" | "STEPDOWN"), [term]):
            return Statement(kind=kind, term=int(term))
        case "SET", [name, value]:
            return Statement(kind=kind, name=name, argument=value)
        case "PREPARE", [name, ("READ" | "WRITE") as access, shape]:
            return Statement(
                kind=kind, name=name, shape=shape, writes=access == "WRITE"
            )
        case "PREPARE", _:
            raise NotAllowed(text)
        case "EXECUTE", [name, *argument]:
            return Statement(kind=kind, name=name, argument=" ".join(argument))
    return Statement(kind=kind, writes=word == "WRITE", text=text)
