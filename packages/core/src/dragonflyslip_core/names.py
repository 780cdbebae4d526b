"""Names that operators give to instances, services and profiles."""

NAME_PATTERN = r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'
