"""Choice of the VMs that coordinate the queries of their failure domain."""

from nutmegstep.coordinators.core import (
    CoordinatorChoice,
    DelegationTerms,
    choose_coordinators,
)

__all__ = ['CoordinatorChoice', 'DelegationTerms', 'choose_coordinators']
