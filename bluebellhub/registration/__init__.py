"""Registrations of upstreams and their incarnations."""

from bluebellhub.registration.registration import (
    Registration,
    RegistrationTable,
    current_registration,
    current_registrations,
    make_registration_table,
    outage_age_s,
    record_outage,
    record_past_outage,
    record_restore,
    register,
    release_held,
    remove_expired,
    replace_all,
    unregister,
)

__all__ = [
    'Registration',
    'RegistrationTable',
    'current_registration',
    'current_registrations',
    'make_registration_table',
    'outage_age_s',
    'record_outage',
    'record_past_outage',
    'record_restore',
    'register',
    'release_held',
    'remove_expired',
    'replace_all',
    'unregister',
]
