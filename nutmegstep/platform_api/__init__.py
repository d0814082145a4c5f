"""Client of the platform's object API."""

from nutmegstep.platform_api.core import ObjectReply, PlatformClient

__all__ = ['ObjectReply', 'PlatformClient']
