"""How many replicas of a service to order in each failure domain."""

from bluebellhub.scaling.bounds import ScalingBounds
from bluebellhub.scaling.demand import DomainDemand
from bluebellhub.scaling.scaling import (
    Scaling,
    make_scaling,
    observe_demand,
    order_ended,
    reset_scaling,
    scale_orders,
)

__all__ = [
    'DomainDemand',
    'Scaling',
    'ScalingBounds',
    'make_scaling',
    'observe_demand',
    'order_ended',
    'reset_scaling',
    'scale_orders',
]
