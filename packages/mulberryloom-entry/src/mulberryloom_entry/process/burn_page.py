"""The burn rates of all objectives as a self-contained HTML page."""

import html
import typing as t

from . import tables

_BAR_WIDTH = 240
_BAR_HEIGHT = 14
_ROW_HEIGHT = 22
_LABEL_WIDTH = 60
#: Burn rate at which a bar reaches its full width.
_MAX_RATE = 20.0
_STYLE = (
    'body{font-family:sans-serif;margin:2em;color:#222}'
    'section{margin-bottom:2em}'
    '.alert{color:#b00020;font-weight:bold}'
    'text{font-size:12px}'
)


def render(document: t.Any) -> str:
    """Return the HTML text of the page.

    :param document: decoded JSON document of ``GET /v1/burn``.
    """
    sections = ''.join(_section(objective) for objective in document)
    if not document:
        sections = '<p>No objectives are configured.</p>'
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8">'
        f'<title>Burn report</title><style>{_STYLE}</style></head>'
        '<body><h1>Service-level burn</h1>'
        '<p>A rate of 1 uses up the error budget exactly.</p>'
        f'{sections}</body></html>\n'
    )


def _section(objective: t.Any) -> str:
    alerts = ', '.join(objective['alerts'])
    alert_text = f'<p class="alert">Alerts: {html.escape(alerts)}</p>'
    return (
        f'<section><h2>{html.escape(objective["objective"])}</h2>'
        f'<p>Target {objective["target_percent"]} %, budget left '
        f'{objective["budget_left_percent"]:.1f} %</p>'
        f'{alert_text if alerts else ""}{_plot(objective["windows"])}'
        '</section>'
    )


def _plot(windows: t.Any) -> str:
    height = _ROW_HEIGHT * len(windows)
    width = _LABEL_WIDTH + _BAR_WIDTH + 180
    rows = ''.join(_row(index, window) for index, window in enumerate(windows))
    limit_x = _LABEL_WIDTH + _BAR_WIDTH / _MAX_RATE
    limit_line = (
        f'<line x1="{limit_x:.1f}" y1="0" x2="{limit_x:.1f}" '
        f'y2="{height}" stroke="#b00020"/>'
    )
    return (
        f'<svg width="{width}" height="{height}" role="img">{rows}'
        f'{limit_line}</svg>'
    )


def _row(index: int, window: t.Any) -> str:
    row_y = index * _ROW_HEIGHT
    fraction = min(1.0, window['rate'] / _MAX_RATE)
    bar_width = max(1.0, fraction * _BAR_WIDTH)
    label = tables.duration(window['window_ms'])
    text_y = row_y + _BAR_HEIGHT
    return (
        f'<text x="0" y="{text_y}">{label}</text>'
        f'<rect x="{_LABEL_WIDTH}" y="{row_y + 2}" width="{bar_width:.1f}" '
        f'height="{_BAR_HEIGHT}" fill="#4a78b5"/>'
        f'<text x="{_LABEL_WIDTH + _BAR_WIDTH + 8}" y="{text_y}">'
        f'{window["rate"]:.2f} ({window["bad"]} bad, {window["good"]} good)'
        '</text>'
    )
