"""Starts one site for each feature."""

import tempfile
from pathlib import Path

from features.processes import start_site, stop_site


def before_feature(context, _feature):
    """Start the processes."""
    context.folder = tempfile.TemporaryDirectory()
    context.site = start_site(Path(context.folder.name))


def after_feature(context, _feature):
    """Stop the processes."""
    stop_site(context.site)
    context.folder.cleanup()
