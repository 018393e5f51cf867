"""Small stand-ins for the systems around bluebellhub.

They serve the tests, the benchmarks and the demonstration: model engines, a
plain service and the platform's object API and VM list.
"""
