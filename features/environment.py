"""Behave hooks that start a fleet for each feature and stop it afterwards."""

import tempfile
from pathlib import Path

from features.processes import start_site, stop_site


def before_feature(context, _feature):
    """Start the processes in a temporary folder."""
    context.folder = tempfile.TemporaryDirectory()
    context.site = start_site(Path(context.folder.name))


def after_feature(context, _feature):
    """Stop the processes and delete their folder."""
    stop_site(context.site)
    context.folder.cleanup()
