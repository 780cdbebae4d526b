"""Quotas at a gateway: messages between gateways, and refused requests."""

from dragonflyslip_entry.gateway.quotas.controller import QuotaController
