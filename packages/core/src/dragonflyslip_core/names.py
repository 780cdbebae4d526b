"""Names that operators give to instances, services and profiles."""

NAME_PATTERN = r'^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$'

MAX_TEXT_LENGTH = 300
"""Longest name or other text that a record may state, in characters.

Whatever accepts a text from a record and whatever passes it on to another
entry use this bound, so that no text is accepted which cannot be passed on.
"""
