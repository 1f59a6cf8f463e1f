"""Rows of the integer program that keep replica counts within the capacity of the slots."""

from rooklug.placement.groups import SlotGroup, packing_patterns
from rooklug.placement.linear import LinearModel


def add_slot_capacity(
    model: LinearModel, group: SlotGroup, columns: dict[str, int], units: dict[str, float]
) -> None:
    """Bound a group's replica ``columns`` by its total units and by the patterns of its slots.

    ``units`` are the resource units of a replica, by model. A pattern is a maximal way to fill one
    slot, as counts by size. A slot holds each model at most once.
    """
    used = [(columns[name], size) for name, size in units.items()]
    model.row(used, upper=group.units * len(group.slots))
    models_per_size: dict[float, int] = {}
    for size in units.values():
        models_per_size[size] = models_per_size.get(size, 0) + 1
    found = packing_patterns(group, list(models_per_size), models_per_size)
    if found is None or not units:
        return
    sizes, patterns = found.sizes, found.patterns
    chosen = [model.column(upper=len(group.slots), integer=True) for _ in patterns]
    model.row([(column, 1.0) for column in chosen], upper=float(len(group.slots)))
    for position, size in enumerate(sizes):
        fitting = list(zip(chosen, [pattern[position] for pattern in patterns], strict=True))
        same_size = [columns[name] for name, needed in units.items() if needed == size]
        provided = [(column, -float(count)) for column, count in fitting if count]
        model.row([*((column, 1.0) for column in same_size), *provided], upper=0.0)
        patterns_with_size = [(column, -1.0) for column, count in fitting if count]
        for column in same_size:
            model.row([(column, 1.0), *patterns_with_size], upper=0.0)
