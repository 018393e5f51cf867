"""Stand-ins for the systems that bluebellhub depends on.

The tests, the benchmarks and the demonstration use them: model engines, a
plain service, and the platform's object API and VM list.
"""
