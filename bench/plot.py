"""Line plots as self-contained SVG files."""
from html import escape

WIDTH, HEIGHT, LEFT, TOP, BOTTOM = 640, 260, 60, 40, 40
COLOURS = ["#0060c0", "#c03030", "#308030", "#a06000", "#7030a0", "#404040"]


def line_plot(title, x_label, y_label, series):
    """An SVG text; `series` maps a name to a list of (x, y)."""
    points = [point for line in series.values() for point in line]
    if not points:
        points = [(0, 0)]
    x_top = max(max(x for x, _ in points), 1e-9)
    y_top = max(max(y for _, y in points), 1e-9)

    def place(x, y):
        return LEFT + x / x_top * WIDTH, TOP + HEIGHT * (1 - y / y_top)

    parts = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{LEFT + WIDTH + 200}" height="{TOP + HEIGHT + BOTTOM}" '
        'font-family="sans-serif" font-size="12">',
        '<rect width="100%" height="100%" fill="white"/>',
        f'<text x="{LEFT}" y="20" font-size="15">{escape(title)}</text>',
        f'<rect x="{LEFT}" y="{TOP}" width="{WIDTH}" height="{HEIGHT}" fill="none" stroke="#999"/>',
        f'<text x="{LEFT + WIDTH / 2}" y="{TOP + HEIGHT + 30}">{escape(x_label)} (to {x_top:g})</text>',
        f'<text x="4" y="{TOP + 10}">{y_top:.4g}</text>',
        f'<text x="4" y="{TOP + HEIGHT}">0</text>',
        f'<text x="4" y="{TOP - 8}">{escape(y_label)}</text>',
    ]
    for number, (name, line) in enumerate(series.items()):
        colour = COLOURS[number % len(COLOURS)]
        placed = " ".join(f"{x:.1f},{y:.1f}" for x, y in (place(*point) for point in line))
        parts.append(f'<polyline points="{placed}" fill="none" stroke="{colour}" stroke-width="2"/>')
        parts.append(f'<text x="{LEFT + WIDTH + 8}" y="{TOP + 14 + 16 * number}" fill="{colour}">{escape(name)}</text>')
    return "\n".join(parts + ["</svg>\n"])
