"""Behave hooks that start a fleet for each feature and stop it afterwards."""

import tempfile
from pathlib import Path

from features.processes import start_site, stop_site


def before_feature(context, _feature):
    """Start the processes in a temporary folder; the cleanups end both."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.site = start_site(Path(folder.name))
    context.add_cleanup(stop_site, context.site)
