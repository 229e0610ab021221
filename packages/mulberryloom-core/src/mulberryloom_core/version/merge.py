"""Merges two documents that diverged from a common ancestor.

Documents diverge when the store is restored from an older state: some
accepted tickets are then held by processes only, while further ones are
accepted on top of the restored document. Each object is taken from the
document where its ticket number is higher, as if all tickets had been
applied one after the other.
"""

import dataclasses

from . import document as document_


def merge(
    left: document_.Document, right: document_.Document
) -> document_.Document:
    """Return a document with the tickets of both.

    :return: the document of the higher version itself, if it covers the
        other one; else a document with a version above both.
    """
    newer, older = (
        (left, right) if left.version >= right.version else (right, left)
    )
    newer_covers = covers(newer, older)
    older_covers = covers(older, newer)
    if newer_covers and (older_covers or newer.version > older.version):
        return newer
    if newer_covers:
        return _with_version(newer, newer.version + 1)
    if older_covers:
        return _with_version(older, newer.version + 1)
    return _merge_diverged(newer, older)


def covers(document: document_.Document, other: document_.Document) -> bool:
    """Return whether ``document`` holds all changes of ``other``."""
    return all(
        _covers_kind(document, other, kind) for kind in document_.CLASS_BY_KIND
    )


def _covers_kind(
    document: document_.Document, other: document_.Document, kind: str
) -> bool:
    numbers = document.ticket_numbers(kind)
    objects, other_objects = document.objects(kind), other.objects(kind)
    for name, other_number in other.ticket_numbers(kind).items():
        number = numbers.get(name, document.floor)
        if other_number > number:
            return False
        if other_number == number and (
            objects.get(name) != other_objects.get(name)
        ):
            return False
    return True


def _with_version(
    document: document_.Document, version: int
) -> document_.Document:
    config = dataclasses.replace(document.configuration, version=version)
    return dataclasses.replace(document, configuration=config)


def _merge_diverged(
    newer: document_.Document, older: document_.Document
) -> document_.Document:
    """Merge documents neither of which covers the other.

    Of equal versions, the order of the encoded texts decides, so that all
    processes get the same result.
    """
    if newer.version == older.version:
        newer, older = sorted((newer, older), key=document_.encode)
    objects_by_kind = {}
    tombstone_by_key = {
        (tombstone.kind, tombstone.name): tombstone
        for tombstone in sorted(newer.tombstones + older.tombstones)
    }
    for kind in document_.CLASS_BY_KIND:
        objects = dict(older.objects(kind))
        for name, item in newer.objects(kind).items():
            if name not in objects or objects[name].ticket <= item.ticket:
                objects[name] = item
        for name, item in list(objects.items()):
            tombstone = tombstone_by_key.get((kind, name))
            if tombstone is not None and tombstone.ticket >= item.ticket:
                del objects[name]
            elif tombstone is not None:
                del tombstone_by_key[kind, name]
        objects_by_kind[kind] = objects
    ticket_by_number = {
        ticket.number: ticket
        for ticket in older.recent_tickets + newer.recent_tickets
    }
    return document_.from_parts(
        newer.version + 1,
        max(newer.configuration.ticket, older.configuration.ticket),
        objects_by_kind,
        list(tombstone_by_key.values()),
        list(ticket_by_number.values()),
        max(newer.floor, older.floor),
    )
