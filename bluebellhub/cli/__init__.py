"""The command-line tool ``bluebellhub`` for operators."""
