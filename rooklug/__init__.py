"""rooklug: serving across regions for a language model."""

__version__ = "0.1.0"
