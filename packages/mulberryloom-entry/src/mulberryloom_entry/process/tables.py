"""Plain-text tables and durations for operators."""

import typing as t

_COLUMN_SEPARATOR = '  '


def render(headers: list[str], rows: t.Iterable[t.Sequence[t.Any]]) -> str:
    """Return a text table with left-aligned columns.

    :param headers: names of the columns.
    :param rows: cells of each row, one for each column.
    """
    cell_rows = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(header), *(len(cells[index]) for cells in cell_rows)])
        for index, header in enumerate(headers)
    ]
    return '\n'.join(
        _COLUMN_SEPARATOR.join(
            cell.ljust(width)
            for cell, width in zip(cells, widths, strict=True)
        ).rstrip()
        for cells in [headers, *cell_rows]
    )


def duration(milliseconds: int) -> str:
    """Format a duration with a unit that suits its length."""
    if milliseconds < 1_000:
        return f'{milliseconds} ms'
    seconds = milliseconds / 1_000
    if seconds < 120:
        return f'{seconds:.1f} s'
    if seconds < 7_200:
        return f'{seconds / 60:.0f} min'
    return f'{seconds / 3_600:.1f} h'
