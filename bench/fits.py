"""Least-squares lines through measured points, as Markdown tables."""

import dataclasses
import statistics
import typing


@dataclasses.dataclass(frozen=True)
class Fit:
    """Measured points and the least-squares line through them.

    :param figure: name of the measured quantity.
    :param x: what was varied, with its unit.
    :param y: what was measured, with its unit.
    :param load_dependent: whether other work on the machine changes the
        result. Counts of bytes and messages do not depend on it.
    """

    figure: str
    x: str
    y: str
    points: tuple[tuple[float, float], ...]
    load_dependent: bool = False

    @property
    def line(self) -> tuple[float, float]:
        """Slope and intercept."""
        xs, ys = zip(*self.points)
        return tuple(statistics.linear_regression(xs, ys))

    @property
    def max_error_percent(self) -> float:
        """Largest distance from the line, in percent of the largest y."""
        slope, intercept = self.line
        largest = max(abs(y) for _, y in self.points) or 1.0
        errors = [abs(y - slope * x - intercept) for x, y in self.points]
        return 100 * max(errors) / largest


def table(fits: typing.Iterable[Fit]) -> str:
    """Return the fits as a Markdown table."""
    lines = [
        '| figure | y | x | measured x: y | slope (y per x) | intercept '
        '| max error | load-dependent |',
        '|---|---|---|---|---:|---:|---:|---|',
    ]
    for fit in fits:
        slope, intercept = fit.line
        points = ', '.join(f'{x:g}: {y:.4g}' for x, y in fit.points)
        load = 'yes' if fit.load_dependent else 'no'
        lines.append(
            f'| {fit.figure} | {fit.y} | {fit.x} | {points} | {slope:.4g} '
            f'| {intercept:.4g} | {fit.max_error_percent:.1f} % | {load} |'
        )
    return '\n'.join(lines)
